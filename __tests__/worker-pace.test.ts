/** How fast workers are, estimated from the progress of the runs of one step. */
import {expect} from "chai"
import {
	type TaskRef,
	TaskPhase,
	WorkerPaces,
	createOccurrence,
	createTaskRef,
	createWorkflowEntry
} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"

const SPEEDS: Readonly<Record<string, number>> = {fast: 0.8, mean: 1, slow: 1.25}
const WORKERS = Object.keys(SPEEDS)

/** Creates running tasks of one step, two on each worker, with work that varies between them. */
function createRuns(workMs: number, ranMs: number, step: Record<string, unknown> = {}): TaskRef[] {
	const factors = [0.9, 1.1]
	const count = WORKERS.length * factors.length
	const spec = decodeWorkflow({steps: [{count, gpu: 1, ...step}]})._unsafeUnwrap()
	const record = {id: `work-${workMs}`, workspace: "office", queue: "batch", service: "trace"}
	const limits = {priority: 2, maxAttempts: 2, acceptedAtWallMs: 0}
	const workflow = createWorkflowEntry({...record, ...limits, spec}, 0, 0)
	const occurrence = createOccurrence(workflow.record, 0)
	return Array.from({length: count}, (_, index) => {
		const ref = createTaskRef(workflow, occurrence, 0, index)!
		const workerId = WORKERS[index % WORKERS.length]!
		const factor = factors[Math.floor(index / WORKERS.length)]!
		const totalMs = workMs * factor * SPEEDS[workerId]!
		ref.task.phase = TaskPhase.running
		ref.task.workerId = workerId
		ref.task.startedAt = 1000
		ref.task.startPercent = 30
		ref.task.percent = Math.min(100, 30 + Math.round((ranMs / totalMs) * 100))
		ref.task.progressAt = 1000 + ranMs
		return ref
	})
}

describe("the pace of workers", () => {
	it("tells fast workers from slow ones from one look at running work that it has not seen begin", () => {
		const paces = new WorkerPaces()
		paces.update([...createRuns(9500, 3000), ...createRuns(400000, 150000)])
		expect(paces.find("fast")).to.be.within(0.7, 0.9)
		expect(paces.find("mean")).to.be.within(0.9, 1.1)
		expect(paces.find("slow")).to.be.within(1.1, 1.4)
	})

	it("knows nothing from little progress, few runs, waiting members or steps with a data rack", () => {
		const paces = new WorkerPaces()
		const waiting = createRuns(1000, 5000)
		const bound = createRuns(9500, 3000, {data_rack: "rack-1"})
		const few = createRuns(8000, 3000).slice(0, 5)
		paces.update([...createRuns(9500, 500), ...waiting, ...bound, ...few])
		expect(WORKERS.map(worker => paces.find(worker))).to.deep.equal([1, 1, 1])
	})

	it("bounds what runs that are held up do to their worker's pace", () => {
		const paces = new WorkerPaces()
		const runs = createRuns(9500, 3000)
		for (const {task} of runs) if (task.workerId === "slow") task.progressAt += 1000000
		paces.update(runs)
		expect(paces.find("slow")).to.equal(2)
	})
})
