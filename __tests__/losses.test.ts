/** What stopping a run loses, which stalls are waited for, and which workers are left alone, without a network. */
import {expect} from "chai"
import {TaskPhase, computeLostWork, findStall, recordCheckpoint} from "../src/internal.js"
import {BATCH, URGENT, createJob, createServingDomain} from "./fixtures/domain.js"
import {createRuns} from "./fixtures/runs.js"

const NOW = 10000
/** Eight accelerators and no cores count as 64 cores. */
const WHOLE = {cpu: 0, gpu: 8}

describe("the loss of a run", () => {
	it("is seen from the latest checkpoint once a run is released", () => {
		const [run] = createRuns("one", {...WHOLE, count: 1, checkpointing: true}, {startedAt: 1000})
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

describe("a run without progress", () => {
	function findStallAfter(ranMs: number, stalledMs: number, step: Record<string, unknown> = {}) {
		const [run] = createRuns("stalled", {count: 1, estimate_ms: 8000, ...step})
		Object.assign(run!.task, {percent: 80, progressAt: ranMs})
		return findStall(run!, ranMs + stalledMs)
	}

	// Failure pattern: workers stand still for 6 s and go on. Gangs that were nearly done were stopped after 2.6 s.
	it("is waited for as long as it takes to do its work again", () => {
		expect(findStallAfter(7000, 2700)).to.deep.equal({stalledMs: 2700, patienceMs: 7000})
		expect(findStallAfter(60000, 2700)?.patienceMs).to.equal(10000)
	})

	it("is given up at once if it has done little or has a checkpoint", () => {
		expect(findStallAfter(500, 2700)?.patienceMs).to.equal(2600)
		expect(findStallAfter(7000, 2700, {checkpointing: true})?.patienceMs).to.equal(2600)
		expect(findStallAfter(7000, 2500)).to.equal(undefined)
	})

	// Failure pattern: workers carry starts out late. The members that waited for them were taken for stalled.
	it("is not the fault of its worker while a member of its gang is missing", () => {
		const [first, second] = createRuns("gang", {count: 2, gang: true})
		second!.task.phase = TaskPhase.starting
		expect(findStall(first!, 5000)).to.equal(undefined)
		Object.assign(second!.task, {phase: TaskPhase.running, startedAt: 4000})
		expect(findStall(first!, 6000)).to.equal(undefined)
		expect(findStall(first!, 7000)?.stalledMs).to.equal(3000)
	})
})
