/**
 * The runs that a domain's holder has placed and that may still run, by task id. The section also keeps the runs of
 * each worker, workspace and workflow with their total demand, so that decisions need not compute them.
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

interface RunGroup {
	readonly runs: Map<string, TaskRef>
	cpuMillis: number
	memoryMb: number
	accelerators: number
}

export const NO_DEMAND: ResourceDemand = {cpuMillis: 0, memoryMb: 0, accelerators: 0}
const NO_RUNS: ReadonlyMap<string, TaskRef> = new Map()

/** Runs by what they have in common, with their total demand. */
class RunGroups {
	readonly #groups = new Map<string, RunGroup>()
	/** Group that each task was added to. */
	readonly #nameOfTask = new Map<string, string>()
	readonly #countsIdleCpu: boolean

	/** With `countsIdleCpu`, CPU that other tasks leave idle counts like any other. */
	constructor(countsIdleCpu: boolean) {
		this.#countsIdleCpu = countsIdleCpu
	}

	add(name: string, ref: TaskRef): void {
		const group = this.#groups.get(name) ?? {
			runs: new Map<string, TaskRef>(),
			cpuMillis: 0,
			memoryMb: 0,
			accelerators: 0
		}
		this.#groups.set(name, group)
		this.#nameOfTask.set(ref.taskId, name)
		group.runs.set(ref.taskId, ref)
		this.#adjust(group, ref.spec, 1)
	}

	remove(taskId: string): void {
		const name = this.#nameOfTask.get(taskId)
		if (name === undefined) return
		this.#nameOfTask.delete(taskId)
		const group = this.#groups.get(name)
		const ref = group?.runs.get(taskId)
		if (group === undefined || ref === undefined) return
		group.runs.delete(taskId)
		this.#adjust(group, ref.spec, -1)
		if (group.runs.size === 0) this.#groups.delete(name)
	}

	list(name: string): ReadonlyMap<string, TaskRef> {
		return this.#groups.get(name)?.runs ?? NO_RUNS
	}

	sumDemand(name: string): ResourceDemand {
		return this.#groups.get(name) ?? NO_DEMAND
	}

	listNames(): IterableIterator<string> {
		return this.#groups.keys()
	}

	#adjust(group: RunGroup, {demand, usesIdleCpu}: StepSpec, sign: 1 | -1): void {
		if (this.#countsIdleCpu || !usesIdleCpu) group.cpuMillis += sign * demand.cpuMillis
		group.memoryMb += sign * demand.memoryMb
		group.accelerators += sign * demand.accelerators
	}
}

export class RunSection extends Section<string, TaskRef> {
	readonly #byWorker = new RunGroups(false)
	readonly #byWorkspace = new RunGroups(true)
	readonly #byWorkflow = new RunGroups(true)

	override set(taskId: string, ref: TaskRef): void {
		this.#remove(taskId)
		this.#byWorker.add(ref.task.workerId, ref)
		this.#byWorkspace.add(ref.workflow.record.workspace, ref)
		this.#byWorkflow.add(ref.workflow.record.id, ref)
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
		return this.#byWorker.list(workerId)
	}

	/** Total demand of the runs on one worker, without CPU that they take only while others leave it idle. */
	sumDemandOn(workerId: string): ResourceDemand {
		return this.#byWorker.sumDemand(workerId)
	}

	/** Workers that have runs. */
	listWorkers(): IterableIterator<string> {
		return this.#byWorker.listNames()
	}

	/** Runs of one workspace. */
	listOf(workspace: string): ReadonlyMap<string, TaskRef> {
		return this.#byWorkspace.list(workspace)
	}

	/** True if the workflow has a run. */
	hasRunOf(workflowId: string): boolean {
		return this.#byWorkflow.list(workflowId).size > 0
	}

	/** Total demand of the runs of one workspace. */
	sumDemandOf(workspace: string): ResourceDemand {
		return this.#byWorkspace.sumDemand(workspace)
	}

	#remove(taskId: string): void {
		this.#byWorker.remove(taskId)
		this.#byWorkspace.remove(taskId)
		this.#byWorkflow.remove(taskId)
	}
}
