/**
 * Which runs of a workspace make way for its own more urgent work while it is at its cap. No room on any worker helps that
 * work before, and a guarantee holds at the cap too.
 */
import {
	type Board,
	type PlacementUnit,
	type ResourceDemand,
	type TaskRef,
	type WorkspaceCaps,
	NO_DEMAND,
	TaskPhase,
	addUse,
	buildNodeRun,
	findStopTimes,
	isAtMost,
	scaleUse
} from "../internal.js"

interface Candidate {
	/** One run, or all of a gang, which stops as a whole. */
	readonly refs: TaskRef[]
	readonly rank: number
	readonly loss: number
}

/** What a workspace may free in this round. */
interface Supply {
	/** What its runs that are being stopped use. */
	freed: ResourceDemand
	/** Its other runs, those with the least loss first. */
	candidates: readonly Candidate[]
}

/** Chooses victims for the units of one round. */
export class CapVictims {
	readonly #board: Board
	readonly #caps: WorkspaceCaps
	readonly #guaranteed: ReadonlySet<string>
	readonly #now: number
	readonly #supplies = new Map<string, Supply>()
	/** Units for which there were none, by what the choice depends on. */
	readonly #hopeless = new Set<string>()

	/** `guaranteed` has the workflows that a guarantee covers. */
	constructor(board: Board, caps: WorkspaceCaps, guaranteed: ReadonlySet<string>, now: number) {
		this.#board = board
		this.#caps = caps
		this.#guaranteed = guaranteed
		this.#now = now
	}

	/**
	 * The runs to stop so that the unit is within its cap, none of them if enough is being stopped; undefined if stopping doesn't
	 * help or costs too much. The caller keeps the unit's share of the cap.
	 */
	choose({refs, spec, rank, lossMax}: PlacementUnit): readonly TaskRef[] | undefined {
		const workspace = refs[0]?.workflow.record.workspace
		if (workspace === undefined || lossMax < 0) return undefined
		const {cpuMillis, memoryMb, accelerators} = scaleUse(spec.demand, refs.length)
		const key = JSON.stringify([workspace, cpuMillis, memoryMb, accelerators, rank, `${lossMax}`])
		if (this.#hopeless.has(key)) return undefined
		const supply = this.#findSupply(workspace)
		const chosen = new Set<Candidate>()
		let {freed} = supply
		let loss = 0
		const findExcess = () => this.#caps.findExcess(freed, workspace, spec, refs.length)
		for (const candidate of supply.candidates) {
			const excess = findExcess()
			if (isAtMost(excess, NO_DEMAND)) break
			const demand = sumDemand(candidate.refs)
			if (candidate.rank <= rank || !isOfUse(demand, excess)) continue
			chosen.add(candidate)
			freed = addUse(freed, demand)
			loss += candidate.loss
		}
		if (!isAtMost(findExcess(), NO_DEMAND) || loss > lossMax) {
			this.#hopeless.add(key)
			return undefined
		}
		supply.freed = freed
		if (chosen.size > 0)
			supply.candidates = supply.candidates.filter(candidate => !chosen.has(candidate))
		return [...chosen].flatMap(candidate => candidate.refs)
	}

	#findSupply(workspace: string): Supply {
		const known = this.#supplies.get(workspace)
		if (known !== undefined) return known
		const refs = [...this.#board.runs.listOf(workspace).values()]
		const stopping = refs.filter(({task}) => task.phase === TaskPhase.stopping)
		const supply = {freed: sumDemand(stopping), candidates: this.#listCandidates(refs)}
		this.#supplies.set(workspace, supply)
		return supply
	}

	#listCandidates(refs: readonly TaskRef[]): Candidate[] {
		const candidates = new Map<string, Candidate>()
		const stopTimes = findStopTimes(this.#board.settings)
		for (const ref of refs) {
			const {spec, occurrence, stepIndex, taskId, task} = ref
			if (task.phase !== TaskPhase.running && task.phase !== TaskPhase.starting) continue
			const {rank, loss, isProtected} = buildNodeRun(ref, this.#guaranteed, stopTimes, this.#now)
			if (isProtected) continue
			const key = spec.gang ? `${occurrence.key}.${stepIndex}` : taskId
			const known = candidates.get(key)
			if (known === undefined) candidates.set(key, {refs: [ref], rank, loss})
			else known.refs.push(ref)
		}
		return [...candidates.values()].sort((a, b) => a.loss - b.loss)
	}
}

/** True if stopping runs with this demand frees some of what exceeds the cap. */
function isOfUse(demand: ResourceDemand, excess: ResourceDemand): boolean {
	return (
		(excess.cpuMillis > 0 && demand.cpuMillis > 0) ||
		(excess.memoryMb > 0 && demand.memoryMb > 0) ||
		(excess.accelerators > 0 && demand.accelerators > 0)
	)
}

function sumDemand(refs: readonly TaskRef[]): ResourceDemand {
	return refs.reduce<ResourceDemand>((sum, {spec}) => addUse(sum, spec.demand), NO_DEMAND)
}
