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
} from "../../internal.js"

const OWN_COST = 0
const FREE_COST = 1
/** Up to one is added for the work lost by stopping. */
const STOPPABLE_COST = 2
const LOSS_SCALE = 1e9

/** A block that fits one member of a guaranteed shape. */
export interface BlockFit {
	readonly worker: PackingWorker
	readonly accelerators: readonly number[]
	readonly cost: number
	/** Number of the block's accelerators that the workspace itself holds. */
	readonly own: number
}

interface AssignedBlock {
	readonly workspace: string
	readonly shape: GangShape
	readonly accelerators: readonly number[]
}

type Resource = "cpus" | "memoryMb"

export class PackingWorker {
	readonly worker: FleetWorker
	readonly #now: number
	readonly #tasksAt: (FleetTask[] | undefined)[]
	readonly #assigned: boolean[]
	readonly #assignedBlocks: AssignedBlock[] = []
	readonly #unstoppableTasks: readonly FleetTask[]
	readonly #unstoppableDemand: Readonly<Record<Resource, number>>

	constructor(worker: FleetWorker, now: number) {
		this.worker = worker
		this.#now = now
		this.#tasksAt = Array.from({length: worker.accelerators}, () => undefined)
		this.#assigned = Array.from({length: worker.accelerators}, () => false)
		for (const task of worker.tasks)
			for (const at of task.accelerators) (this.#tasksAt[at] ??= []).push(task)
		this.#unstoppableTasks = worker.tasks.filter(({stoppable}) => !stoppable)
		this.#unstoppableDemand = {
			cpus: this.#unstoppableTasks.reduce((sum, {cpus}) => sum + cpus, 0),
			memoryMb: this.#unstoppableTasks.reduce((sum, {memoryMb}) => sum + memoryMb, 0)
		}
	}

	/** The cheapest block for one member of the unit, or undefined if none fits. */
	findFit(unit: GuaranteeUnit): BlockFit | undefined {
		const {accelerators: count} = unit.shape
		let best: BlockFit | undefined
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
		this.#assignedBlocks.push({workspace, shape, accelerators})
		for (const at of accelerators) this.#assigned[at] = true
	}

	#computeCost(workspace: string, accelerators: readonly number[]): number {
		let cost = 0
		for (const at of accelerators) cost += this.#computeAcceleratorCost(workspace, at)
		return cost
	}

	#computeAcceleratorCost(workspace: string, at: number): number {
		if (this.#assigned[at] !== false) return Infinity
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
		const blocks = [...this.#assignedBlocks, {workspace, shape, accelerators}]
		return this.#isWithin("cpus", blocks) && this.#isWithin("memoryMb", blocks)
	}

	/** Unstoppable work inside its workspace's blocks uses their demand first; only the excess counts in addition. */
	#isWithin(resource: Resource, blocks: readonly AssignedBlock[]): boolean {
		const capacity = this.worker[resource]
		const demand = blocks.reduce((sum, {shape}) => sum + shape[resource], 0)
		if (demand + this.#unstoppableDemand[resource] <= capacity) return true
		const workspaces = new Set(blocks.map(({workspace}) => workspace))
		let covered = 0
		for (const workspace of workspaces) {
			const own = blocks.filter(block => block.workspace === workspace)
			const inside = this.#sumTasksInside(resource, workspace, own)
			covered += Math.min(
				inside,
				own.reduce((sum, {shape}) => sum + shape[resource], 0)
			)
		}
		return demand + this.#unstoppableDemand[resource] - covered <= capacity
	}

	#sumTasksInside(resource: Resource, workspace: string, own: readonly AssignedBlock[]): number {
		const isInside = (at: number) => own.some(({accelerators}) => accelerators.includes(at))
		return this.#unstoppableTasks
			.filter(task => task.workspace === workspace && task.accelerators.every(isInside))
			.reduce((sum, task) => sum + task[resource], 0)
	}
}
