import {readdirSync} from "node:fs"
import {fileURLToPath} from "node:url"
import {expect} from "chai"
import {runScenario, type ScenarioResult} from "../standins/scenario/runner.js"
import {loadScenario} from "../standins/scenario/schema.js"

const FOLDER = fileURLToPath(new URL("./scenarios/", import.meta.url))
const SEED = 1
/** Scenarios that run at the same time, each with about seven processes. */
const CONCURRENCY = 4
const TIMEOUT_MS = 240000

/** Starts the scenarios in order, at most `CONCURRENCY` at a time. Each test awaits the result of its own file. */
function startScenarios(files: readonly string[]): Map<string, Promise<ScenarioResult>> {
	const results = new Map<string, Promise<ScenarioResult>>()
	const running: Promise<unknown>[] = []
	for (const [index, file] of files.entries()) {
		const before = index < CONCURRENCY ? Promise.resolve() : running[index - CONCURRENCY]
		const result = Promise.resolve(before).then(() =>
			runScenario(loadScenario(`${FOLDER}${file}`), {seed: SEED})
		)
		running.push(result.catch(() => undefined))
		results.set(file, result)
	}
	return results
}

describe("scenarios", function () {
	this.timeout(TIMEOUT_MS)
	const files = readdirSync(FOLDER).filter(file => file.endsWith(".yaml"))
	let results = new Map<string, Promise<ScenarioResult>>()

	before(() => {
		results = startScenarios(files)
	})

	for (const file of files) {
		it(file, async () => {
			const {findings, log} = await results.get(file)!
			expect(findings, [...findings, ...log].join("\n")).to.deep.equal([])
		})
	}
})
