/** How fast workers are, estimated from the run times of steps that have ended. */
import {expect} from "chai"
import {WorkerPaces} from "../src/internal.js"

const SPEEDS: Readonly<Record<string, number>> = {fast: 0.8, mean: 1, slow: 1.25}
const WORKERS = Object.keys(SPEEDS)

/** Records a step of two tasks a worker, with work that varies between its tasks. */
function recordStep(paces: WorkerPaces, stepKey: string, workMs: number): void {
	for (const factor of [0.9, 1.1])
		for (const worker of WORKERS)
			paces.recordRun(stepKey, worker, workMs * factor * (SPEEDS[worker] ?? 1))
}

describe("the pace of workers", () => {
	it("tells fast workers from slow ones after a few steps, whatever the steps' work", () => {
		const paces = new WorkerPaces()
		for (const [index, workMs] of [9500, 2000, 400000].entries()) {
			recordStep(paces, `step-${index}`, workMs)
			paces.finishStep(`step-${index}`)
		}
		expect(paces.find("fast")).to.be.within(0.7, 0.9)
		expect(paces.find("mean")).to.be.within(0.9, 1.1)
		expect(paces.find("slow")).to.be.within(1.1, 1.4)
	})

	it("knows nothing before a step has ended, or from a step of few tasks", () => {
		const paces = new WorkerPaces()
		recordStep(paces, "open", 1000)
		paces.recordRun("narrow", "fast", 1)
		paces.recordRun("narrow", "slow", 1000)
		expect([...paces.finishStep("narrow")]).to.deep.equal([])
		expect(WORKERS.map(worker => paces.find(worker))).to.deep.equal([1, 1, 1])
	})

	it("bounds what one run that was held up does to its worker's pace", () => {
		const paces = new WorkerPaces()
		for (let index = 0; index < 9; index++) paces.recordRun("step", `w${index}`, 1000)
		paces.recordRun("step", "stuck", 1000000)
		paces.finishStep("step")
		expect(paces.find("stuck")).to.be.below(1.5)
	})
})
