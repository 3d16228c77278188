/**
 * What workspaces may have running at a time. Everything that may still run counts against the cap: runs that are planned,
 * stopping or on a worker that doesn't answer, and runs that a worker shows although this holder has released them.
 */
import {
	type Board,
	type Catalog,
	type ResourceDemand,
	type StepSpec,
	type WorkflowSpec,
	type WorkspaceAccess,
	findTaskRef,
	mayHaveLostRuns
} from "../internal.js"

const NO_CAP: ResourceDemand = {
	cpuMillis: Infinity,
	memoryMb: Infinity,
	accelerators: Infinity
}
const NOTHING: ResourceDemand = {cpuMillis: 0, memoryMb: 0, accelerators: 0}

export class WorkspaceCaps {
	readonly #board: Board
	readonly #caps: ReadonlyMap<string, ResourceDemand>
	/** Use of runs that are not among those of the board, by workspace. */
	readonly #foreign: ReadonlyMap<string, ResourceDemand>
	/** What is kept for work that waits, by workspace. */
	readonly #reserved = new Map<string, ResourceDemand>()

	constructor(board: Board, {workspaces}: Catalog, now: number) {
		this.#board = board
		this.#caps = new Map(workspaces.map(({name, cap}) => [name, cap]))
		this.#foreign = sumForeignRuns(board, now)
	}

	/** True if `tasks` more tasks of the step may run beside what may run already. */
	isWithin(workspace: string, spec: StepSpec, tasks: number): boolean {
		const used = addUse(this.#computeUse(workspace), scaleUse(spec.demand, tasks))
		return isBelow(used, this.findCap(workspace))
	}

	/** True if what may run is within the cap. */
	isKept(workspace: string): boolean {
		return isBelow(this.#computeUse(workspace), this.findCap(workspace))
	}

	/** True if they may run once what `freed` sums up has stopped. */
	isWithinOnce(freed: ResourceDemand, workspace: string, spec: StepSpec, tasks: number): boolean {
		const used = addUse(this.#computeUse(workspace), scaleUse(spec.demand, tasks))
		return isBelow(addUse(used, scaleUse(freed, -1)), this.findCap(workspace))
	}

	/** Keeps room under the cap for tasks that will start later. */
	reserve(workspace: string, spec: StepSpec, tasks: number): void {
		const reserved = this.#reserved.get(workspace) ?? NOTHING
		this.#reserved.set(workspace, addUse(reserved, scaleUse(spec.demand, tasks)))
	}

	hasReserved(workspace: string): boolean {
		return this.#reserved.has(workspace)
	}

	findCap(workspace: string): ResourceDemand {
		return this.#caps.get(workspace) ?? NO_CAP
	}

	#computeUse(workspace: string): ResourceDemand {
		const own = this.#board.runs.sumDemandOf(workspace)
		const foreign = this.#foreign.get(workspace) ?? NOTHING
		return addUse(addUse(own, foreign), this.#reserved.get(workspace) ?? NOTHING)
	}
}

/** True if the cap allows the step at all: one task, or a whole gang. */
export function isEverAllowed({demand, gang, tasks}: StepSpec, cap: ResourceDemand): boolean {
	return isBelow(scaleUse(demand, gang ? tasks : 1), cap)
}

/** Names the first step that the workspace's cap never allows; undefined if there is none. */
export function describeExcess(
	{steps}: WorkflowSpec,
	{name, cap}: WorkspaceAccess
): string | undefined {
	const index = steps.findIndex(step => !isEverAllowed(step, cap))
	const step = steps[index]
	if (step === undefined) return undefined
	const {cpuMillis, memoryMb, accelerators} = scaleUse(step.demand, step.gang ? step.tasks : 1)
	const needed = `${cpuMillis} CPU millis, ${memoryMb} MB and ${accelerators} accelerators at a time`
	return `step ${index} needs ${needed}, more than the cap of workspace "${name}" allows`
}

/** A worker whose process or leases are over runs none of what it has shown. */
function sumForeignRuns(board: Board, now: number): Map<string, ResourceDemand> {
	const sums = new Map<string, ResourceDemand>()
	for (const [workerId, {foreignRuns}] of board.health.entries()) {
		if (foreignRuns.length === 0 || mayHaveLostRuns(board, workerId, now)) continue
		for (const {taskId} of foreignRuns) {
			const ref = findTaskRef(board, taskId)
			if (ref === undefined) continue
			const {workspace} = ref.workflow.record
			sums.set(workspace, addUse(sums.get(workspace) ?? NOTHING, ref.spec.demand))
		}
	}
	return sums
}

export function addUse(a: ResourceDemand, b: ResourceDemand): ResourceDemand {
	return {
		cpuMillis: a.cpuMillis + b.cpuMillis,
		memoryMb: a.memoryMb + b.memoryMb,
		accelerators: a.accelerators + b.accelerators
	}
}

function scaleUse({cpuMillis, memoryMb, accelerators}: ResourceDemand, factor: number) {
	return {
		cpuMillis: cpuMillis * factor,
		memoryMb: memoryMb * factor,
		accelerators: accelerators * factor
	}
}

function isBelow(used: ResourceDemand, cap: ResourceDemand): boolean {
	return (
		used.cpuMillis <= cap.cpuMillis &&
		used.memoryMb <= cap.memoryMb &&
		used.accelerators <= cap.accelerators
	)
}
