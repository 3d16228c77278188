/** How soon work goes on once the store is back, or a new term has begun. */
import {expect} from "chai"
import {DOMAIN_LEASE_MS, TAKE_OVER_SPREAD_MS} from "../src/internal.js"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {type DomainHost, BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const FIRST_ID = "0000000000000001"
const WAITING_ID = "0000000000000002"

/** The longest lease of a lost holder, and the spread of the take-overs. */
const TAKEN_OVER_MAX_MS = DOMAIN_LEASE_MS + TAKE_OVER_SPREAD_MS

/** Bound on the time for which work that could run stands still once the store can be used. */
const STILL_MAX_MS = 3000

function stopHolder(host: DomainHost): void {
	host.stop()
	host.board.authority.delete("fleet")
}

function isStoreRead({target, path}: FleetCall): boolean {
	return target === STORE_TARGET && path === "/v1/rows-get"
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
})
