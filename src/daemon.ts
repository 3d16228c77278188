#!/usr/bin/env node
/** `cardamomhookd`: the daemon of an entry host. */
import "./heap.js"
import "./reload-signal.js"
import {Builtins, Cli, Command, Option} from "clipanion"
import {SystemClock} from "./internal.js"
import {Host} from "./host.js"
import {reportListenError, runHost, stopOnSignal} from "./run-host.js"
import {loadSettings} from "./settings.js"

const EXIT_BAD_SETTINGS = 2
const DEFAULT_PORT = 7400
const PORT_MAX = 65535

class RunCommand extends Command {
	static override paths = [Command.Default]
	static override usage = Command.Usage({
		description: "Run an entry host",
		details:
			"Exit codes: 0 after a graceful shutdown, 2 if settings or options are wrong, 3 if it can't listen on an address.",
		examples: [
			["Run with a settings file", "$0 --settings host.yaml"],
			["Check a settings file", "$0 --settings host.yaml --check"],
			["Try it, with everything in one process", "$0 --embedded"]
		]
	})

	settings = Option.String("--settings", {description: "YAML settings file"})
	check = Option.Boolean("--check", false, {description: "Check the settings and exit"})
	embedded = Option.Boolean("--embedded", false, {
		description:
			"Run a host with platform, workers and an endpoint in this process, for a first try"
	})
	port = Option.String("--port", `${DEFAULT_PORT}`, {
		description: `Port of the embedded host (${DEFAULT_PORT})`
	})

	async execute(): Promise<number> {
		if (this.embedded) return this.#runEmbedded()
		if (this.settings === undefined) return this.#refuse("expected --settings FILE or --embedded")
		const settings = loadSettings(this.settings)
		if (settings.isErr()) return this.#refuse(settings.error.message)
		if (!this.check) return runHost(new Host(settings.value, new SystemClock()), this.settings)
		this.context.stdout.write("settings are valid\n")
		return 0
	}

	async #runEmbedded(): Promise<number> {
		const port = Number(this.port)
		if (!Number.isInteger(port) || port < 0 || port > PORT_MAX)
			return this.#refuse(`--port must be a whole number from 0 to ${PORT_MAX}`)
		// Loaded on demand, because only the embedded host needs the stand-ins.
		const {EmbeddedSystem} = await import("./embedded.js")
		const system = new EmbeddedSystem(port)
		try {
			const {host, port: boundPort} = await system.start()
			this.context.stdout.write(`${system.formatInstructions(boundPort)}\n`)
			return await stopOnSignal(host)
		} catch (error) {
			return reportListenError(error)
		}
	}

	#refuse(message: string): number {
		this.context.stderr.write(`${message}\n`)
		return EXIT_BAD_SETTINGS
	}
}

const cli = new Cli({
	binaryName: "cardamomhookd",
	binaryLabel: "cardamomhook daemon",
	enableColors: process.stdout.isTTY
})
cli.register(RunCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))
process.exit()
