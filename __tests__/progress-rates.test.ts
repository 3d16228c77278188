/** Slow runs and workers, noticed from the progress that workers report. */
import {expect} from "chai"
import {ProgressRates} from "../src/internal.js"
import {BATCH, URGENT, createJob, createServingDomain} from "./fixtures/domain.js"

const TASK = "00000000000000aa.0.0.0"
const ID_A = "00000000000000aa"
const ID_B = "00000000000000bb"
const REPORT_MS = 1500

/** Reports progress at the given rates, in percent per second, and returns what each report shows. */
function observeRates(rates: readonly number[]): (boolean | undefined)[] {
	const tracker = new ProgressRates()
	let percent = 0
	tracker.observe(TASK, 1, percent, 0)
	return rates.map((rate, index) => {
		percent += (rate * REPORT_MS) / 1000
		return tracker.observe(TASK, 1, Math.floor(percent), (index + 1) * REPORT_MS)
	})
}

describe("the rate of a run's progress", () => {
	it("shows that a run has become slow, and that it is well again", () => {
		expect(observeRates([10, 10, 2, 2, 10])).to.deep.equal([undefined, false, true, true, false])
	})

	it("shows nothing for long work, nor while a gang's member waits at 100 percent", () => {
		expect(observeRates([1, 1, 0.1, 0.1])).to.deep.equal(Array(4).fill(undefined))
		expect(observeRates([60, 10, 0, 0]).slice(1)).to.deep.equal(Array(3).fill(undefined))
	})

	it("forgets the rate of an earlier run", () => {
		const tracker = new ProgressRates()
		for (const at of [0, 1500, 3000]) tracker.observe(TASK, 1, at / 100, at)
		expect(tracker.observe(TASK, 2, 0, 4500)).to.equal(undefined)
		expect(tracker.observe(TASK, 2, 1, 6000)).to.equal(undefined)
	})
})

describe("a worker that turns slow", () => {
	// Load pattern: a sixth of the workers turn five times slower for some seconds, while urgent work comes.
	it("gets no urgent work while others fit, and gets work again when it is well", async () => {
		const {first, fleet, submit, advance} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 8, gpu: 1, workMs: 20000}))
		await advance(5000)
		const [{worker: slow} = {worker: ""}] = fleet.monitor.starts
		fleet.workers.get(slow)!.isSlow = true
		await advance(4000)
		await submit(first, `${URGENT}${ID_B}`, createJob({gpu: 1}))
		await advance(300)
		const urgent = fleet.monitor.starts.filter(({task}) => task.startsWith(ID_B))
		expect(urgent.map(({worker}) => worker === slow)).to.deep.equal([false])
		expect(first.board.health.get(slow)?.slowUntil).to.be.above(first.clock.now())
		fleet.workers.get(slow)!.isSlow = false
		await advance(4000)
		expect(first.board.health.get(slow)?.slowUntil).to.be.below(first.clock.now())
	})
})
