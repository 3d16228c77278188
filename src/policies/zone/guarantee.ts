/**
 * Assigns each guaranteed shape of a zone its own guarantee placement: blocks whose accelerators are free, held by the
 * workspace itself or held by work that may be stopped at once. A task that ends only frees accelerators, so a
 * placement stays valid until unstoppable work is placed on it.
 */
import {
	type BundleContent,
	type FleetWorker,
	type GuaranteePlacement,
	type GuaranteeUnit,
	type BlockFit,
	Adjacency,
	PackingWorker,
	groupBy
} from "../../internal.js"

/** One unit for each instance of a shape that is guaranteed in the zone. */
export function listUnits(content: BundleContent, zone: string): readonly GuaranteeUnit[] {
	return content.workspaces.flatMap(({name, guarantees}) =>
		guarantees.flatMap(({shape, count, zone: guaranteedZone}, at) =>
			guaranteedZone === zone
				? Array.from({length: count}, (_, nth) => ({
						id: `${name}/${at}/${nth}`,
						workspace: name,
						shape
					}))
				: []
		)
	)
}

export interface GuaranteePacker {
	readonly name: string
	/** Returns a placement for each unit, without members if none was found. */
	pack(
		units: readonly GuaranteeUnit[],
		workers: Iterable<FleetWorker>,
		now: number
	): readonly GuaranteePlacement[]
}

/**
 * Packs the most constrained shapes first (bound to a rack, then large blocks, then many members), each on the
 * cheapest blocks: those that its workspace holds, then free ones, then those of the borrowers that lose least. Shapes
 * that their workspace has begun to use are packed before the others, so that its running gangs count against them.
 */
export class GreedyGuaranteePacker implements GuaranteePacker {
	readonly name = "greedy"

	pack(
		units: readonly GuaranteeUnit[],
		workers: Iterable<FleetWorker>,
		now: number
	): readonly GuaranteePlacement[] {
		const candidates = [...workers]
			.filter(({usable}) => usable)
			.map(worker => new PackingWorker(worker, now))
		const placements = new Map<string, GuaranteePlacement>()
		const ordered = [...units].sort(compareDifficulty)
		const active = new Set(
			candidates.flatMap(({worker}) => worker.tasks.map(({workspace}) => workspace))
		)
		for (const ownOnly of [true, false]) {
			for (const unit of ordered) {
				if (placements.has(unit.id) || (ownOnly && !active.has(unit.workspace))) continue
				const fits = this.#findFits(unit, candidates)
				if (fits === undefined || (ownOnly && fits.every(({own}) => own === 0))) continue
				placements.set(unit.id, assignPlacement(unit, fits))
			}
		}
		return units.map(unit => placements.get(unit.id) ?? {unit, members: []})
	}

	#findFits(
		unit: GuaranteeUnit,
		workers: readonly PackingWorker[]
	): readonly BlockFit[] | undefined {
		const fits: BlockFit[] = []
		for (const worker of workers) {
			if (worker.worker.accelerators < unit.shape.accelerators) continue
			const fit = worker.findFit(unit)
			if (fit !== undefined) fits.push(fit)
		}
		if (unit.shape.adjacency === Adjacency.any) return takeCheapest(fits, unit.shape.members)
		const racks = groupBy(fits, ({worker}) => worker.worker.rack)
		let best: readonly BlockFit[] | undefined
		for (const inRack of racks.values()) {
			const taken = takeCheapest(inRack, unit.shape.members)
			if (taken === undefined) continue
			if (best === undefined || sumCost(taken) < sumCost(best)) best = taken
		}
		return best
	}
}

function compareDifficulty(a: GuaranteeUnit, b: GuaranteeUnit): number {
	const isBound = ({shape}: GuaranteeUnit) =>
		shape.adjacency === Adjacency.rack && shape.members > 1 ? 1 : 0
	return (
		isBound(b) - isBound(a) ||
		b.shape.accelerators - a.shape.accelerators ||
		b.shape.members - a.shape.members
	)
}

function takeCheapest(fits: readonly BlockFit[], members: number): readonly BlockFit[] | undefined {
	if (fits.length < members) return undefined
	return [...fits].sort((a, b) => a.cost - b.cost).slice(0, members)
}

function sumCost(fits: readonly BlockFit[]): number {
	return fits.reduce((sum, {cost}) => sum + cost, 0)
}

function assignPlacement(unit: GuaranteeUnit, fits: readonly BlockFit[]): GuaranteePlacement {
	for (const {worker, accelerators} of fits) worker.assign(unit, accelerators)
	return {
		unit,
		members: fits.map(({worker, accelerators}) => ({workerId: worker.worker.id, accelerators}))
	}
}
