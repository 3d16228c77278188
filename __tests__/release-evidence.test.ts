/** What the holder's log says about a task that is started again: what proved that its earlier run had ended. */
import {expect} from "chai"
import {type BoardEvent, EndEvidence, RunEnd, releaseRun} from "../src/internal.js"
import {STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, type DomainHost, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000037"
const TASK = `${ID}.0.0.0`

function findLast({board}: DomainHost, name: string): BoardEvent | undefined {
	return [...board.events.values()].filter(event => event.name === name).at(-1)
}

async function createDomainWithRun(workMs: number) {
	const domain = await createServingDomain({hosts: 2})
	await domain.submit(domain.first, `${BATCH}${ID}`, createJob({workMs}))
	await domain.advanceUntil(() => domain.fleet.monitor.starts.length === 1)
	await domain.advance(500)
	const [{worker} = {worker: ""}] = domain.fleet.monitor.starts
	return {...domain, worker}
}

describe("the log of a task that is started again", () => {
	it("names the evidence of the release, its age, the worker and the term", async () => {
		const {first, fleet, plan, worker, advanceUntil} = await createDomainWithRun(30000)
		plan.isLost = (_, {target}) => target === worker
		await advanceUntil(() => fleet.monitor.starts.length === 2)
		const released = findLast(first, "run-released")
		expect(released?.fields).to.include({
			task: TASK,
			run: 1,
			worker,
			place: "run-report",
			evidence: EndEvidence.leaseExpired,
			epoch: 1
		})
		expect(released?.fields.evidenceAgeMs).to.be.within(0, 300)
		const started = findLast(first, "start-sent")
		expect(started?.fields).to.include({
			task: TASK,
			run: 2,
			earlierRun: 1,
			earlierWorker: worker,
			earlierPlace: "run-report",
			earlierEvidence: EndEvidence.leaseExpired,
			earlierEpoch: 1
		})
		expect(started?.fields.earlierEvidenceAgeMs).to.be.within(150, 1000)
	})

	it("names the evidence after an outage of the store", async () => {
		const {first, fleet, plan, worker, advance, advanceUntil} = await createDomainWithRun(30000)
		plan.isLost = (_, {target}) => target === worker
		await advance(5000)
		plan.isRefused = (_, {target}) => target === STORE_TARGET
		await advance(6000)
		plan.isRefused = () => false
		await advanceUntil(() => fleet.monitor.starts.length === 2)
		const holder = [first].find(host => findLast(host, "start-sent")?.fields.run === 2)
		const started = holder === undefined ? undefined : findLast(holder, "start-sent")
		expect(started?.fields).to.include({
			earlierRun: 1,
			earlierWorker: worker,
			earlierEvidence: EndEvidence.leaseExpired
		})
	})

	it("warns of a released run that goes on", async () => {
		const {first, fleet, clock, worker, advance, advanceUntil} = await createDomainWithRun(30000)
		// The task goes to another worker.
		fleet.register(worker, "draining", 60000)
		await advance(1000)
		const ref = first.board.runs.get(TASK)!
		const proof = {place: "test", evidence: EndEvidence.absent, ageMs: 40}
		releaseRun(first.board, ref, "absent", proof, clock.now())
		await advanceUntil(() => findLast(first, "release-contradicted") !== undefined, 5000)
		const contradicted = findLast(first, "release-contradicted")
		expect(contradicted?.fields).to.include({
			task: TASK,
			run: 1,
			worker,
			shown: RunEnd.stopped,
			place: "test",
			evidence: EndEvidence.absent,
			evidenceAgeMs: 40
		})
	})
})
