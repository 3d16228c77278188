/**
 * What each workspace has of the workers, relative to its weight: the largest of its shares of CPU, memory and accelerators,
 * divided by the weight. The workspace with the smallest is the next in turn.
 */
import {
	type Board,
	type Catalog,
	type ResourceDemand,
	type StepSpec,
	NO_DEMAND,
	addUse,
	scaleUse
} from "../internal.js"

/** Digits of a share in log entries. */
const SHARE_DIGITS = 6

export class WorkspaceShares {
	readonly #board: Board
	readonly #weights: ReadonlyMap<string, number>
	/** Weight of workspaces without one while others have one. */
	readonly #lowestWeight: number
	readonly #capacity: ResourceDemand
	/** What is kept for work that has not been placed, in this round. */
	readonly #reserved = new Map<string, ResourceDemand>()

	/** `capacities` has what each worker that may be given work can hold. */
	constructor(board: Board, {workspaces}: Catalog, capacities: readonly ResourceDemand[]) {
		this.#board = board
		this.#weights = new Map(
			workspaces.flatMap(({name, weight}) => (weight === undefined ? [] : [[name, weight]]))
		)
		this.#lowestWeight = [...this.#weights.values()].reduce((a, b) => Math.min(a, b), Infinity)
		this.#capacity = capacities.reduce(addUse, NO_DEMAND)
	}

	get hasWeights(): boolean {
		return this.#weights.size > 0
	}

	compute(workspace: string): number {
		const reserved = this.#reserved.get(workspace) ?? NO_DEMAND
		const use = addUse(this.#board.runs.sumDemandOf(workspace), reserved)
		const share = Math.max(
			computeShare(use.cpuMillis, this.#capacity.cpuMillis),
			computeShare(use.memoryMb, this.#capacity.memoryMb),
			computeShare(use.accelerators, this.#capacity.accelerators)
		)
		return share / (this.#weights.get(workspace) ?? this.#lowestWeight)
	}

	/** Log fields with the workspace and, where weights are given, what it has. */
	describe(workspace: string): {readonly workspace: string; readonly share?: number} {
		if (!this.hasWeights) return {workspace}
		return {workspace, share: Number(this.compute(workspace).toFixed(SHARE_DIGITS))}
	}

	/** Counts capacity that is kept for tasks like any that they use. */
	reserve(workspace: string, spec: StepSpec, tasks: number): void {
		const reserved = this.#reserved.get(workspace) ?? NO_DEMAND
		this.#reserved.set(workspace, addUse(reserved, scaleUse(spec.demand, tasks)))
	}
}

function computeShare(used: number, capacity: number): number {
	return capacity === 0 ? 0 : used / capacity
}
