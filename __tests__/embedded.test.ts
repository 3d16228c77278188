import {expect} from "chai"
import {ExitCode} from "../src/cli/exit-code.js"
import {Launcher, type StartedProcess} from "../standins/launcher.js"
import {runTool} from "../standins/tool.js"
import {waitFor} from "./fixtures/cluster.js"

interface Instructions {
	readonly folder: string
	readonly callerToken: string
	readonly operatorToken: string
}

/** Parses the instructions that the daemon prints. */
function parseInstructions(lines: readonly string[]): Instructions | undefined {
	const text = lines.join("\n")
	const folder = /are in (\S+)\. In/.exec(text)?.[1]
	const [callerToken, operatorToken] = [...text.matchAll(/TOKEN=(\S+)/g)].map(([, token]) => token)
	if (folder === undefined || callerToken === undefined || operatorToken === undefined)
		return undefined
	return {folder, callerToken, operatorToken}
}

describe("the embedded daemon", () => {
	const launcher = new Launcher()
	let daemon: StartedProcess
	let instructions: Instructions

	before(async () => {
		daemon = await launcher.start("cardamomhookd", ["--embedded", "--port", "0"])
		await waitFor(
			"the instructions are printed",
			() => parseInstructions(daemon.lines) !== undefined
		)
		instructions = parseInstructions(daemon.lines)!
	})

	after(async () => {
		await launcher.killAll()
	})

	it("runs the example job and takes the zone out of service with the commands that it prints", async () => {
		const hosts = [daemon.url]
		const submit = ["job", "submit", `${instructions.folder}/job.yaml`, "--wait", "--key", "try"]
		await waitFor("the example job completes", async () => {
			const {code} = await runTool(submit, hosts, instructions.callerToken)
			return code === ExitCode.ok
		})
		const out = ["zone", "out", "zone-a", "--key", `${instructions.folder}/signing.key`]
		const result = await runTool(out, hosts, instructions.operatorToken)
		expect(result.code, result.stderr).to.equal(ExitCode.ok)
	})

	it("shuts down gracefully", async () => {
		expect(await launcher.stop(daemon)).to.equal(0)
	})

	it("names the address that it can't listen on", async () => {
		const first = await launcher.start("cardamomhookd", ["--embedded", "--port", "0"])
		const failure = await launcher
			.start("cardamomhookd", ["--embedded", "--port", `${first.port}`])
			.then(
				() => "",
				(error: unknown) => String(error)
			)
		expect(failure).to.match(/exited with 3/)
		expect(failure).to.match(/EADDRINUSE/)
	})
})
