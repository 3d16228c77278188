/** Workers on which more runs end than they list at a time. */
import {expect} from "chai"
import {STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const JOBS = 13
const TASKS = 100
const WORK_MS = 4000
const OUTAGE_MS = 4500

type Domain = Awaited<ReturnType<typeof createServingDomain>>

/** Starts 1,300 tasks on one worker, and makes the store refuse all calls shortly before they end. */
async function startManyRuns({first, fleet, plan, submit, advance, advanceUntil}: Domain) {
	for (let index = 0; index < JOBS; index++) {
		const id = index.toString(16).padStart(16, "0")
		const job = createJob({count: TASKS, cpu: 20, gpu: 0, workMs: WORK_MS})
		await submit(first, `${BATCH}${id}`, job)
	}
	await advanceUntil(() => fleet.monitor.starts.length === JOBS * TASKS)
	plan.isRefused = (_, call) => call.target === STORE_TARGET
	await advance(WORK_MS)
	expect(fleet.workers.get("w1")!.ends.length).to.be.above(1000)
}

describe("a worker that lists only some of its ends", () => {
	// Regression test, review case 5: runs that were neither running nor among the ends listed were taken for lost.
	it("runs nothing again whose end it could not list during an outage of the store", async () => {
		const domain = await createServingDomain({workers: 1})
		const {fleet, plan, advance, advanceUntil} = domain
		await startManyRuns(domain)
		await advance(OUTAGE_MS - 500)
		plan.isRefused = () => false
		await advanceUntil(() => fleet.workers.get("w1")!.ends.length === 0)
		await advance(1000)
		expect(fleet.monitor.starts).to.have.length(JOBS * TASKS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("runs nothing again under a new holder either", async () => {
		const domain = await createServingDomain({workers: 1, hosts: 2})
		const {fleet, first, hosts, plan, advance, advanceUntil} = domain
		await startManyRuns(domain)
		first.stop()
		first.board.authority.delete("fleet")
		plan.isRefused = () => false
		const [, second] = hosts
		await advanceUntil(() => second!.board.terms.has("loaded"))
		await advanceUntil(() => fleet.workers.get("w1")!.ends.length === 0)
		await advance(1000)
		expect(fleet.monitor.starts).to.have.length(JOBS * TASKS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})
})
