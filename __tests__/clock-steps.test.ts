/** A wall clock that is set forward, on a host that has granted leases or watches the lease of another host. */
import {expect} from "chai"
import {
	LEASE_MARGIN_MS,
	NODE_LEASE_MS,
	WORKER_LEASE_MS,
	createRecoveredGang,
	isMemberLeaseExpired,
	isTermConfirmed
} from "../src/internal.js"
import {type FleetCall} from "../standins/fleet/fleet.js"
import {createBoard} from "./fixtures/board.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"
const STEP_MS = 2000
/** Less than what is left of the holder's own lease. */
const SMALL_STEP_MS = 700
/** Time between two looks at the state, and the tolerance for rounding, in ms. */
const LOOK_MS = 20
const TOLERANCE_MS = 1

describe("a wall clock that is set forward", () => {
	// Regression test, review case 3: the holder took the leases of workers that were cut off for expired, one step early.
	it("does not make the holder start work of an unreachable worker elsewhere before its lease has expired", async () => {
		for (const cutMs of [0, 400, 800, 1200]) {
			const {first, fleet, plan, submit, advance, advanceUntil} = await createServingDomain()
			await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 30000}))
			await advance(500 + cutMs)
			const [{worker: lost} = {worker: ""}] = fleet.monitor.starts
			plan.isLost = (_, call) => call.target === lost
			for (const afterMs of [1500, 1500]) {
				await advance(afterMs)
				first.clock.setForward(STEP_MS)
			}
			await advanceUntil(() => fleet.monitor.starts.length > 1)
			expect(fleet.monitor.starts).to.have.length(2)
			expect(fleet.monitor.violations).to.deep.equal([])
		}
	})

	it("does not make a new holder shorten the leases of its predecessor", async () => {
		const {first, fleet, plan, submit, advance, advanceUntil, hosts} = await createServingDomain({
			hosts: 2
		})
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 60000}))
		await advance(2000)
		const [{worker} = {worker: ""}] = fleet.monitor.starts
		const [, second] = hosts
		// The old holder reaches the worker and not the store; its successor reaches the store and not the worker.
		plan.isLost = (hostId, call) =>
			hostId === first.id ? call.target === "store" : call.target === worker
		await advanceUntil(() => second!.board.terms.has("loaded"))
		for (const afterMs of [500, 2000]) {
			await advance(afterMs)
			second!.clock.setForward(STEP_MS)
		}
		await advanceUntil(() => fleet.monitor.starts.length > 1)
		expect(fleet.monitor.starts).to.have.length(2)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("does not make a host take the domain over while its holder may command workers", async () => {
		for (let offsetMs = 0; offsetMs < 2000; offsetMs += 100) {
			const {first, plan, advance, clock, hosts, findHolder} = await createServingDomain({hosts: 2})
			const [, second] = hosts
			await advance(2000)
			plan.isLost = (hostId, call) => hostId === first.id && call.path === "/v1/rows-tx"
			await advance(offsetMs)
			second!.clock.setForward(STEP_MS)
			let wasShared = false
			for (let passedMs = 0; passedMs < 4000; passedMs += LOOK_MS) {
				await advance(LOOK_MS)
				const isTaken = second!.board.authority.get("fleet")?.isHeldHere === true
				wasShared ||= isTaken && isTermConfirmed(first.board, clock.now())
			}
			expect(findHolder()).not.to.equal(undefined)
			expect(wasShared, `set forward ${offsetMs} ms after the last renewal was lost`).to.equal(
				false
			)
		}
	})

	it("does not make the holder of a zone give up a worker before its lease has expired", () => {
		const board = createBoard()
		const member = {taskId: "task-1", workerId: "worker-1", incarnation: "i", accelerators: [0]}
		const gang = createRecoveredGang("job-1", {epoch: 1, attempt: 1, members: [member]}, 0)
		const leaseMs = WORKER_LEASE_MS + LEASE_MARGIN_MS
		board.clockJumps.set("total", STEP_MS)
		const isExpiredAt = (now: number) => isMemberLeaseExpired(board, gang, gang.members[0]!, now)
		expect(isExpiredAt(leaseMs + STEP_MS - 100)).to.equal(false)
		expect(isExpiredAt(leaseMs + STEP_MS + 100)).to.equal(true)
	})

	it("lengthens no lease that the holder grants", async () => {
		const {first, fleet, plan, submit, advance, clock} = await createServingDomain()
		const granted: number[] = []
		plan.isLost = (_, call: FleetCall) => {
			const until = (call.body as {until_ms?: number} | undefined)?.until_ms
			if (until !== undefined) granted.push(until - clock.now())
			return false
		}
		for (let step = 0; step < 5; step++) {
			await advance(1100)
			first.clock.setForward(SMALL_STEP_MS)
			// A start asks for a lease too, by the clock of the worker's last answer.
			await submit(first, `${BATCH}${step.toString().padStart(ID_A.length, "0")}`, createJob())
		}
		await advance(1000)
		expect(granted.length).to.be.above(5)
		expect(Math.max(...granted)).to.be.at.most(NODE_LEASE_MS + TOLERANCE_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})
})
