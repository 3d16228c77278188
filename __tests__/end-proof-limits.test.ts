/** Answers, errors and reports that are taken for the end of a run and don't prove it. */
import {expect} from "chai"
import {type CommandAnswer, FleetWorker} from "../standins/fleet/worker.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000037"
const LONG_MS = 30000
/** Longer than any lease counts. */
const PLAYED_MS = 25000

/** Lets the worker carry out its first start and answer it with a status that says nothing about the run. */
function answerFirstStart(worker: FleetWorker, status: number): void {
	const start = worker.start.bind(worker)
	let starts = 0
	worker.start = command => {
		const answer = start(command)
		return ++starts === 1 ? ({status, body: {}} as unknown as CommandAnswer) : answer
	}
}

describe("the answer to a start", () => {
	for (const status of [408, 500, 502, 504])
		it(`proves nothing by the status ${status}`, async () => {
			const {first, fleet, submit, advance} = await createServingDomain()
			for (const worker of fleet.workers.values()) answerFirstStart(worker, status)
			await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
			await advance(PLAYED_MS)
			expect(fleet.monitor.violations).to.deep.equal([])
		})
})
