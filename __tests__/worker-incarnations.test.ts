/** Commands to a worker of a domain that restarts under its id, at any moment between a start and its answer. */
import {expect} from "chai"
import {type FleetCall} from "../standins/fleet/fleet.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"
const ID_B = "00000000000000bb"
const START = "/v1/run-start"
const HOLD = "/v1/hold"
/** Both starts of a run, a read of the list and the end of most renewals fall into this time. */
const RESTART_MAX_MS = 2000
const RESTART_STEP_MS = 100
const RESTARTS = Array.from(
	{length: RESTART_MAX_MS / RESTART_STEP_MS},
	(_, index) => index * RESTART_STEP_MS
)
/** Time from the sending of a late start to its arrival. */
const LATE_MS = 1500
/** Longer than the delay before a released run is placed again. */
const STOP_MS = 900

type Domain = Awaited<ReturnType<typeof createServingDomain>>

async function createDomainOfSlowStops(): Promise<Domain> {
	const domain = await createServingDomain({settings: {stopMs: STOP_MS}})
	for (const worker of domain.fleet.workers.values()) worker.stopMs = STOP_MS
	return domain
}

/** Restarts a worker under its id, as a machine does that loses power and gets it back. */
function restartWorker({fleet}: Domain, id: string): void {
	fleet.workers.get(id)!.restart()
	fleet.register(id)
}

/** Loses the first start, and returns it once it was sent. */
function dropFirstStart({plan}: Domain): readonly FleetCall[] {
	const lost: FleetCall[] = []
	plan.isLost = (_, call) => {
		if (call.path !== START || lost.length > 0) return false
		lost.push(call)
		return true
	}
	return lost
}

async function submitAndLoseStart(domain: Domain, workMs: number): Promise<FleetCall> {
	const lost = dropFirstStart(domain)
	await domain.submit(domain.first, `${BATCH}${ID_A}`, createJob({workMs}))
	await domain.advanceUntil(() => lost.length > 0)
	return lost[0]!
}

describe("a worker that restarts under its id", () => {
	// Regression test, review case 4: the repeated start reached the new incarnation, and the task started elsewhere too.
	for (const restartMs of RESTARTS)
		it(`runs a task once if it restarts ${restartMs} ms after a start that is lost`, async () => {
			const domain = await createDomainOfSlowStops()
			const {fleet, advance, advanceUntil, readState, first} = domain
			const {target} = await submitAndLoseStart(domain, 3000)
			await advance(restartMs)
			restartWorker(domain, target)
			await advanceUntil(() => fleet.monitor.done.size === 1)
			await advance(1000)
			expect(fleet.monitor.violations).to.deep.equal([])
			expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		})

	// Regression test, review case 4: a start that is carried out late reached the new incarnation.
	for (const restartMs of RESTARTS)
		it(`refuses a start that arrives late if it restarts ${restartMs} ms before the start is sent`, async () => {
			const domain = await createDomainOfSlowStops()
			const {fleet, advance, advanceUntil, readState, first} = domain
			for (const worker of fleet.workers.values()) worker.restart()
			await advance(restartMs)
			const late = await submitAndLoseStart(domain, 3000)
			for (const id of fleet.workers.keys()) fleet.register(id)
			await advance(LATE_MS)
			await fleet.handle(late)
			await advanceUntil(() => fleet.monitor.done.size === 1)
			await advance(1000)
			expect(fleet.monitor.violations).to.deep.equal([])
			expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		})

	it("keeps a run that its new incarnation carries out", async () => {
		const domain = await createServingDomain()
		const {fleet, advance, readState, first} = domain
		const {target} = await submitAndLoseStart(domain, 3000)
		fleet.workers.get(target)!.restart()
		await advance(900)
		expect(fleet.monitor.starts.map(({worker}) => worker)).to.deep.equal([target])
		fleet.register(target)
		await advance(5000)
		expect(fleet.monitor.starts).to.have.length(1)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
	})

	// Regression test: ends of the new incarnation were acknowledged by the positions of the earlier one, before anybody saw them.
	it("loses no end to an acknowledgement that was meant for its earlier incarnation", async () => {
		for (const restartMs of RESTARTS) {
			const domain = await createServingDomain({workers: 1})
			const {fleet, plan, submit, advance, first, readState} = domain
			for (const id of [ID_B, "00000000000000cc"])
				await submit(first, `${BATCH}${id}`, createJob({workMs: 100}))
			await advance(1500)
			expect(first.board.acknowledgements.get("w1")?.position).to.equal(2)
			const lost = dropFirstStart(domain)
			const isLost = plan.isLost
			let isDark = false
			plan.isLost = (hostId, call) => (isDark && call.path === HOLD) || isLost(hostId, call)
			await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 50}))
			await domain.advanceUntil(() => lost.length > 0)
			isDark = true
			restartWorker(domain, "w1")
			await advance(restartMs)
			await fleet.handle(lost[0]!)
			await advance(100)
			isDark = false
			await advance(8000)
			expect(fleet.monitor.violations).to.deep.equal([])
			expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		}
	})
})
