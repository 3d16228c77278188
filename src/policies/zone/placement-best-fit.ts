/**
 * Best fit over buddy blocks: each member takes the smallest sufficient free block, on the fullest worker that has
 * one. A gang bound to a rack takes one where few workers could serve it. Large blocks and well-stocked racks thus
 * stay whole for the gangs that need them.
 */
import {
	type FleetIndex,
	type FleetRack,
	type FleetWorker,
	type GangShape,
	type MemberChoice,
	type PlacementPolicy,
	type PlacementRequest,
	Adjacency,
	buildChoice,
	computeFreeOrders,
	computeOrder,
	countFree,
	findTightestBlock,
	isMemberFitting,
	mayUseFailedWorkers
} from "../../internal.js"

/** Workers of one bucket that may fail to fit before the next bucket is tried. */
const BUCKET_MISSES_MAX = 16

/** Racks that are compared before the best of them is taken. */
const RACKS_COMPARED = 8

interface RackChoice {
	readonly members: readonly MemberChoice[]
	/** Accelerators left free on the chosen workers. */
	readonly waste: number
}

export class BestFitPlacementPolicy implements PlacementPolicy {
	readonly name = "best-fit"

	place(request: PlacementRequest, fleet: FleetIndex): readonly MemberChoice[] | undefined {
		const picked = this.#pick(request, fleet, request.failedOn)
		if (picked !== undefined || !mayUseFailedWorkers(request, fleet)) return picked
		return this.#pick(request, fleet, [])
	}

	#pick(
		request: PlacementRequest,
		fleet: FleetIndex,
		excluded: readonly string[]
	): readonly MemberChoice[] | undefined {
		if (request.shape.adjacency === Adjacency.rack && request.shape.members > 1)
			return this.#pickRack(request, fleet, excluded)
		return (
			this.#pickAnywhere(request, fleet, excluded, BUCKET_MISSES_MAX) ??
			this.#pickAnywhere(request, fleet, excluded, Infinity)
		)
	}

	#pickAnywhere(
		request: PlacementRequest,
		fleet: FleetIndex,
		excluded: readonly string[],
		missesMax: number
	): readonly MemberChoice[] | undefined {
		const {shape} = request
		const chosen: MemberChoice[] = []
		for (const bucket of fleet.listBuckets(shape)) {
			let misses = 0
			for (const worker of bucket.workers.values()) {
				const choice = this.#fit(request, worker, excluded)
				if (choice !== undefined) chosen.push(choice)
				else if (++misses >= missesMax) break
				if (chosen.length === shape.members) return chosen
			}
		}
		return undefined
	}

	#pickRack(
		request: PlacementRequest,
		fleet: FleetIndex,
		excluded: readonly string[]
	): readonly MemberChoice[] | undefined {
		let best: RackChoice | undefined
		let compared = 0
		for (const rack of fleet.listRacks(request.shape)) {
			const choice = this.#pickInRack(request, rack, excluded)
			if (choice === undefined) continue
			if (best === undefined || choice.waste < best.waste) best = choice
			if (++compared === RACKS_COMPARED) break
		}
		return best?.members
	}

	#pickInRack(
		request: PlacementRequest,
		rack: FleetRack,
		excluded: readonly string[]
	): RackChoice | undefined {
		const {shape} = request
		const workers = [...rack.workers.values()].sort((a, b) => compareFullness(a, b, shape))
		const members: MemberChoice[] = []
		let waste = 0
		for (const worker of workers) {
			const choice = this.#fit(request, worker, excluded)
			if (choice === undefined) continue
			members.push(choice)
			waste += countFree(worker.free) - shape.accelerators
			if (members.length === shape.members) return {members, waste}
		}
		return undefined
	}

	#fit(
		{shape, restrict}: PlacementRequest,
		worker: FleetWorker,
		excluded: readonly string[]
	): MemberChoice | undefined {
		if (excluded.includes(worker.id)) return undefined
		const candidate = restrict === undefined ? worker : restrict(worker)
		if (!isMemberFitting(candidate, shape)) return undefined
		return buildChoice(candidate, shape, findTightestBlock(candidate.free, shape.accelerators))
	}
}

/** Orders by the smallest sufficient block, then the fullest worker first. */
function compareFullness(a: FleetWorker, b: FleetWorker, shape: GangShape): number {
	return (
		computeTightSize(a, shape) - computeTightSize(b, shape) || countFree(a.free) - countFree(b.free)
	)
}

function computeTightSize(worker: FleetWorker, {accelerators}: GangShape): number {
	const order = Math.max(0, computeOrder(accelerators))
	const sufficient = computeFreeOrders(worker.free) >> order
	return sufficient === 0 ? Infinity : sufficient & -sufficient
}
