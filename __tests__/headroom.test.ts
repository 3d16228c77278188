/** Room that less urgent work leaves for urgent work that is about to arrive, while all workers are full. */
import {expect} from "chai"
import fc from "fast-check"
import {
	type NodeCapacity,
	RackHeadroom,
	UrgentArrivals,
	createWorkflowEntry,
	isHeadroomWanted
} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {DEFAULT_CAPACITY} from "../standins/fleet/fleet.js"
import {BATCH, URGENT, createCatalogRecord, createJob} from "./fixtures/domain.js"
import {SLOW_STOP_MS, createFullLoad} from "./fixtures/headroom.js"
import {createId, handIn} from "./fixtures/holds.js"

const SERVICE = "trace"

function createArrival(id: string, acceptedAt: number, accelerators: number) {
	const record = {
		id,
		workspace: "office",
		queue: "urgent",
		service: SERVICE,
		priority: 0,
		maxAttempts: 2,
		acceptedAtWallMs: acceptedAt,
		spec: decodeWorkflow(createJob({count: accelerators}))._unsafeUnwrap()
	}
	return createWorkflowEntry(record, acceptedAt, acceptedAt)
}

function createNode(id: string, rack: string, accelerators: number): NodeCapacity {
	return {
		id,
		incarnation: "1",
		rack,
		labels: [],
		isSuspect: false,
		isOnTrial: false,
		pace: 1,
		capacity: DEFAULT_CAPACITY,
		free: {...DEFAULT_CAPACITY, accelerators},
		listRuns: () => []
	}
}

/** 16 workers in 4 racks, of which some have accelerators free. */
function createRacks(free: Readonly<Record<string, number>>): NodeCapacity[] {
	return Array.from({length: 16}, (_, index) => {
		const id = `w${index}`
		return createNode(id, `rack-${Math.floor(index / 4)}`, free[id] ?? 0)
	})
}

function choose(accelerators: number, nodes: readonly NodeCapacity[]): string[] {
	const size = {cpuMillis: 0, memoryMb: 0, accelerators}
	return new RackHeadroom().choose(size, nodes).map(({id}) => id)
}

describe("the urgent work that is expected", () => {
	it("is the largest demand that arrived within any horizon", () => {
		const arrivals = new UrgentArrivals()
		for (const [id, at, accelerators] of [
			["a", 0, 4],
			["b", 900, 5],
			["c", 1100, 6],
			["d", 5000, 7]
		] as const)
			arrivals.record(createArrival(id, at, accelerators), SERVICE)
		expect(arrivals.computeExpected(SERVICE, 1000).demand.accelerators).to.equal(11)
		expect(arrivals.computeExpected("other", 1000).arrivals).to.equal(0)
	})

	it("forgets what arrived long ago", () => {
		const arrivals = new UrgentArrivals()
		arrivals.record(createArrival("a", 0, 8), SERVICE)
		arrivals.record(createArrival("b", 9000, 2), SERVICE)
		arrivals.expire(15000)
		expect(arrivals.computeExpected(SERVICE, 1000).demand.accelerators).to.equal(2)
	})

	it("matters where a stop takes longer than the queue's target", () => {
		const queue = {
			name: "urgent",
			host: "",
			pathPrefix: "/",
			service: SERVICE,
			priority: 0,
			maxAttempts: 2,
			stretch: 1.5,
			targetLatencyMs: 400,
			isPublic: false
		}
		expect(isHeadroomWanted(queue, SLOW_STOP_MS)).to.equal(true)
		expect(isHeadroomWanted(queue, 400)).to.equal(false)
		expect(isHeadroomWanted({...queue, priority: 1}, SLOW_STOP_MS)).to.equal(false)
	})
})

describe("the workers that are left free", () => {
	it("lie in the rack with the most room", () => {
		const nodes = createRacks({w0: 7, w4: 5, w5: 5, w9: 6})
		expect(choose(10, nodes)).to.have.members(["w4", "w5"])
	})

	it("are slow ones only after all others", () => {
		const slow = new Set(["w4", "w5"])
		const nodes = createRacks({w0: 4, w4: 6, w5: 6, w9: 6}).map(node =>
			slow.has(node.id) ? {...node, pace: 1.25} : node
		)
		expect(choose(10, nodes)).to.have.members(["w0", "w9"])
		expect(choose(14, nodes)).to.include("w4")
	})

	it("hold at most an eighth of the service", () => {
		const nodes = createRacks({w0: 8, w1: 8, w2: 8, w3: 8})
		expect(choose(32, nodes)).to.have.length(2)
	})

	it("have room, and together no more than that eighth, whatever is free", () => {
		const frees = fc.array(fc.integer({min: -8, max: 8}), {minLength: 16, maxLength: 16})
		fc.assert(
			fc.property(frees, fc.integer({min: 1, max: 200}), (free, wanted) => {
				const nodes = createRacks(
					Object.fromEntries(free.map((room, index) => [`w${index}`, room]))
				)
				const rooms = choose(wanted, nodes).map(id => free[Number(id.slice(1))] ?? 0)
				expect(Math.min(1, ...rooms)).to.equal(1)
				expect(rooms.reduce((sum, room) => sum + room, 0)).to.be.at.most(16)
			})
		)
	})

	it("are none that could not hold such work", () => {
		expect(choose(8, createRacks({}))).to.deep.equal([])
	})
})

describe("a full service", () => {
	// The load: batch work waits for every worker while urgent gangs arrive, and stopping a run takes longer than they may wait.
	it("starts urgent work without stopping others", async () => {
		const load = await createFullLoad()
		await load.advanceWithUrgent(2000)
		load.handInBatch(60)
		await load.advanceWithUrgent(2000)
		expect(load.countPreemptions()).to.equal(0)
		expect(load.first.board.headroom.get(SERVICE)?.size.accelerators).to.be.at.least(16)
	})

	it("lets batch work have the room once it would be late without", async () => {
		const load = await createFullLoad()
		const {first, advanceWithUrgent, advanceUntil} = load
		await advanceWithUrgent(1200)
		handIn(first, `${BATCH}${createId(1)}`, createJob({count: 168, workMs: 60000}))
		await advanceWithUrgent(1200)
		// It may take 3.4 s, of which a quarter is kept.
		handIn(first, `${BATCH}${createId(2)}`, createJob({workMs: 1000}))
		const waitedMs = await advanceUntil(() => first.board.runs.has(`${createId(2)}.0.0.0`), 5000)
		expect(waitedMs).to.be.within(1200, 1700)
	})

	it("lets batch work of which nothing runs have some of the room after 2 s", async () => {
		const {first, advanceWithUrgent, advanceUntil} = await createFullLoad({learnRunTimes: false})
		await advanceWithUrgent(1200)
		handIn(first, `${BATCH}${createId(1)}`, createJob({count: 168, workMs: 60000}))
		await advanceWithUrgent(1200)
		handIn(first, `${BATCH}${createId(2)}`, createJob({count: 4, workMs: 60000}))
		const waitedMs = await advanceUntil(() => first.board.runs.hasRunOf(createId(2)), 5000)
		expect(waitedMs).to.be.within(1900, 2500)
	})

	it("leaves none where runs stop within the target", async () => {
		const load = await createFullLoad({stopMs: 400})
		await load.advanceWithUrgent(2000)
		load.handInBatch(30)
		await load.advanceWithUrgent(2000)
		expect(load.first.board.headroom.size).to.equal(0)
	})

	it("knows the urgent work that another holder accepted", async () => {
		const load = await createFullLoad()
		const {first, addHost, advance, advanceUntil, handInBatch} = load
		handInBatch(60)
		await advance(500)
		for (let index = 0; index < 4; index++)
			handIn(first, `${URGENT}${createId(0x2000 + index)}`, createJob({workMs: 8000}))
		await advance(1500)
		first.stop()
		const second = addHost({stopMs: SLOW_STOP_MS})
		await advanceUntil(() => second.board.headroom.has(SERVICE), 6000)
		expect(second.board.headroom.get(SERVICE)?.arrivals).to.equal(4)
	})

	it("leaves none once a changed configuration lets urgent work wait", async () => {
		const load = await createFullLoad()
		const {first, fleet, advance, advanceWithUrgent, handInBatch} = load
		await advanceWithUrgent(2000)
		handInBatch(60)
		await advanceWithUrgent(1200)
		expect(first.board.headroom.has(SERVICE)).to.equal(true)
		const record = createCatalogRecord(2)
		const routes = record.routes.map(route => ({...route, target_latency_ms: SLOW_STOP_MS}))
		fleet.store.putRow("op", "config", {...record, routes})
		await advance(2000)
		expect(first.board.headroom.size).to.equal(0)
	})

	it("leaves room elsewhere once the workers that had it are gone", async () => {
		// The callers' estimates give the batch work time to spare until the end.
		const load = await createFullLoad({learnRunTimes: false})
		const {first, fleet, advance, advanceWithUrgent, handInBatch} = load
		await advanceWithUrgent(2000)
		handInBatch(60, {estimate_ms: 10000})
		await advanceWithUrgent(4000)
		const idle = [...first.board.nodes.keys()].filter(
			id => first.board.runs.sumDemandOn(id).accelerators === 0
		)
		expect(idle).to.have.length.above(0)
		for (const id of idle) fleet.register(id, "draining")
		await advance(2000)
		const others = [...first.board.nodes.keys()].filter(id => !idle.includes(id))
		const free = others.map(id => 8 - first.board.runs.sumDemandOn(id).accelerators)
		expect(Math.max(...free)).to.be.at.least(4)
	})

	it("keeps nothing back while most of it is idle", async () => {
		const load = await createFullLoad()
		await load.advanceWithUrgent(2000)
		handIn(load.first, `${BATCH}${createId(1)}`, createJob({count: 8}))
		await load.advance(500)
		expect(load.first.board.headroom.size).to.equal(0)
	})
})
