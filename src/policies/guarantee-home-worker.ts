/**
 * A worker during the packing of guaranteed shapes. A block can be assigned to a workspace if each of its accelerators
 * is free, held by the workspace itself or held by work that may be stopped at once. The worker's processors and
 * memory must also suffice for its assigned blocks and its unstoppable work.
 */
import {
	type FleetTask,
	type FleetWorker,
	type GangShape,
	type GuaranteeUnit,
	computeLoss,
	listBlock,
	listBlockStarts
} from "../internal.js"

const OWN_COST = 0
const FREE_COST = 1
/** Up to one is added for the work lost by stopping. */
const STOPPABLE_COST = 2
const LOSS_SCALE = 1e9

/** A block that fits one member of a guaranteed shape. */
export interface HomeFit {
	readonly worker: HomeWorker
	readonly accelerators: readonly number[]
	readonly cost: number
	/** Number of the block's accelerators that the workspace itself holds. */
	readonly own: number
}

interface AssignedHome {
	readonly workspace: string
	readonly shape: GangShape
	readonly accelerators: readonly number[]
}

type Resource = "cpus" | "memoryMb"

export class HomeWorker {
	readonly worker: FleetWorker
	readonly #now: number
	readonly #tasksAt: (FleetTask[] | undefined)[]
	readonly #taken: boolean[]
	readonly #homes: AssignedHome[] = []
	readonly #hardTasks: readonly FleetTask[]
	readonly #hard: Readonly<Record<Resource, number>>

	constructor(worker: FleetWorker, now: number) {
		this.worker = worker
		this.#now = now
		this.#tasksAt = Array.from({length: worker.accelerators}, () => undefined)
		this.#taken = Array.from({length: worker.accelerators}, () => false)
		for (const task of worker.tasks)
			for (const at of task.accelerators) (this.#tasksAt[at] ??= []).push(task)
		this.#hardTasks = worker.tasks.filter(({stoppable}) => !stoppable)
		this.#hard = {
			cpus: this.#hardTasks.reduce((sum, {cpus}) => sum + cpus, 0),
			memoryMb: this.#hardTasks.reduce((sum, {memoryMb}) => sum + memoryMb, 0)
		}
	}

	/** The cheapest block for one member of the unit, or undefined if none fits. */
	findFit(unit: GuaranteeUnit): HomeFit | undefined {
		const {accelerators: count} = unit.shape
		let best: HomeFit | undefined
		for (const start of listBlockStarts(this.worker.accelerators, count)) {
			const accelerators = listBlock(start, count)
			const cost = this.#computeCost(unit.workspace, accelerators)
			if (cost >= (best?.cost ?? Infinity) || !this.#isAffordable(unit, accelerators)) continue
			best = {worker: this, accelerators, cost, own: this.#countOwn(unit.workspace, accelerators)}
		}
		return best
	}

	canHold(unit: GuaranteeUnit, accelerators: readonly number[]): boolean {
		return (
			this.#computeCost(unit.workspace, accelerators) < Infinity &&
			this.#isAffordable(unit, accelerators)
		)
	}

	assign({workspace, shape}: GuaranteeUnit, accelerators: readonly number[]): void {
		this.#homes.push({workspace, shape, accelerators})
		for (const at of accelerators) this.#taken[at] = true
	}

	#computeCost(workspace: string, accelerators: readonly number[]): number {
		let cost = 0
		for (const at of accelerators) cost += this.#computeCellCost(workspace, at)
		return cost
	}

	#computeCellCost(workspace: string, at: number): number {
		if (this.#taken[at] !== false) return Infinity
		const tasks = this.#tasksAt[at]
		if (tasks === undefined) return FREE_COST
		const others = tasks.filter(task => task.workspace !== workspace)
		if (others.some(({stoppable}) => !stoppable)) return Infinity
		if (others.length < tasks.length) return OWN_COST
		const loss = others.reduce((sum, task) => sum + computeLoss(task, this.#now), 0)
		return STOPPABLE_COST + loss / (loss + LOSS_SCALE)
	}

	#countOwn(workspace: string, accelerators: readonly number[]): number {
		const isOwn = (at: number) =>
			this.#tasksAt[at]?.some(task => task.workspace === workspace) === true
		return accelerators.filter(isOwn).length
	}

	#isAffordable({workspace, shape}: GuaranteeUnit, accelerators: readonly number[]): boolean {
		const homes = [...this.#homes, {workspace, shape, accelerators}]
		return this.#isWithin("cpus", homes) && this.#isWithin("memoryMb", homes)
	}

	/** Unstoppable work inside its workspace's blocks uses their demand first; only the excess counts in addition. */
	#isWithin(resource: Resource, homes: readonly AssignedHome[]): boolean {
		const capacity = this.worker[resource]
		const asked = homes.reduce((sum, {shape}) => sum + shape[resource], 0)
		if (asked + this.#hard[resource] <= capacity) return true
		const workspaces = new Set(homes.map(({workspace}) => workspace))
		let covered = 0
		for (const workspace of workspaces) {
			const own = homes.filter(home => home.workspace === workspace)
			const inside = this.#sumInside(resource, workspace, own)
			covered += Math.min(
				inside,
				own.reduce((sum, {shape}) => sum + shape[resource], 0)
			)
		}
		return asked + this.#hard[resource] - covered <= capacity
	}

	#sumInside(resource: Resource, workspace: string, own: readonly AssignedHome[]): number {
		const isInside = (at: number) => own.some(({accelerators}) => accelerators.includes(at))
		return this.#hardTasks
			.filter(task => task.workspace === workspace && task.accelerators.every(isInside))
			.reduce((sum, task) => sum + task[resource], 0)
	}
}
