/**
 * The runs that a domain's holder has placed and that may still run, by task id. The section also keeps each worker's
 * runs and their total demand, so that decisions need not compute them.
 */
import {
	type Occurrence,
	type ResourceDemand,
	type StepProgress,
	type StepSpec,
	type TaskProgress,
	type WorkflowEntry,
	Section
} from "../internal.js"

/** One task with its step, occurrence and workflow. */
export interface TaskRef {
	readonly taskId: string
	readonly workflow: WorkflowEntry
	readonly occurrence: Occurrence
	readonly stepIndex: number
	readonly spec: StepSpec
	readonly step: StepProgress
	readonly task: TaskProgress
}

interface WorkerRuns {
	readonly runs: Map<string, TaskRef>
	cpuMillis: number
	memoryMb: number
	accelerators: number
}

const NO_DEMAND: ResourceDemand = {cpuMillis: 0, memoryMb: 0, accelerators: 0}
const NO_RUNS: ReadonlyMap<string, TaskRef> = new Map()

export class RunSection extends Section<string, TaskRef> {
	readonly #byWorker = new Map<string, WorkerRuns>()
	/** Worker to whose total each task was added. */
	readonly #workerOfTask = new Map<string, string>()

	override set(taskId: string, ref: TaskRef): void {
		this.#remove(taskId)
		this.#add(taskId, ref)
		super.set(taskId, ref)
	}

	override delete(taskId: string): boolean {
		this.#remove(taskId)
		return super.delete(taskId)
	}

	override take(taskId: string): TaskRef | undefined {
		this.#remove(taskId)
		return super.take(taskId)
	}

	/** Runs on one worker, of any incarnation. */
	listOn(workerId: string): ReadonlyMap<string, TaskRef> {
		return this.#byWorker.get(workerId)?.runs ?? NO_RUNS
	}

	/** Total demand of the runs on one worker. */
	sumDemandOn(workerId: string): ResourceDemand {
		return this.#byWorker.get(workerId) ?? NO_DEMAND
	}

	/** Workers that have runs. */
	listWorkers(): IterableIterator<string> {
		return this.#byWorker.keys()
	}

	#add(taskId: string, ref: TaskRef): void {
		const {workerId} = ref.task
		const entry = this.#byWorker.get(workerId) ?? {
			runs: new Map<string, TaskRef>(),
			cpuMillis: 0,
			memoryMb: 0,
			accelerators: 0
		}
		this.#byWorker.set(workerId, entry)
		this.#workerOfTask.set(taskId, workerId)
		entry.runs.set(taskId, ref)
		adjustDemand(entry, ref.spec, 1)
	}

	#remove(taskId: string): void {
		const workerId = this.#workerOfTask.get(taskId)
		if (workerId === undefined) return
		this.#workerOfTask.delete(taskId)
		const entry = this.#byWorker.get(workerId)
		const ref = entry?.runs.get(taskId)
		if (entry === undefined || ref === undefined) return
		entry.runs.delete(taskId)
		adjustDemand(entry, ref.spec, -1)
		if (entry.runs.size === 0) this.#byWorker.delete(workerId)
	}
}

function adjustDemand(entry: WorkerRuns, {demand, usesIdleCpu}: StepSpec, sign: 1 | -1): void {
	if (!usesIdleCpu) entry.cpuMillis += sign * demand.cpuMillis
	entry.memoryMb += sign * demand.memoryMb
	entry.accelerators += sign * demand.accelerators
}
