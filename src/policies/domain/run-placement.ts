/**
 * Chooses workers for tasks that start together. A task goes to the worker with the least capacity left over, so that
 * whole workers stay free for tasks that need one. Preemption selects the runs with the least loss. The tasks of a
 * tightly coupled gang go into one rack if one can hold them.
 */
import {
	type ResourceDemand,
	type StepSpec,
	type TaskRef,
	type Victim,
	formatLossKey,
	groupBy,
	sumLosses
} from "../../internal.js"

/** A worker during one round of placement; its free capacity shrinks and its list of runs grows as tasks are placed. */
export interface NodeCapacity {
	readonly id: string
	readonly incarnation: string
	readonly rack: string
	readonly labels: readonly string[]
	/** Suspected of being faulty; chosen only if no other worker fits. */
	readonly isSuspect: boolean
	/** Nothing that it started since its latest failure has succeeded yet; gangs go elsewhere if they can. */
	readonly isOnTrial: boolean
	/** Time that it takes for a task, relative to other workers. */
	readonly pace: number
	/** What it holds while nothing runs on it. */
	readonly capacity: ResourceDemand
	readonly free: {cpuMillis: number; memoryMb: number; accelerators: number}
	/** Computed on the first call, since most rounds need the runs of few workers. */
	listRuns(): NodeRun[]
}

/** A run on a worker, with its rank in the queue and the cost of stopping it. */
export interface NodeRun {
	readonly ref: TaskRef
	readonly rank: number
	/** Core-seconds of work lost by stopping it. */
	readonly loss: number
	readonly isProtected: boolean
	/** Expected time until it ends by itself. */
	readonly remainingMs: number
	readonly isStopping: boolean
	/** True if it is about to end by itself, according to its progress. */
	readonly isEnding: boolean
}

export interface PlacementUnit {
	/** Tasks that start together: a gang, or one task. */
	readonly refs: readonly TaskRef[]
	readonly spec: StepSpec
	readonly rank: number
	/** Maximum loss of work with higher rank numbers, in core-seconds; negative for no preemption. */
	readonly lossMax: number
	/** Wait for runs that are about to end instead of stopping them. */
	readonly mayWait: boolean
	/** Prefer workers that are faster than others to those with the least capacity left over. */
	readonly prefersFast: boolean
	/** Cost of running outside the rack of its data, or in several racks, in core-seconds. */
	readonly remoteCost: number
	/** Workers that its tasks failed on. */
	readonly failedOn: ReadonlySet<string>
	/** If this run fails as well, the workflow fails. */
	readonly isLastAttempt: boolean
}

/** Capacity for one task on a worker, available once the victims have stopped. */
export interface Slot {
	readonly node: NodeCapacity
	/** Runs that have to be stopped. */
	readonly victims: readonly Victim[]
	/** True if no run has to end or stop first. */
	readonly isFree: boolean
	/** Loss that this slot adds to the others, by which slots are compared. */
	readonly loss: number
}

export interface RunPlacementPolicy {
	/**
	 * Slots that are expected to become available soonest without stopping any run; undefined if the tasks never fit.
	 */
	forecast(unit: PlacementUnit, nodes: readonly NodeCapacity[]): readonly Slot[] | undefined
	/** One slot for each task, or undefined if there are too few. */
	choose(unit: PlacementUnit, nodes: readonly NodeCapacity[]): readonly Slot[] | undefined
}

export class PackedRunPlacement implements RunPlacementPolicy {
	choose(unit: PlacementUnit, nodes: readonly NodeCapacity[]): readonly Slot[] | undefined {
		const eligible = listEligible(nodes, unit)
		const isBound = isRackBound(eligible, unit)
		const free = eligible.flatMap(node => listSlots(node, unit, () => []))
		const immediate = this.#chooseNear(unit, free, isBound)
		if (immediate !== undefined && computeTotalCost(immediate, unit) === 0) return immediate
		const slots =
			unit.lossMax < 0
				? free
				: eligible.flatMap(node => listSlots(node, unit, () => listVictims(node, unit)))
		if (slots.length < unit.refs.length) return undefined
		// Free slots are also considered alone: the cheapest choice among all slots may lose more than is allowed.
		const pools = free.length === slots.length ? [free] : [free, slots]
		const candidates = pools.map(pool => ({
			slots: this.#chooseNear(unit, pool, isBound),
			extra: 0
		}))
		if (unit.refs.length > 1 && unit.lossMax >= 0)
			for (const gang of listCheapGangs(eligible, unit)) {
				const pool = eligible.flatMap(node =>
					listSlots(node, unit, () => listVictims(node, unit, gang))
				)
				candidates.push({slots: this.#chooseNear(unit, pool, isBound), extra: 0})
			}
		if (isBound && unit.remoteCost < Infinity)
			for (const pool of pools)
				candidates.push({slots: chooseBest(pool, unit), extra: unit.remoteCost})
		let best: {slots: readonly Slot[]; cost: number} | undefined
		for (const {slots: chosen, extra} of candidates) {
			if (chosen === undefined || !isAllowed(chosen, unit)) continue
			const cost = computeTotalCost(chosen, unit) + extra
			if (best === undefined || cost < best.cost) best = {slots: chosen, cost}
		}
		return best?.slots
	}

	forecast(unit: PlacementUnit, nodes: readonly NodeCapacity[]): readonly Slot[] | undefined {
		const eligible = listEligible(nodes, unit)
		const slots = eligible.flatMap(node => listSlots(node, unit, () => listByExpectedEnd(node)))
		return this.#chooseNear(unit, slots, isRackBound(eligible, unit))
	}

	/** Chooses slots in the rack of the data, in any one rack for a tightly coupled gang, or else anywhere. */
	#chooseNear(
		unit: PlacementUnit,
		slots: readonly Slot[],
		isBound: boolean
	): readonly Slot[] | undefined {
		const {dataRack} = unit.spec
		if (!isBound) return chooseBest(slots, unit)
		if (dataRack === undefined) return chooseRack(slots, unit)
		return chooseBest(
			slots.filter(({node}) => node.rack === dataRack),
			unit
		)
	}
}

/**
 * True if the tasks run faster in one rack. A tightly coupled gang that no rack could hold runs remotely in any case, so
 * it waits for none.
 */
function isRackBound(nodes: readonly NodeCapacity[], unit: PlacementUnit): boolean {
	const {spec, refs} = unit
	if (spec.dataRack !== undefined) return true
	if (!spec.tightlyCoupled || refs.length === 1) return false
	const racks = groupBy(nodes, ({rack}) => rack)
	return [...racks.values()].some(inRack => canEverHold(inRack, unit))
}

/** The workers that the unit may run on; those that it avoids only if no others could ever hold it. */
function listEligible(nodes: readonly NodeCapacity[], unit: PlacementUnit): NodeCapacity[] {
	const eligible = nodes.filter(node => isEligible(node, unit.spec))
	const others = eligible.filter(node => !isAvoided(node, unit))
	return canEverHold(others, unit) ? others : eligible
}

function isEligible({labels}: NodeCapacity, {requiredLabel}: StepSpec): boolean {
	return requiredLabel === undefined || labels.includes(requiredLabel)
}

/**
 * A worker that fails every run is always free, so a task that did not wait for other workers would spend all its
 * attempts there. Long-running tasks have any number of attempts.
 */
function isAvoided({id, isSuspect}: NodeCapacity, unit: PlacementUnit): boolean {
	const {spec, failedOn, isLastAttempt} = unit
	return isSuspect && !spec.longRunning && (isLastAttempt || failedOn.has(id))
}

/** True if the unit may run on these workers, and they could hold all its tasks while nothing else ran on them. */
export function isEverPlaceable(nodes: readonly NodeCapacity[], unit: PlacementUnit): boolean {
	return canEverHold(
		nodes.filter(node => isEligible(node, unit.spec)),
		unit
	)
}

/** True if the workers could hold all tasks of the unit while nothing else ran on them. */
function canEverHold(nodes: readonly NodeCapacity[], {refs, spec}: PlacementUnit): boolean {
	let missing = refs.length
	for (const {capacity} of nodes) {
		const free = {...capacity}
		const limit = Math.min(missing, spec.maxPerWorker ?? Infinity)
		for (let count = 0; count < limit && isFitting(free, spec); count++) {
			addDemand(free, spec, -1)
			missing--
		}
		if (missing === 0) return true
	}
	return false
}

export function isFitting(free: ResourceDemand, {demand, usesIdleCpu}: StepSpec): boolean {
	return (
		(usesIdleCpu || isEnough(free.cpuMillis, demand.cpuMillis)) &&
		isEnough(free.memoryMb, demand.memoryMb) &&
		isEnough(free.accelerators, demand.accelerators)
	)
}

/** What is withheld or held for others may make the free capacity negative; that concerns only work that needs some of it. */
function isEnough(free: number, demand: number): boolean {
	return demand === 0 || free >= demand
}

/** Adds a task's demand to the free capacity, or subtracts it if `sign` is -1. */
export function addDemand(
	free: NodeCapacity["free"],
	{demand, usesIdleCpu}: StepSpec,
	sign: 1 | -1
): void {
	if (!usesIdleCpu) free.cpuMillis += sign * demand.cpuMillis
	free.memoryMb += sign * demand.memoryMb
	free.accelerators += sign * demand.accelerators
}

interface Candidate extends NodeRun {
	/** Loss by stopping it, where `loss` counts only what that adds to other victims. */
	readonly stopLoss?: number
}

/** Gangs that are tried as victims one by one. */
const TRIED_GANGS_MAX = 2

/** The worker's slots for the unit's tasks, if the runs that `listCandidates` returns end in that order. */
function listSlots(
	node: NodeCapacity,
	unit: PlacementUnit,
	listCandidates: () => Candidate[]
): Slot[] {
	const {spec, refs} = unit
	let candidates: Candidate[] | undefined
	const free = {...node.free}
	const present = countTasksOfStep(node, unit)
	const limit = Math.min(refs.length, (spec.maxPerWorker ?? Infinity) - present)
	const slots: Slot[] = []
	// If one slot needs a run to end, so do all later ones: they may use capacity that this run frees.
	let isFree = true
	while (slots.length < limit) {
		const victims: Victim[] = []
		let loss = 0
		while (!isFitting(free, spec)) {
			candidates ??= listCandidates()
			const victim = candidates.shift()
			if (victim === undefined) return slots
			isFree = false
			if (!isAboutToEnd(victim, unit)) {
				victims.push({ref: victim.ref, loss: victim.stopLoss ?? victim.loss})
				loss += victim.loss
			}
			addDemand(free, victim.ref.spec, 1)
		}
		addDemand(free, spec, -1)
		slots.push({node, victims, isFree, loss})
	}
	return slots
}

/** Counts the worker's runs of the same step and occurrence. */
function countTasksOfStep(node: NodeCapacity, {refs, spec}: PlacementUnit): number {
	const first = refs[0]
	if (spec.maxPerWorker === undefined || first === undefined) return 0
	return node
		.listRuns()
		.filter(({ref}) => ref.occurrence === first.occurrence && ref.stepIndex === first.stepIndex)
		.length
}

/** True if the run frees its capacity without having to be stopped. */
function isAboutToEnd({isStopping, isEnding}: NodeRun, {mayWait}: PlacementUnit): boolean {
	return isStopping || (isEnding && mayWait)
}

/** Gangs with the least loss for each member, which may be stopped as a whole instead of several runs. */
function listCheapGangs(nodes: readonly NodeCapacity[], unit: PlacementUnit): string[] {
	const losses = new Map<string, number>()
	for (const node of nodes)
		for (const {ref, loss} of listVictims(node, unit))
			if (ref.spec.gang) losses.set(formatLossKey(ref), loss / ref.spec.tasks)
	const gangs = [...losses].sort(([, a], [, b]) => a - b)
	return gangs.slice(0, TRIED_GANGS_MAX).map(([key]) => key)
}

/** Runs that can free capacity: those about to end, then the others by loss, to which members of the gang `lost` add nothing. */
function listVictims(node: NodeCapacity, unit: PlacementUnit, lost?: string): Candidate[] {
	return node
		.listRuns()
		.filter(run => isAboutToEnd(run, unit) || (run.rank > unit.rank && !run.isProtected))
		.map(run => (formatLossKey(run.ref) === lost ? {...run, loss: 0, stopLoss: run.loss} : run))
		.sort(
			(a, b) => Number(isAboutToEnd(b, unit)) - Number(isAboutToEnd(a, unit)) || a.loss - b.loss
		)
}

/** All runs in the order of their expected end; their loss is the remaining time in seconds. */
function listByExpectedEnd(node: NodeCapacity): NodeRun[] {
	return node
		.listRuns()
		.map(run => ({...run, loss: run.remainingMs / MS_PER_S, isEnding: false, isStopping: false}))
		.sort((a, b) => a.loss - b.loss)
}

const MS_PER_S = 1000

function compareSlots(a: Slot, b: Slot, {spec, failedOn, prefersFast}: PlacementUnit): number {
	return (
		Number(failedOn.has(a.node.id)) - Number(failedOn.has(b.node.id)) ||
		Number(a.node.isSuspect) - Number(b.node.isSuspect) ||
		a.loss - b.loss ||
		Number(b.isFree) - Number(a.isFree) ||
		(spec.gang ? Number(a.node.isOnTrial) - Number(b.node.isOnTrial) : 0) ||
		(prefersFast ? roundPace(a.node) - roundPace(b.node) : 0) ||
		a.node.free.accelerators - b.node.free.accelerators ||
		a.node.free.cpuMillis - b.node.free.cpuMillis
	)
}

/** Differences below a tenth are as likely chance. */
function roundPace({pace}: NodeCapacity): number {
	return Math.round(pace * 10)
}

/** The best slots for all tasks, or undefined if there are too few. */
function chooseBest(slots: readonly Slot[], unit: PlacementUnit): readonly Slot[] | undefined {
	const needed = unit.refs.length
	if (slots.length < needed) return undefined
	if (needed === 1) {
		const first = slots.reduce((best, slot) => (compareSlots(slot, best, unit) < 0 ? slot : best))
		return closeGaps([first], slots)
	}
	const sorted = [...slots].sort((a, b) => compareSlots(a, b, unit))
	return closeGaps(sorted.slice(0, needed), slots)
}

/** Replaces a chosen slot by an earlier slot of the same worker that was not chosen. */
function closeGaps(chosen: readonly Slot[], slots: readonly Slot[]): readonly Slot[] {
	const counts = new Map<NodeCapacity, number>()
	for (const {node} of chosen) counts.set(node, (counts.get(node) ?? 0) + 1)
	const closed: Slot[] = []
	for (const slot of slots) {
		const left = counts.get(slot.node) ?? 0
		if (left === 0) continue
		counts.set(slot.node, left - 1)
		closed.push(slot)
	}
	return closed
}

/** The slots of the rack with the least cost, then with the fewest slots to spare. */
function chooseRack(slots: readonly Slot[], unit: PlacementUnit): readonly Slot[] | undefined {
	let best: {slots: readonly Slot[]; cost: number; pace: number; spare: number} | undefined
	for (const inRack of groupBy(slots, ({node}) => node.rack).values()) {
		const chosen = chooseBest(inRack, unit)
		if (chosen === undefined) continue
		const cost = computeTotalCost(chosen, unit)
		const spare = inRack.length - chosen.length
		// A gang is as fast as the slowest of its workers.
		const pace = unit.prefersFast ? Math.max(...chosen.map(({node}) => roundPace(node))) : 0
		const isBetter =
			best === undefined ||
			cost < best.cost ||
			(cost === best.cost && (pace < best.pace || (pace === best.pace && spare < best.spare)))
		if (isBetter) best = {slots: chosen, cost, pace, spare}
	}
	return best?.slots
}

/** False if the loss exceeds the unit's maximum. */
function isAllowed(slots: readonly Slot[], {lossMax}: PlacementUnit): boolean {
	return sumSlotLosses(slots) <= Math.max(0, lossMax)
}

function computeTotalCost(slots: readonly Slot[], unit: PlacementUnit): number {
	const penalties = slots.reduce((sum, slot) => sum + computePenalty(slot, unit), 0)
	return sumSlotLosses(slots) + penalties
}

export function sumSlotLosses(slots: readonly Slot[]): number {
	return sumLosses(slots.flatMap(({victims}) => victims))
}

/** Loss that is accepted to avoid a worker suspected of being faulty, in core-seconds. */
const SUSPECT_PENALTY = 1000
/** Loss that is accepted to avoid waiting for a run to end, in core-seconds. */
const WAIT_PENALTY = 10

function computePenalty({node, isFree}: Slot, {failedOn}: PlacementUnit): number {
	const penalty = node.isSuspect || failedOn.has(node.id) ? SUSPECT_PENALTY : 0
	return penalty + (isFree ? 0 : WAIT_PENALTY)
}
