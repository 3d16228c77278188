/** Chooses workers for the members of a gang. */
import {
	type FleetIndex,
	type FleetWorker,
	type GangShape,
	type MemberPlacement,
	Adjacency,
	findFreeBlock,
	isEverFitting,
	isMemberFitting,
	listBlock
} from "../../internal.js"

export interface PlacementRequest {
	readonly jobId: string
	readonly workspace: string
	readonly shape: GangShape
	/** Workers that this job failed on; used only if no others could ever hold it. */
	readonly failedOn: readonly string[]
	/** Reduces a worker to the part that this job may use. */
	readonly restrict?: ((worker: FleetWorker) => FleetWorker) | undefined
}

export type MemberChoice = Omit<MemberPlacement, "taskId">

export interface PlacementPolicy {
	readonly name: string
	/** Chooses a distinct worker for every member, or returns undefined if the gang does not fit now. */
	place(request: PlacementRequest, fleet: FleetIndex): readonly MemberChoice[] | undefined
}

/**
 * True if only workers that the job failed on could ever hold it. A worker that fails every task is always free, so a
 * job that did not wait for other workers would spend all its attempts there.
 */
export function mayUseFailedWorkers(
	{shape, failedOn}: PlacementRequest,
	fleet: FleetIndex
): boolean {
	if (failedOn.length === 0) return false
	const others = [...fleet.values()].filter(({id, usable}) => usable && !failedOn.includes(id))
	return !isEverFitting(shape, others)
}

/** Baseline: the first workers in list order that fit. */
export class FirstFitPlacementPolicy implements PlacementPolicy {
	readonly name = "first-fit"

	place(request: PlacementRequest, fleet: FleetIndex): readonly MemberChoice[] | undefined {
		const {shape, failedOn, restrict} = request
		const workers = [...fleet.values()]
		const candidates = restrict === undefined ? workers : workers.map(restrict)
		const fitting = candidates.filter(worker => isMemberFitting(worker, shape))
		const preferred = fitting.filter(worker => !failedOn.includes(worker.id))
		const picked = this.#pick(preferred, shape)
		if (picked !== undefined || !mayUseFailedWorkers(request, fleet)) return picked
		return this.#pick(fitting, shape)
	}

	#pick(workers: readonly FleetWorker[], shape: GangShape): readonly MemberChoice[] | undefined {
		if (shape.adjacency === Adjacency.any) return this.#take(workers, shape)
		const racks = new Set(workers.map(({rack}) => rack))
		for (const rack of racks) {
			const chosen = this.#take(
				workers.filter(worker => worker.rack === rack),
				shape
			)
			if (chosen !== undefined) return chosen
		}
		return undefined
	}

	#take(workers: readonly FleetWorker[], shape: GangShape): readonly MemberChoice[] | undefined {
		if (workers.length < shape.members) return undefined
		return workers
			.slice(0, shape.members)
			.map(worker => buildChoice(worker, shape, findFreeBlock(worker.free, shape.accelerators)))
	}
}

/** Chooses the worker's block for `shape` that begins at accelerator `start`. */
export function buildChoice(worker: FleetWorker, shape: GangShape, start: number): MemberChoice {
	return {
		workerId: worker.id,
		incarnation: worker.incarnation,
		accelerators: listBlock(start, shape.accelerators)
	}
}
