/** Indexes guarantee placements by worker, and checks whether they are still valid. */
import {
	type FleetTask,
	type FleetWorker,
	type GuaranteePlacement,
	type GuaranteeUnit,
	HomeWorker
} from "../internal.js"

export interface WorkerHome {
	readonly unit: GuaranteeUnit
	readonly accelerators: readonly number[]
}

export class GuaranteeHomes {
	readonly list: readonly GuaranteePlacement[]
	/** Number of units that have a placement. */
	readonly count: number
	readonly #byWorker = new Map<string, WorkerHome[]>()

	constructor(list: readonly GuaranteePlacement[]) {
		this.list = list
		this.count = list.filter(({members}) => members.length > 0).length
		for (const {unit, members} of list) {
			for (const {workerId, accelerators} of members) {
				const homes = this.#byWorker.get(workerId) ?? []
				homes.push({unit, accelerators})
				this.#byWorker.set(workerId, homes)
			}
		}
	}

	listAt(workerId: string): readonly WorkerHome[] {
		return this.#byWorker.get(workerId) ?? []
	}

	listWorkers(): Iterable<string> {
		return this.#byWorker.keys()
	}

	/** Workspace whose guarantee placement contains the accelerator, or undefined. */
	findOwner(workerId: string, at: number): string | undefined {
		return this.listAt(workerId).find(({accelerators}) => accelerators.includes(at))?.unit.workspace
	}

	/**
	 * True if the task runs only on guarantee placements of its own workspace, so that no workspace can reclaim them.
	 */
	isCovered(workerId: string, {workspace, accelerators}: FleetTask): boolean {
		return (
			accelerators.length > 0 &&
			accelerators.every(at => this.findOwner(workerId, at) === workspace)
		)
	}

	/** True if every guarantee placement on the worker is still valid. */
	isKeptOn(worker: FleetWorker, now: number): boolean {
		const homes = this.listAt(worker.id)
		if (homes.length === 0) return true
		if (!worker.usable) return false
		const packed = new HomeWorker(worker, now)
		return homes.every(({unit, accelerators}) => {
			if (!packed.canHold(unit, accelerators)) return false
			packed.assign(unit, accelerators)
			return true
		})
	}

	/** Masks the guarantee placements of other workspaces, for the placement of unstoppable work. */
	restrict(worker: FleetWorker, workspace: string): FleetWorker {
		const foreign = this.listAt(worker.id).filter(({unit}) => unit.workspace !== workspace)
		if (foreign.length === 0) return worker
		const kept = new Set(foreign.flatMap(({accelerators}) => accelerators))
		return {...worker, free: worker.free.map((isFree, at) => isFree && !kept.has(at))}
	}
}
