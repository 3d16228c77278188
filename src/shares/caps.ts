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
	NO_DEMAND,
	findTaskRef,
	mayHaveLostRuns
} from "../internal.js"

const NO_CAP: ResourceDemand = {
	cpuMillis: Infinity,
	memoryMb: Infinity,
	accelerators: Infinity
}

/** What workspaces with a cap may still have running, in one round of placement. */
export class WorkspaceCaps {
	readonly #board: Board
	/** Caps of the workspaces that have one. */
	readonly #caps: ReadonlyMap<string, ResourceDemand>
	/** Use of runs that are not among those of the board, by workspace. */
	readonly #foreign: ReadonlyMap<string, ResourceDemand>
	/** What is kept for work that will start once others have stopped, by workspace. */
	readonly #reserved = new Map<string, ResourceDemand>()
	/** What is kept from later work for work that waits until others have ended, by workspace. */
	readonly #withheld = new Map<string, ResourceDemand>()

	constructor(board: Board, {workspaces}: Catalog, now: number) {
		this.#board = board
		this.#caps = new Map(
			workspaces.flatMap(({name, cap}) => (isAtMost(NO_CAP, cap) ? [] : [[name, cap]]))
		)
		this.#foreign = sumForeignRuns(board, now)
	}

	/** Workspaces that have a cap. */
	listNames(): IterableIterator<string> {
		return this.#caps.keys()
	}

	/** True if `tasks` more tasks of the step may run beside what may run already. */
	isWithin(workspace: string, spec: StepSpec, tasks: number): boolean {
		if (!this.#caps.has(workspace)) return true
		return isAtMost(this.findExcess(NO_DEMAND, workspace, spec, tasks), NO_DEMAND)
	}

	/** What they would use beyond the cap once what `freed` sums up has stopped; negative where some of the cap is left. */
	findExcess(
		freed: ResourceDemand,
		workspace: string,
		spec: StepSpec,
		tasks: number
	): ResourceDemand {
		const reserved = this.#reserved.get(workspace) ?? NO_DEMAND
		const withheld = this.#withheld.get(workspace) ?? NO_DEMAND
		const used = addUse(addUse(this.findUse(workspace), reserved), withheld)
		const wanted = addUse(used, scaleUse(spec.demand, tasks))
		return addUse(wanted, scaleUse(addUse(freed, this.findCap(workspace)), -1))
	}

	/** True if they may run once all has ended that ends by itself. */
	isEverWithin(workspace: string, spec: StepSpec, tasks: number): boolean {
		let wanted = scaleUse(spec.demand, tasks)
		for (const ref of this.#board.runs.listOf(workspace).values())
			if (ref.spec.longRunning) wanted = addUse(wanted, ref.spec.demand)
		return isAtMost(wanted, this.findCap(workspace))
	}

	/** True if what may run is within the cap. */
	isKept(workspace: string): boolean {
		return isAtMost(this.findUse(workspace), this.findCap(workspace))
	}

	/** Keeps a part of the cap for tasks that will start later in any case. */
	reserve(workspace: string, spec: StepSpec, tasks: number): void {
		addTo(this.#reserved, workspace, scaleUse(spec.demand, tasks))
	}

	/** Keeps a part of the cap from later units for one that waits. */
	withhold(workspace: string, spec: StepSpec, tasks: number): void {
		this.#withheld.set(workspace, scaleUse(spec.demand, tasks))
	}

	/** True if a unit of the workspace has had a part of the cap kept for it in this round. */
	hasWithheld(workspace: string): boolean {
		return this.#withheld.has(workspace)
	}

	/** Ends the withholding of this round for workspaces that use less than half of their cap. */
	releaseWithheld(): void {
		for (const workspace of [...this.#withheld.keys()]) {
			const doubled = scaleUse(this.findUse(workspace), 2)
			if (isAtMost(doubled, this.findCap(workspace))) this.#withheld.set(workspace, NO_DEMAND)
		}
	}

	findCap(workspace: string): ResourceDemand {
		return this.#caps.get(workspace) ?? NO_CAP
	}

	/** What may run of the workspace. */
	findUse(workspace: string): ResourceDemand {
		const foreign = this.#foreign.get(workspace)
		const own = this.#board.runs.sumDemandOf(workspace)
		return foreign === undefined ? own : addUse(own, foreign)
	}
}

/** True if the cap allows the step at all: one task, or a whole gang. */
export function isEverAllowed({demand, gang, tasks}: StepSpec, cap: ResourceDemand): boolean {
	return isAtMost(scaleUse(demand, gang ? tasks : 1), cap)
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
			addTo(sums, workspace, ref.spec.demand)
		}
	}
	return sums
}

function addTo(sums: Map<string, ResourceDemand>, name: string, demand: ResourceDemand): void {
	sums.set(name, addUse(sums.get(name) ?? NO_DEMAND, demand))
}

export function addUse(a: ResourceDemand, b: ResourceDemand): ResourceDemand {
	return {
		cpuMillis: a.cpuMillis + b.cpuMillis,
		memoryMb: a.memoryMb + b.memoryMb,
		accelerators: a.accelerators + b.accelerators
	}
}

export function scaleUse({cpuMillis, memoryMb, accelerators}: ResourceDemand, factor: number) {
	return {
		cpuMillis: cpuMillis * factor,
		memoryMb: memoryMb * factor,
		accelerators: accelerators * factor
	}
}

export function isAtMost(used: ResourceDemand, cap: ResourceDemand): boolean {
	return (
		used.cpuMillis <= cap.cpuMillis &&
		used.memoryMb <= cap.memoryMb &&
		used.accelerators <= cap.accelerators
	)
}
