/**
 * By hand: RUN_END_SEQUENCES, RUN_END_SEED and RUN_END_STEPS set the runs, RUN_END_SHRINK shrinks a failure, and
 * RUN_END_REPLAY (a sequence as JSON) plays that one and prints its trace.
 */
import {expect} from "chai"
import fc from "fast-check"
import {
	type RunEndSequence,
	RunEndModelRun,
	createSequenceArbitrary
} from "./fixtures/run-end-model.js"

const SEED = 20261206
const SEQUENCES = Number(process.env.RUN_END_SEQUENCES ?? "40")
const STEPS_MAX = Number(process.env.RUN_END_STEPS ?? "16")

async function runSequence({seed, steps}: RunEndSequence): Promise<void> {
	const run = new RunEndModelRun(seed)
	await run.start()
	for (const step of steps) {
		await run.apply(step)
		expect(run.listViolations(), run.trace.join("\n")).to.deep.equal([])
	}
	expect(await run.finish(), run.trace.join("\n")).to.deep.equal([])
}

describe("model of the ends of runs: calls out of order, refusing ports, terms and boots", () => {
	it("never runs a task twice and ends every accepted workflow", async function () {
		this.timeout(3600000)
		const replayed = process.env.RUN_END_REPLAY
		if (replayed !== undefined) {
			await runSequence(JSON.parse(replayed) as RunEndSequence)
			return
		}
		const seed = Number(process.env.RUN_END_SEED ?? SEED)
		await fc.assert(fc.asyncProperty(createSequenceArbitrary(STEPS_MAX), runSequence), {
			seed,
			numRuns: SEQUENCES,
			endOnFailure: process.env.RUN_END_SHRINK === undefined
		})
	})
})
