/** How soon work goes on once the store is back, or a new term has begun. */
import {expect} from "chai"
import {
	DOMAIN_LEASE_MS,
	NODE_LEASE_GRACE_MS,
	NODE_LEASE_MS,
	NODE_RENEW_WAIT_MS,
	RUN_COMMAND_TIMEOUT_MS,
	TAKE_OVER_SPREAD_MS
} from "../src/internal.js"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {type DomainHost, BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const FIRST_ID = "0000000000000001"
const WAITING_ID = "0000000000000002"

/** The longest lease of a lost holder, and the spread of the take-overs. */
const TAKEN_OVER_MAX_MS = DOMAIN_LEASE_MS + TAKE_OVER_SPREAD_MS

/** How long an earlier holder renews leases beyond its own, and such a lease by a clock that is 2% slow, with a margin. */
const EARLIER_LEASE_MAX_MS = NODE_LEASE_GRACE_MS + NODE_LEASE_MS / 0.98 + 300

/** Bound on the time for which work that could run stands still once the store can be used. */
const STILL_MAX_MS = 3000

function stopHolder(host: DomainHost): void {
	host.stop()
	host.board.authority.delete("fleet")
}

function isStoreRead({target, path}: FleetCall): boolean {
	return target === STORE_TARGET && path === "/v1/rows-get"
}

function isCommitOfRuns({target, path, body}: FleetCall): boolean {
	const isCommit = target === STORE_TARGET && path === "/v1/rows-tx"
	return isCommit && JSON.stringify(body).includes('"progress"')
}

describe("work after an outage of the store", () => {
	// Regression test: one refused read made a new holder read everything again.
	for (const refusedOf of [2, 3, 4])
		it(`goes on in a new term if the store refuses one of ${refusedOf} reads`, async () => {
			const {first, fleet, plan, submit, advanceUntil} = await createServingDomain({hosts: 2})
			await submit(first, `${BATCH}${FIRST_ID}`, createJob({count: 16, workMs: 20000}))
			await advanceUntil(() => fleet.monitor.starts.length === 16)
			await submit(first, `${BATCH}${WAITING_ID}`, createJob())
			let reads = 0
			plan.isRefused = (_, call) => isStoreRead(call) && ++reads % refusedOf === 0
			stopHolder(first)
			fleet.addWorker("w3")
			const takenMs = await advanceUntil(() => fleet.monitor.starts.length === 17)
			expect(takenMs).to.be.below(TAKEN_OVER_MAX_MS + STILL_MAX_MS)
		})

	// Regression test: a new holder saw only by the second long poll of a worker that a planned run had not been started.
	for (const offsetMs of [0, 300, 600, 900, 1200, 1500])
		it(`goes on in a new term if its start was planned and not sent (${offsetMs} ms)`, async () => {
			const {first, fleet, plan, submit, advance, advanceUntil} = await createServingDomain({
				hosts: 2
			})
			await advance(offsetMs)
			let isPlanned = false
			plan.isAnswerLost = (_, call) => {
				isPlanned ||= isCommitOfRuns(call)
				return isCommitOfRuns(call)
			}
			await submit(first, `${BATCH}${FIRST_ID}`, createJob({count: 2, gpu: 8, gang: true}))
			await advanceUntil(() => isPlanned)
			await advance(20)
			stopHolder(first)
			plan.isAnswerLost = () => false
			const takenMs = await advanceUntil(() => fleet.monitor.starts.length === 2)
			expect(takenMs).to.be.below(TAKEN_OVER_MAX_MS + 1000)
		})

	it("goes on soon if neither of its two starts has arrived", async () => {
		const {first, fleet, plan, submit, advanceUntil, clock} = await createServingDomain()
		let lost = 0
		plan.isLost = (_, call) => call.path === "/v1/run-start" && lost++ < 2
		await submit(first, `${BATCH}${FIRST_ID}`, createJob())
		await advanceUntil(() => lost === 2)
		const lostAt = clock.now()
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		expect(clock.now() - lostAt).to.be.below(RUN_COMMAND_TIMEOUT_MS + 500)
	})

	// Regression test: leases of the earlier holder were waited for from the load of the new term, however long it had been cut off.
	it("goes on once the leases of a holder lost in the outage have expired", async () => {
		const {first, fleet, plan, clock, submit, advance, advanceUntil} = await createServingDomain({
			hosts: 2
		})
		await submit(
			first,
			`${BATCH}${FIRST_ID}`,
			createJob({count: 2, gpu: 8, gang: true, workMs: 30000})
		)
		await advanceUntil(() => fleet.monitor.starts.length === 2)
		await advance(500)
		const awayAt = clock.now()
		plan.isRefused = (_, call) => call.target === STORE_TARGET
		await advance(5000)
		fleet.workers.get("w1")!.restart()
		fleet.store.deleteRow("servers", "w1")
		stopHolder(first)
		plan.isLost = (_, call) => call.target === "w1"
		plan.isRefused = () => false
		fleet.addWorker("w3")
		await advanceUntil(() => fleet.monitor.starts.length === 4)
		expect(clock.now() - awayAt).to.be.below(DOMAIN_LEASE_MS + EARLIER_LEASE_MAX_MS + 1000)
	})

	// Regression test: a gang stood still until the lease of a member's worker had expired whose process had ended in the outage.
	for (const isUnlisted of [false, true])
		it(`goes on if a worker of its gang has ended in the outage (${isUnlisted ? "unlisted" : "listed"})`, async () => {
			const {first, fleet, plan, clock, submit, advance, advanceUntil} = await createServingDomain({
				workers: 3
			})
			await submit(
				first,
				`${BATCH}${FIRST_ID}`,
				createJob({count: 2, gpu: 8, gang: true, workMs: 30000})
			)
			await advanceUntil(() => fleet.monitor.starts.length === 2)
			await advance(500)
			plan.isRefused = (_, call) => call.target === STORE_TARGET
			await advance(4000)
			const ended = fleet.monitor.starts[0]!.worker
			plan.isClosed = (_, call) => call.target === ended
			fleet.workers.get(ended)!.restart()
			if (isUnlisted) fleet.store.deleteRow("servers", ended)
			await advance(500)
			plan.isRefused = () => false
			const backAt = clock.now()
			await advanceUntil(() => fleet.monitor.starts.length === 4)
			expect(clock.now() - backAt).to.be.below(STILL_MAX_MS)
			await advance(2000)
			expect(fleet.monitor.violations).to.deep.equal([])
		})

	// Regression test: a new holder did not know where a worker was that it had never seen in the list, and waited for its lease.
	for (const settledMs of [0, 1500])
		it(`goes on in a new term if another worker has taken the place of one in the outage (${settledMs} ms after the starts)`, async () => {
			const {first, fleet, plan, submit, advance, advanceUntil} = await createServingDomain({
				hosts: 2,
				workers: 3
			})
			await advance(2000)
			await submit(
				first,
				`${BATCH}${FIRST_ID}`,
				createJob({count: 2, gpu: 8, gang: true, workMs: 30000})
			)
			await advanceUntil(() => fleet.monitor.starts.length === 2)
			await advance(settledMs)
			plan.isRefused = (_, call) => call.target === STORE_TARGET
			await advance(3000)
			const ended = fleet.monitor.starts[0]!.worker
			fleet.workers.get(ended)!.crash()
			fleet.store.deleteRow("servers", ended)
			const next = fleet.addWorker("w9", {address: `${ended}:7000`})
			fleet.workers.set(ended, next)
			stopHolder(first)
			await advance(1000)
			plan.isRefused = () => false
			const takenMs = await advanceUntil(() => fleet.monitor.starts.length === 4)
			expect(takenMs).to.be.below(TAKEN_OVER_MAX_MS + STILL_MAX_MS)
			await advance(2000)
			expect(fleet.monitor.violations).to.deep.equal([])
		})

	it("waits for the lease of a worker that is silent", async () => {
		const {first, fleet, plan, clock, submit, advance, advanceUntil} = await createServingDomain()
		await submit(first, `${BATCH}${FIRST_ID}`, createJob({workMs: 30000}))
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		const silent = fleet.monitor.starts[0]!.worker
		await advance(500)
		plan.isLost = (_, call) => call.target === silent
		const silentAt = clock.now()
		await advanceUntil(() => fleet.monitor.starts.length === 2)
		expect(clock.now() - silentAt).to.be.above(NODE_LEASE_MS - NODE_RENEW_WAIT_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})
})
