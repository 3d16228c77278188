import {expect} from "chai"
import fc from "fast-check"
import {type ModelCounts, ModelRun, type Step, StepKind, stepArbitrary} from "./fixtures/model.js"

const SEED = 20261204
const SEQUENCES = Number(process.env.MODEL_SEQUENCES ?? "400")
const STEPS_MAX = 60

/** Sequences that once failed, each with the fault that it showed. */
const REGRESSIONS: readonly {
	readonly shows: string
	readonly seed: number
	readonly steps: readonly Step[]
}[] = [
	{
		shows: "a call whose only endpoint had refused it once was never placed again",
		seed: 1,
		steps: [
			createStep({kind: StepKind.submit, call: true}),
			createStep({kind: StepKind.slow, amount: 79}),
			createStep({kind: StepKind.advance, amount: 55})
		]
	},
	{
		shows: "a gang stayed in reservation forever after one of its workers restarted",
		seed: 1,
		steps: [
			createStep({kind: StepKind.zoneOut}),
			createStep({kind: StepKind.submit, amount: 0}),
			createStep({kind: StepKind.submit, host: 1, amount: 44}),
			createStep({kind: StepKind.advance, amount: 32}),
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.restartWorker}),
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.submit})
		]
	},
	{
		shows: "a restarted worker's report that a task never ran was accepted as proof",
		seed: 1,
		steps: [
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.advance, amount: 3}),
			createStep({kind: StepKind.restartWorker}),
			createStep({kind: StepKind.cancel}),
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.advance}),
			createStep({kind: StepKind.advance}),
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.advance}),
			createStep({kind: StepKind.submit}),
			createStep({kind: StepKind.advance}),
			createStep({kind: StepKind.submit})
		]
	}
]

function createStep(fields: Partial<Step> & Pick<Step, "kind">): Step {
	return {host: 0, target: 0, amount: 0, repeatable: false, call: false, ...fields}
}

describe("model: random faults interleaved with requests", () => {
	for (const {shows, seed, steps} of REGRESSIONS) {
		it(`no longer fails: ${shows}`, () => {
			const run = new ModelRun(seed)
			for (const step of steps) {
				run.apply(step)
				run.check()
			}
			run.finish()
		})
	}

	it("keeps every invariant after each step and ends every accepted job", function () {
		this.timeout(300000)
		const counts: ModelCounts = {
			accepted: 0,
			completed: 0,
			failed: 0,
			notRun: 0,
			unknown: 0,
			runs: 0,
			steps: 0
		}
		fc.assert(
			fc.property(
				fc.integer({min: 1}),
				fc.array(stepArbitrary, {minLength: 10, maxLength: STEPS_MAX, size: "max"}),
				(seed, steps) => {
					const run = new ModelRun(seed)
					for (const step of steps) {
						run.apply(step)
						run.check()
					}
					run.finish()
					run.countInto(counts)
					counts.steps += steps.length
				}
			),
			{
				seed: SEED,
				// Shrinking takes minutes: a failing sequence is shortened by hand and added to REGRESSIONS.
				endOnFailure: true,
				numRuns: SEQUENCES
			}
		)
		// Fails if the sequences don't reach every kind of outcome.
		expect(counts.completed, JSON.stringify(counts)).to.be.greaterThan(SEQUENCES)
		expect(
			Math.min(counts.failed, counts.notRun, counts.unknown),
			JSON.stringify(counts)
		).to.be.greaterThan(0)
		if (process.env.MODEL_REPORT !== undefined) process.stdout.write(`${JSON.stringify(counts)}\n`)
	})
})
