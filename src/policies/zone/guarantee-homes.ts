/** Indexes guarantee placements by worker, and checks whether they are still valid. */
import {
	type FleetTask,
	type FleetWorker,
	type GuaranteePlacement,
	type GuaranteeUnit,
	PackingWorker
} from "../../internal.js"

export interface GuaranteedBlock {
	readonly unit: GuaranteeUnit
	readonly accelerators: readonly number[]
}

export class GuaranteePlacementIndex {
	readonly list: readonly GuaranteePlacement[]
	/** Number of units that have a placement. */
	readonly count: number
	readonly #byWorker = new Map<string, GuaranteedBlock[]>()

	constructor(list: readonly GuaranteePlacement[]) {
		this.list = list
		this.count = list.filter(({members}) => members.length > 0).length
		for (const {unit, members} of list) {
			for (const {workerId, accelerators} of members) {
				const blocks = this.#byWorker.get(workerId) ?? []
				blocks.push({unit, accelerators})
				this.#byWorker.set(workerId, blocks)
			}
		}
	}

	listBlocksOn(workerId: string): readonly GuaranteedBlock[] {
		return this.#byWorker.get(workerId) ?? []
	}

	listWorkers(): Iterable<string> {
		return this.#byWorker.keys()
	}

	/** Workspace whose guarantee placement contains the accelerator, or undefined. */
	findOwner(workerId: string, at: number): string | undefined {
		return this.listBlocksOn(workerId).find(({accelerators}) => accelerators.includes(at))?.unit
			.workspace
	}

	/**
	 * True if the task runs only on guarantee placements of its own workspace, so that it is neither reclaimed nor
	 * preempted.
	 */
	isCovered(workerId: string, {workspace, accelerators}: FleetTask): boolean {
		return (
			accelerators.length > 0 &&
			accelerators.every(at => this.findOwner(workerId, at) === workspace)
		)
	}

	/** True if every guarantee placement on the worker is still valid. */
	isValidOn(worker: FleetWorker, now: number): boolean {
		const blocks = this.listBlocksOn(worker.id)
		if (blocks.length === 0) return true
		if (!worker.usable) return false
		const packing = new PackingWorker(worker, now)
		return blocks.every(({unit, accelerators}) => {
			if (!packing.canHold(unit, accelerators)) return false
			packing.assign(unit, accelerators)
			return true
		})
	}

	/** Masks the guarantee placements of other workspaces, for the placement of unstoppable work. */
	restrict(worker: FleetWorker, workspace: string): FleetWorker {
		const foreign = this.listBlocksOn(worker.id).filter(({unit}) => unit.workspace !== workspace)
		if (foreign.length === 0) return worker
		const excluded = new Set(foreign.flatMap(({accelerators}) => accelerators))
		return {...worker, free: worker.free.map((isFree, at) => isFree && !excluded.has(at))}
	}
}
