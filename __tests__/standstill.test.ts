/** What the holder's log says about work that stands still: which gate holds it, and since when. */
import {expect} from "chai"
import {type BoardEvent, StartGate} from "../src/internal.js"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, type DomainHost, createJob, createServingDomain} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"

function listEvents({board}: DomainHost, name: string): BoardEvent[] {
	return [...board.events.values()].filter(event => event.name === name)
}

function findLast(host: DomainHost, name: string): BoardEvent | undefined {
	return listEvents(host, name).at(-1)
}

function isStoreCall({target}: FleetCall): boolean {
	return target === STORE_TARGET
}

/** True for a commit of the progress of runs. */
function isPlanCommit({path, body}: FleetCall): boolean {
	return path === "/v1/rows-tx" && JSON.stringify(body).includes('"progress"')
}

function createId(index: number): string {
	return index.toString(16).padStart(16, "0")
}

describe("the log of work that stands still", () => {
	it("names the term that is not confirmed while the store is away, and says when placement goes on", async () => {
		const {first, plan, submit, advance} = await createServingDomain({workers: 1})
		await submit(first, `${BATCH}${ID_A}`, createJob({gpu: 8, count: 2, workMs: 3000}))
		await advance(500)
		plan.isRefused = (_, call) => isStoreCall(call)
		await advance(7000)
		const line = findLast(first, "workflow-still")
		expect(line?.reason).to.equal(StartGate.termUnconfirmed)
		expect(line?.fields).to.include({workflow: ID_A, priority: 2})
		expect(line?.fields.gateMs).to.be.within(1000, 5000)
		expect(findLast(first, "placement-held")?.reason).to.equal(StartGate.termUnconfirmed)
		plan.isRefused = () => false
		await advance(3000)
		expect(findLast(first, "placement-resumed")?.fields.heldMs).to.be.within(4000, 8000)
	})

	it("counts the workers that are not listed", async () => {
		const {first, fleet, submit, advance} = await createServingDomain({workers: 2})
		for (const id of ["w1", "w2"]) fleet.store.deleteRow("servers", id)
		await advance(6000)
		await submit(first, `${BATCH}${ID_A}`, createJob())
		await advance(2500)
		expect(findLast(first, "workflow-still")?.reason).to.equal(StartGate.noRoom)
		expect(findLast(first, "work-held")?.fields).to.include({
			workflows: 1,
			gates: "no-room=1",
			workers: 2,
			heldWorkers: "unlisted=2"
		})
	})

	it("names a plan that the store does not take", async () => {
		const {first, plan, submit, advance} = await createServingDomain()
		plan.isRefused = (_, call) => isPlanCommit(call)
		await submit(first, `${BATCH}${ID_A}`, createJob())
		await advance(2500)
		const line = findLast(first, "workflow-still")
		expect(line?.reason).to.equal(StartGate.planUnsaved)
		expect(line?.fields.task).to.equal(`${ID_A}.0.0.0`)
	})

	it("names the worker of a gang's member that has not stopped", async () => {
		const {first, fleet, plan, submit, advance, advanceUntil} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({gpu: 8, count: 2, gang: true, workMs: 20000}))
		await advanceUntil(() => fleet.monitor.starts.length === 2)
		await advance(200)
		plan.isLost = (_, call) => call.target === "w1"
		fleet.workers.get("w2")?.restart()
		await advance(5000)
		const line = findLast(first, "workflow-still")
		expect(line?.reason).to.equal(StartGate.runStopping)
		expect(line?.fields).to.include({worker: "w1", run: 1})
	})

	it("names a worker that doesn't answer while its run counts as running", async () => {
		const {first, fleet, plan, submit, advance, advanceUntil} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 20000}))
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		await advance(200)
		const silent = fleet.monitor.starts[0]!.worker
		plan.isLost = (_, call) => call.target === silent
		await advance(6000)
		const line = findLast(first, "workflow-still")
		expect(line?.reason).to.equal(StartGate.workerUnanswered)
		expect(line?.fields.worker).to.equal(silent)
	})

	it("writes a bounded number of lines, the longest wait first", async () => {
		const {first, fleet, submit, advance} = await createServingDomain({workers: 1})
		fleet.store.deleteRow("servers", "w1")
		await advance(1000)
		for (let index = 1; index <= 30; index++)
			await submit(first, `${BATCH}${createId(index)}`, createJob())
		await advance(10000)
		const oldest = findLast(first, "work-held")?.fields
		expect(oldest?.workflows).to.equal(30)
		const lines = listEvents(first, "workflow-still")
		expect(lines).to.have.length.within(8, 8 * 6)
		expect(lines.at(-8)?.fields.workflow).to.equal(createId(1))
	})

	it("is silent while work runs", async () => {
		const {first, submit, advance} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 4000}))
		await advance(6000)
		for (const name of ["workflow-still", "work-held", "placement-held"])
			expect(listEvents(first, name)).to.have.length(0)
	})
})
