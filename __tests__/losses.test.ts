/** What stopping a run loses, which stalls are waited for, and where gangs don't go, without a network. */
import {expect} from "chai"
import {
	type NodeCapacity,
	type PlacementUnit,
	type TaskRef,
	GUARANTEED_RANK,
	PackedRunPlacement,
	TaskPhase,
	buildNodeRun,
	computeLostWork,
	computeRunLoss,
	findStall,
	recordCheckpoint
} from "../src/internal.js"
import {DEFAULT_CAPACITY} from "../standins/fleet/fleet.js"
import {BATCH, URGENT, createJob, createServingDomain} from "./fixtures/domain.js"
import {
	LOSS_MAX,
	chooseNodes,
	createNode,
	createRefs,
	createRuns,
	createUnit
} from "./fixtures/placement.js"

const STOP_TIMES = {stopMs: 900, restoreMs: 250}
const NOW = 10000
/** Eight accelerators and no cores count as 64 cores. */
const WHOLE = {cpu: 0, gpu: 8}

/** A worker whose accelerators are all used by the run. */
function createBusyNode(id: string, run: TaskRef): NodeCapacity {
	return createNode(id, "a", {
		free: {...DEFAULT_CAPACITY, accelerators: 0},
		listRuns: () => [buildNodeRun(run, new Set(), STOP_TIMES, NOW)]
	})
}

function createGuaranteedUnit(step: Record<string, unknown>, lossMax = LOSS_MAX): PlacementUnit {
	return createUnit(createRefs("guaranteed", step), {rank: GUARANTEED_RANK, lossMax})
}

describe("the loss of a run", () => {
	it("is the work of the whole gang", () => {
		const [member] = createRuns("gang", {...WHOLE, count: 4, gang: true}, NOW - 2000)
		expect(computeRunLoss(member!, STOP_TIMES, NOW)).to.equal(4 * 64 * 2)
	})

	// Load pattern: wide gangs with checkpoints counted nothing, so that one was stopped rather than a task of little work.
	it("is the time to restore it for all members if it has checkpoints", () => {
		const step = {...WHOLE, count: 4, gang: true, checkpointing: true}
		const [member] = createRuns("gang", step, NOW - 2000)
		expect(computeRunLoss(member!, STOP_TIMES, NOW)).to.equal(4 * 64 * 0.25)
	})

	// Load pattern: bursts of urgent work. A gang that had just started over was the cheapest victim again.
	it("counts what earlier runs have lost again", () => {
		const [first, second] = createRuns("gang", {...WHOLE, count: 2, gang: true}, NOW)
		second!.task.lostWork = 300
		expect(computeRunLoss(first!, STOP_TIMES, NOW)).to.equal(300)
		first!.task.run = 3
		expect(computeRunLoss(first!, STOP_TIMES, NOW)).to.be.closeTo(300 + 2 * 128 * 1.15, 1e-6)
	})

	it("is seen from the latest checkpoint once a run is released", () => {
		const [run] = createRuns("one", {...WHOLE, count: 1, checkpointing: true}, 1000)
		recordCheckpoint(run!, "a", 9000)
		expect(computeLostWork(run!, NOW)).to.equal(64)
		run!.task.phase = TaskPhase.planned
		expect(computeLostWork(run!, NOW)).to.equal(0)
	})

	// Load pattern: urgent work that needs a worker of a gang. The log named the stop of each member, not what began it.
	it("is counted for each member of a gang by what stopped the first of them", async () => {
		const {first, fleet, submit, advance} = await createServingDomain({workers: 3})
		const gang = createJob({count: 3, gpu: 8, gang: true, workMs: 20000})
		await submit(first, `${BATCH}${"0".repeat(16)}`, gang)
		await advance(2000)
		expect(fleet.monitor.starts).to.have.length(3)
		await submit(first, `${URGENT}${"1".repeat(16)}`, createJob({gpu: 8}))
		await advance(1000)
		const released = [...first.board.events.values()].filter(({name}) => name === "run-released")
		expect(released.map(({fields}) => fields.cause)).to.deep.equal(Array(3).fill("preempted"))
		for (const {fields} of released) expect(fields.lost).to.be.greaterThan(64)
	})
})

describe("victims of urgent work", () => {
	// Load pattern: an urgent gang needs several workers. A gang that fills them was counted once for each of its members.
	it("are members of one gang rather than runs that lose more together", () => {
		const gang = createRuns("gang", {...WHOLE, count: 2, gang: true}, NOW - 4000)
		const singles = createRuns("singles", {...WHOLE, count: 2}, NOW - 6000)
		const nodes = [...singles, ...gang].map((run, index) => createBusyNode(`n${index}`, run))
		const unit = createGuaranteedUnit({...WHOLE, count: 2, gang: true})
		expect(chooseNodes(unit, nodes)).to.deep.equal(["n2", "n3"])
	})

	it("may lose no more than the unit allows, with a gang counted once", () => {
		const gang = createRuns("gang", {...WHOLE, count: 2, gang: true}, NOW - 8000)
		const nodes = gang.map((run, index) => createBusyNode(`n${index}`, run))
		const step = {...WHOLE, count: 2, gang: true}
		expect(chooseNodes(createGuaranteedUnit(step), nodes)).to.deep.equal(["n0", "n1"])
		expect(chooseNodes(createGuaranteedUnit(step, 1000), nodes)).to.equal(undefined)
	})

	// Load pattern: workers that take long to stop a run. Runs were stopped that would have ended before the stop.
	it("are not runs that end as soon as a stop would end them", () => {
		const [run] = createRuns("ending", {...WHOLE, count: 1, checkpointing: true})
		Object.assign(run!.task, {percent: 93, progressAt: NOW})
		const slots = new PackedRunPlacement().choose(createGuaranteedUnit({...WHOLE, count: 1}), [
			createBusyNode("n0", run!)
		])
		expect(slots?.map(({victims, isFree}) => ({victims, isFree}))).to.deep.equal([
			{victims: [], isFree: false}
		])
	})
})

describe("a run without progress", () => {
	const times = {objectiveMs: 0, stopMs: STOP_TIMES.stopMs}

	function findStallAfter(
		ranMs: number,
		stalledMs: number,
		objectiveMs = 0,
		step = {},
		percent = 80
	) {
		const [run] = createRuns("stalled", {count: 1, estimate_ms: 8000, ...step})
		Object.assign(run!.task, {percent, progressAt: ranMs})
		return findStall(run!, {...times, objectiveMs}, ranMs + stalledMs)
	}

	// Failure pattern: workers stand still for 6 s and go on. Gangs that were nearly done were stopped after 2.6 s.
	it("is waited for as long as it takes to do its work again", () => {
		expect(findStallAfter(4000, 2700)).to.deep.equal({stalledMs: 2700, patienceMs: 5100})
		expect(findStallAfter(60000, 2700)?.patienceMs).to.equal(10000)
	})

	it("is waited for while it could start over and still be in time", () => {
		const latestStart = 16000 - 8000 - times.stopMs - 200
		const patienceMs = findStallAfter(1000, 2700, 16000)?.patienceMs
		expect(patienceMs).to.equal(latestStart - 1000)
	})

	it("is given up at once if it has done little or has a checkpoint", () => {
		expect(findStallAfter(500, 2700)?.patienceMs).to.equal(2600)
		expect(findStallAfter(7000, 2700, 16000, {checkpointing: true})?.patienceMs).to.equal(2600)
		expect(findStallAfter(7000, 2500)).to.equal(undefined)
		expect(findStallAfter(0, 2700, 16000, {}, 0)?.patienceMs).to.equal(2600)
	})

	// Failure pattern: workers carry starts out late. The members that waited for them were taken for stalled.
	it("is not the fault of its worker while a member of its gang is missing", () => {
		const [first, second] = createRuns("gang", {count: 2, gang: true})
		second!.task.phase = TaskPhase.starting
		expect(findStall(first!, times, 5000)).to.equal(undefined)
		Object.assign(second!.task, {phase: TaskPhase.running, startedAt: 4000})
		expect(findStall(first!, times, 6000)).to.equal(undefined)
		expect(findStall(first!, times, 7000)?.stalledMs).to.equal(3000)
	})
})

describe("workers that fail runs", () => {
	// Failure pattern: a worker fails all that it starts, is left alone, and the next gang is the first to go there again.
	it("are tried again by single tasks, not by gangs", () => {
		const half = {...DEFAULT_CAPACITY, accelerators: 4}
		const nodes = [createNode("bad", "a", {isOnTrial: true, free: half}), createNode("good", "a")]
		const gang = createUnit(createRefs("gang", {gpu: 2, count: 2, gang: true}))
		expect(chooseNodes(gang, nodes)).to.deep.equal(["good", "good"])
		expect(chooseNodes(createUnit(createRefs("one", {gpu: 2, count: 1})), nodes)).to.deep.equal([
			"bad"
		])
	})
})
