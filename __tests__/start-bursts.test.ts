/** A holder without the processor time for all that it could send at once, as after an outage of the store. */
import {expect} from "chai"
import {STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, type DomainHost, createDomain, createJob} from "./fixtures/domain.js"

const WORKERS = 90
/** As many as their renewals leave a host time for that takes 3 ms for each. */
const MANY_WORKERS = 200
/** Fewer than the workers have room for. */
const TASKS = 600
const ID = "00000000000000aa"

/** Makes each call to a worker take `callMs` of its host's time, one after the other. */
function occupyHosts({clock, plan}: ReturnType<typeof createDomain>, callMs: number): void {
	const freeAt = new Map<string, number>()
	plan.computeDelay = (hostId, {target}) => {
		if (target === STORE_TARGET) return 2
		const startAt = Math.max(clock.now(), freeAt.get(hostId) ?? 0)
		freeAt.set(hostId, startAt + callMs)
		return startAt + callMs - clock.now()
	}
}

function countEvents({board}: DomainHost, name: string): number {
	return [...board.events.values()].filter(event => event.name === name).length
}

describe("a holder that is short of processor time", () => {
	// Regression test: hundreds of starts that were sent at once all came too late, were stopped and sent again.
	it("starts hundreds of tasks that become ready at once without giving up any", async () => {
		const domain = createDomain()
		const {fleet, plan, addHost, submit, advance, advanceUntil, findHolder} = domain
		for (let index = 1; index <= WORKERS; index++) fleet.addWorker(`w${index}`)
		const host = addHost()
		await advanceUntil(() => findHolder() !== undefined)
		await advance(1000)
		occupyHosts(domain, 3)
		let sent = 0
		plan.isLost = (_, {path}) => {
			if (path === "/v1/run-start") sent++
			return false
		}
		await submit(host, `${BATCH}${ID}`, createJob({count: TASKS, workMs: 20000}))
		const takenMs = await advanceUntil(() => fleet.monitor.starts.length >= TASKS)
		expect(takenMs).to.be.below(5000)
		await advance(3000)
		expect(countEvents(host, "start-failed")).to.equal(0)
		expect(sent).to.equal(TASKS)
	})

	// Regression test: all workers of a new term were asked at once, and most of the answers came too late.
	it("reaches all workers of a new term at the first call", async () => {
		const domain = createDomain()
		const {fleet, addHost, advance, advanceUntil} = domain
		for (let index = 1; index <= MANY_WORKERS; index++) fleet.addWorker(`w${index}`)
		occupyHosts(domain, 3)
		const host = addHost()
		const countReached = () =>
			[...host.board.nodes.values()].filter(({incarnation}) => incarnation !== undefined).length
		const takenMs = await advanceUntil(() => countReached() === MANY_WORKERS)
		expect(takenMs).to.be.below(5000)
		await advance(1000)
		expect(countEvents(host, "worker-unreachable")).to.equal(0)
	})
})
