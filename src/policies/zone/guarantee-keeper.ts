/**
 * Maintains a valid placement for every guaranteed shape: refuses to place a job if fewer shapes would have one
 * afterwards, and packs again after the fleet has changed.
 */
import {
	type FleetIndex,
	type FleetTask,
	type FleetWorker,
	type GuaranteePacker,
	type GuaranteeUnit,
	type MemberChoice,
	type PlacementPolicy,
	type PlacementRequest,
	GreedyGuaranteePacker,
	GuaranteePlacementIndex,
	ReasonCode,
	addTask
} from "../../internal.js"
import {err, ok, type Result} from "neverthrow"

/** A task of a job as it would be once placed. */
export type PlannedTask = Omit<FleetTask, "taskId" | "accelerators">

export class GuaranteeKeeper {
	readonly #packer: GuaranteePacker
	#units: readonly GuaranteeUnit[] = []
	#placements = new GuaranteePlacementIndex([])
	#packedVersion = -1

	constructor(packer: GuaranteePacker = new GreedyGuaranteePacker()) {
		this.#packer = packer
	}

	get placements(): GuaranteePlacementIndex {
		return this.#placements
	}

	/** Adopts the units of a new bundle, and packs again if a guarantee placement is no longer valid. */
	sync(units: readonly GuaranteeUnit[], fleet: FleetIndex, now: number): void {
		const isNew = this.#units !== units
		this.#units = units
		if (units.length === 0) this.#placements = new GuaranteePlacementIndex([])
		else if (isNew || !this.#isEveryPlacementValid(fleet, now)) this.#repack(fleet, now)
	}

	/**
	 * Packs again if the fleet has changed and a workspace with guarantees has waiting jobs. The running gangs of the
	 * workspace then count against its shapes before it claims them.
	 */
	refresh(waiting: Iterable<string>, fleet: FleetIndex, now: number): void {
		if (this.#packedVersion === fleet.version || !this.#hasGuarantees(waiting)) return
		const packed = this.#pack([...fleet.values()], now)
		this.#packedVersion = fleet.version
		if (packed.count >= this.#placements.count) this.#placements = packed
	}

	#hasGuarantees(workspaces: Iterable<string>): boolean {
		const guaranteed = new Set(this.#units.map(({workspace}) => workspace))
		for (const workspace of workspaces) if (guaranteed.has(workspace)) return true
		return false
	}

	/**
	 * Places a gang so that no fewer guaranteed shapes than before have a placement, or returns the reason for
	 * refusing it.
	 */
	place(
		policy: PlacementPolicy,
		request: PlacementRequest,
		task: PlannedTask,
		fleet: FleetIndex,
		now: number
	): Result<readonly MemberChoice[], ReasonCode> {
		const unrestricted = policy.place(request, fleet)
		if (unrestricted === undefined) return err(ReasonCode.noRoom)
		if (this.#placements.count === 0 || task.stoppable) return ok(unrestricted)
		if (this.#hasValidPlacements(unrestricted, task, fleet, now)) return ok(unrestricted)
		if (this.#tryRepackAround(unrestricted, task, fleet, now)) return ok(unrestricted)
		const restrict = (worker: FleetWorker) =>
			this.#placements.restrict(request.restrict?.(worker) ?? worker, task.workspace)
		const restricted = policy.place({...request, restrict}, fleet)
		if (restricted !== undefined && this.#hasValidPlacements(restricted, task, fleet, now))
			return ok(restricted)
		return err(ReasonCode.guaranteeAtRisk)
	}

	#hasValidPlacements(
		members: readonly MemberChoice[],
		task: PlannedTask,
		fleet: FleetIndex,
		now: number
	): boolean {
		return buildPlannedWorkers(members, task, fleet).every(worker =>
			this.#placements.isValidOn(worker, now)
		)
	}

	/** Packs again around the members; changes nothing if fewer shapes would have a placement. */
	#tryRepackAround(
		members: readonly MemberChoice[],
		task: PlannedTask,
		fleet: FleetIndex,
		now: number
	): boolean {
		const planned = new Map(
			buildPlannedWorkers(members, task, fleet).map(worker => [worker.id, worker])
		)
		const workers = [...fleet.values()].map(worker => planned.get(worker.id) ?? worker)
		const packed = this.#pack(workers, now)
		if (packed.count < this.#placements.count) return false
		this.#placements = packed
		return true
	}

	#isEveryPlacementValid(fleet: FleetIndex, now: number): boolean {
		if (this.#placements.count < this.#units.length && this.#packedVersion !== fleet.version)
			return false
		for (const id of this.#placements.listWorkers()) {
			const worker = fleet.get(id)
			if (worker === undefined || !this.#placements.isValidOn(worker, now)) return false
		}
		return true
	}

	#repack(fleet: FleetIndex, now: number): void {
		this.#placements = this.#pack([...fleet.values()], now)
		this.#packedVersion = fleet.version
	}

	#pack(workers: readonly FleetWorker[], now: number): GuaranteePlacementIndex {
		return new GuaranteePlacementIndex(this.#packer.pack(this.#units, workers, now))
	}
}

function buildPlannedWorkers(
	members: readonly MemberChoice[],
	task: PlannedTask,
	fleet: FleetIndex
): FleetWorker[] {
	return members.flatMap(({workerId, accelerators}) => {
		const worker = fleet.get(workerId)
		if (worker === undefined) return []
		return addTask(worker, {...task, taskId: `${task.jobId} planned`, accelerators})
	})
}
