/** What waits that were made short must not break, and where they may still be long. */
import {expect} from "chai"
import {ENTRIES_BACK_MS, StartGate, TaskPhase} from "../src/internal.js"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, URGENT, createDomain, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000034"
const URGENT_ID = "0000000000000035"
const LATE_START_MS = 7000
const WORKERS = 90
const TASKS = 400
/** Bound on the time for which work that could run stands still. */
const STILL_MAX_MS = 3000

function isTableRead({target, path, query}: FleetCall, table: string): boolean {
	const isRead = path === "/v1/rows-get" || path === "/v1/rows-feed"
	return target === STORE_TARGET && isRead && query.get("table") === table
}

describe("a short wait for a start", () => {
	it("does not run a task twice if a start of an earlier holder reaches the next process of a worker", async () => {
		const {first, hosts, fleet, plan, submit, advance, advanceUntil} = await createServingDomain({
			hosts: 2
		})
		let starts = 0
		plan.computeDelay = (_, {path}) =>
			path === "/v1/run-start" && ++starts === 1 ? LATE_START_MS : 2
		await submit(first, `${BATCH}${ID}`, createJob({workMs: 30000}))
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		const [{worker} = {worker: ""}] = fleet.monitor.starts
		plan.isRefused = (hostId, {target}) => hostId === first.id && target === STORE_TARGET
		const second = hosts.find(host => host !== first)
		const takenMs = await advanceUntil(() => second?.board.terms.has("loaded") === true)
		expect(takenMs).to.be.below(4500)
		await advance(600)
		plan.isClosed = (_, {target}) => target === worker
		fleet.workers.get(worker)?.restart()
		await advance(LATE_START_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("does not take a process for ended whose long poll is still open", async () => {
		const {first, fleet, plan, clock, submit, advance, advanceUntil} = await createServingDomain()
		await submit(first, `${BATCH}${ID}`, createJob({workMs: 30000}))
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		await advance(2000)
		const [{worker} = {worker: ""}] = fleet.monitor.starts
		// Wait for the beginning of a long poll.
		let isPolled = false
		plan.computeDelay = (_, {target, path}) => {
			isPolled ||= target === worker && path === "/v1/hold"
			return 2
		}
		await advanceUntil(() => isPolled)
		plan.isClosed = (_, {target}) => target === worker
		for (let index = 0; index < 2; index++) {
			first.board.reportRequests.set(worker, clock.now())
			await advance(50)
		}
		await advance(500)
		plan.isClosed = () => false
		await advance(2000)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("takes a worker for gone that stays missing while the list fails now and then", async () => {
		const {first, fleet, plan, advance, advanceUntil} = await createServingDomain()
		let reads = 0
		plan.isRefused = (_, call) => isTableRead(call, "servers") && ++reads % 3 === 0
		await advanceUntil(() => reads === 3)
		fleet.store.deleteRow("servers", "w1")
		await advance(3 * ENTRIES_BACK_MS)
		expect(first.board.nodes.get("w1")?.listed ?? false).to.equal(false)
	})

	it("keeps its version of the table when one long poll is refused", async () => {
		const {first, plan, submit, advance, advanceUntil} = await createServingDomain()
		await submit(first, `${BATCH}${ID}`, createJob({workMs: 30000}))
		await advance(3000)
		const paths: string[] = []
		let isOver = false
		plan.isRefused = (_, call) => {
			const isPoll = call.target === STORE_TARGET && call.path === "/v1/rows-feed"
			if (isOver && call.path === "/v1/rows-get")
				paths.push(`${call.path} ${call.query.get("table") ?? ""}`)
			if (!isPoll || isOver || isTableRead(call, "servers") || isTableRead(call, "op")) return false
			isOver = true
			return true
		}
		await advanceUntil(() => isOver)
		await advance(1000)
		expect(paths.filter(path => !path.endsWith(" servers"))).to.deep.equal([])
	})

	it("starts work on workers that answer while others are silent", async () => {
		const {fleet, plan, addHost, submit, advance, advanceUntil, findHolder} = createDomain()
		for (let index = 1; index <= WORKERS; index++) fleet.addWorker(`w${index}`)
		const host = addHost()
		await advanceUntil(() => findHolder() !== undefined)
		await advance(1000)
		const isSilent = (id: string) => Number(id.slice(1)) % 3 !== 0
		plan.isLost = (_, {target}) => target !== STORE_TARGET && isSilent(target)
		await submit(host, `${BATCH}${ID}`, createJob({count: TASKS, workMs: 30000}))
		const countPlanned = () =>
			[...host.board.runs.values()].filter(
				({task}) => task.phase === TaskPhase.planned && !isSilent(task.workerId)
			).length
		await advanceUntil(() => fleet.monitor.starts.length > 0)
		const takenMs = await advanceUntil(() => countPlanned() === 0, 15000)
		expect(takenMs, `${fleet.monitor.starts.length} starts`).to.be.below(STILL_MAX_MS)
	})

	it("starts urgent work soon while starts of other work wait for the window", async () => {
		const {clock, fleet, plan, addHost, submit, advance, advanceUntil, findHolder} = createDomain()
		for (let index = 1; index <= WORKERS; index++) fleet.addWorker(`w${index}`)
		const host = addHost()
		await advanceUntil(() => findHolder() !== undefined)
		await advance(1000)
		let freeAt = 0
		plan.computeDelay = (_, {target}) => {
			if (target === STORE_TARGET) return 2
			freeAt = Math.max(clock.now(), freeAt) + 4
			return freeAt - clock.now()
		}
		await submit(host, `${BATCH}${ID}`, createJob({count: 600, workMs: 20000}))
		await advanceUntil(() => fleet.monitor.starts.length > 20)
		const before = fleet.monitor.starts.length
		await submit(host, `${URGENT}${URGENT_ID}`, createJob({workMs: 1000}))
		const takenMs = await advanceUntil(() =>
			fleet.monitor.starts.some(({task}) => task.startsWith(URGENT_ID))
		)
		const reasons = [...host.board.events.values()]
			.filter(({name, fields}) => name === "workflow-still" && fields.workflow === URGENT_ID)
			.map(({reason}) => reason)
		// The plan is durable within some milliseconds; what it waits for is the window.
		expect(takenMs, `${before} starts before, ${fleet.monitor.starts.length} in all`).to.be.below(
			1000
		)
		expect(reasons).not.to.include(StartGate.planUnsaved)
	})

	for (const delayMs of [2, 100])
		it(`starts hundreds of tasks in time on workers that answer soundly (${delayMs} ms each way)`, async () => {
			const {fleet, plan, addHost, submit, advance, advanceUntil, findHolder} = createDomain()
			for (let index = 1; index <= WORKERS; index++) fleet.addWorker(`w${index}`)
			const host = addHost()
			await advanceUntil(() => findHolder() !== undefined)
			await advance(1000)
			plan.computeDelay = (_, {target}) => (target === STORE_TARGET ? 2 : delayMs)
			await submit(host, `${BATCH}${ID}`, createJob({count: TASKS, workMs: 30000}))
			const takenMs = await advanceUntil(() => fleet.monitor.starts.length === TASKS, 15000)
			expect(takenMs).to.be.below(STILL_MAX_MS)
		})

	it("counts a worker as answering whose poll is answered after a requested report was lost", async () => {
		const {first, plan, clock, advance, advanceUntil} = await createServingDomain()
		let isPolled = false
		plan.computeDelay = (_, {target, path}) => {
			isPolled ||= target === "w1" && path === "/v1/hold"
			return 2
		}
		await advanceUntil(() => isPolled)
		await advance(1000)
		let isLost = false
		plan.isLost = (_, {target, body}) => {
			const isRequested = target === "w1" && (body as {wait_ms?: number}).wait_ms === 0
			if (!isRequested || isLost) return false
			isLost = true
			return true
		}
		first.board.reportRequests.set("w1", clock.now())
		let unansweredMs = 0
		for (let index = 0; index < 600; index++) {
			await advance(5)
			if ((first.board.nodes.get("w1")?.failures ?? 0) > 0) unansweredMs += 5
		}
		expect(isLost).to.equal(true)
		expect(unansweredMs).to.equal(0)
	})
})
