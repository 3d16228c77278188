import {readdirSync} from "node:fs"
import {fileURLToPath} from "node:url"
import {expect} from "chai"
import {runScenario, type Verdict} from "../standins/scenario/runner.js"
import {loadScenario} from "../standins/scenario/schema.js"

const FOLDER = fileURLToPath(new URL("./scenarios/", import.meta.url))
const SEED = 1
/** Scenarios that run at the same time, each with about seven processes. */
const AT_ONCE = 4
const LIMIT_MS = 240000

/** Starts the scenarios in order, at most `CONCURRENCY` at a time. Each test awaits the result of its own file. */
function startScenarios(files: readonly string[]): Map<string, Promise<Verdict>> {
	const verdicts = new Map<string, Promise<Verdict>>()
	const running: Promise<unknown>[] = []
	for (const [at, file] of files.entries()) {
		const before = at < AT_ONCE ? Promise.resolve() : running[at - AT_ONCE]
		const verdict = Promise.resolve(before).then(() =>
			runScenario(loadScenario(`${FOLDER}${file}`), {seed: SEED})
		)
		running.push(verdict.catch(() => undefined))
		verdicts.set(file, verdict)
	}
	return verdicts
}

describe("scenarios", function () {
	this.timeout(LIMIT_MS)
	const files = readdirSync(FOLDER).filter(file => file.endsWith(".yaml"))
	let verdicts = new Map<string, Promise<Verdict>>()

	before(() => {
		verdicts = startScenarios(files)
	})

	for (const file of files) {
		it(file, async () => {
			const {findings, log} = await verdicts.get(file)!
			expect(findings, [...findings, ...log].join("\n")).to.deep.equal([])
		})
	}
})
