#!/usr/bin/env node
/** `cardamomhook`: the command-line tool of operators and callers. */
import {Builtins, Cli, type CommandClass} from "clipanion"
import {
	BundleCheckCommand,
	BundleHistoryCommand,
	BundleRollbackCommand,
	BundleRolloutCommand,
	BundleSignCommand,
	BundleStatusCommand
} from "./bundle.js"
import {HostListCommand, WorkerListCommand} from "./cluster.js"
import {ExitCode} from "./exit-code.js"
import {
	JobCancelCommand,
	JobListCommand,
	JobShowCommand,
	JobSubmitCommand,
	JobWaitCommand
} from "./job.js"
import {KeyGenerateCommand, KeyTokenCommand} from "./key.js"
import {ZoneInCommand, ZoneOutCommand, ZoneStatusCommand} from "./zone.js"

const COMMANDS: readonly CommandClass[] = [
	KeyGenerateCommand,
	KeyTokenCommand,
	BundleCheckCommand,
	BundleSignCommand,
	BundleRolloutCommand,
	BundleRollbackCommand,
	BundleStatusCommand,
	BundleHistoryCommand,
	JobSubmitCommand,
	JobShowCommand,
	JobWaitCommand,
	JobCancelCommand,
	JobListCommand,
	ZoneStatusCommand,
	ZoneOutCommand,
	ZoneInCommand,
	WorkerListCommand,
	HostListCommand,
	Builtins.HelpCommand
]

const cli = new Cli({
	binaryName: "cardamomhook",
	binaryLabel: "cardamomhook",
	enableColors: process.stdout.isTTY
})
for (const command of COMMANDS) cli.register(command)

/** Runs one command line. An unknown command is a usage error, printed without a stack trace. */
async function run(args: readonly string[]): Promise<number> {
	try {
		return await cli.run(cli.process([...args], Cli.defaultContext))
	} catch (error) {
		process.stderr.write(cli.error(error))
		return ExitCode.usage
	}
}

process.exitCode = await run(process.argv.slice(2))
