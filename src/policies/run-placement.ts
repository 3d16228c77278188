/**
 * Chooses workers for tasks that start together. Room is packed tightly: a task goes where the least is left over,
 * so that whole workers stay free for tasks that need one. Where a task may take the place of others, it takes those
 * whose loss is least. The tasks of a tightly coupled gang go into one rack where one can hold them.
 */
import {type ResourceDemand, type StepSpec, type TaskRef, groupBy} from "../internal.js"

/** A worker in one round of placement; `free` shrinks and `runs` grows as the round goes on. */
export interface NodeRoom {
	readonly id: string
	readonly incarnation: string
	readonly rack: string
	readonly labels: readonly string[]
	/** Chosen only where no other worker will do. */
	readonly isDoubted: boolean
	readonly free: {cpuMillis: number; memoryMb: number; accelerators: number}
	/** Its runs; reckoned at the first call, since most rounds need those of few workers. */
	listRuns(): RoomRun[]
}

/** A run that is on a worker, with its place in the queue and what stopping it would throw away. */
export interface RoomRun {
	readonly ref: TaskRef
	readonly rank: number
	/** Core-seconds of work. */
	readonly loss: number
	readonly isProtected: boolean
	/** Time until it is expected to end by itself. */
	readonly remainingMs: number
	readonly isStopping: boolean
	/** It is about to end by itself, as far as its progress tells. */
	readonly isEnding: boolean
}

export interface PlacementUnit {
	/** Tasks that start together: a gang, or one task. */
	readonly refs: readonly TaskRef[]
	readonly spec: StepSpec
	readonly rank: number
	/** Core-seconds of work of higher rank numbers that may be thrown away for it; negative for no preemption. */
	readonly lossMax: number
	/** Runs that are about to end are waited for rather than stopped. */
	readonly mayWait: boolean
	/** Core-seconds at which running away from its data's rack, or in several racks, is weighed. */
	readonly remoteCost: number
	/** Workers that its tasks failed on. */
	readonly avoid: ReadonlySet<string>
}

/** Room for one task on a worker, once the victims have stopped. */
export interface Slot {
	readonly room: NodeRoom
	/** Runs that have to be stopped. */
	readonly victims: readonly TaskRef[]
	/** True where nothing has to end or stop first. */
	readonly isFree: boolean
	readonly loss: number
}

export interface RunPlacementPolicy {
	/** Where the tasks are expected to fit soonest without stopping anything; undefined where they never will. */
	forecast(unit: PlacementUnit, rooms: readonly NodeRoom[]): readonly Slot[] | undefined
	/** One slot for each task, or undefined where there are none. */
	choose(unit: PlacementUnit, rooms: readonly NodeRoom[]): readonly Slot[] | undefined
}

export class PackedRunPlacement implements RunPlacementPolicy {
	choose(unit: PlacementUnit, rooms: readonly NodeRoom[]): readonly Slot[] | undefined {
		const eligible = rooms.filter(room => isEligible(room, unit.spec))
		const free = eligible.flatMap(room => listSlots(room, unit, () => []))
		const atOnce = this.#chooseNear(unit, free)
		if (atOnce !== undefined && computeTotal(atOnce, unit) === 0) return atOnce
		const slots =
			unit.lossMax < 0
				? free
				: eligible.flatMap(room => listSlots(room, unit, () => listVictims(room, unit)))
		if (slots.length < unit.refs.length) return undefined
		// What costs no work is weighed by itself: the cheapest choice of all may cost more than is allowed.
		const pools = free.length === slots.length ? [free] : [free, slots]
		const candidates = pools.map(pool => ({slots: this.#chooseNear(unit, pool), extra: 0}))
		if (hasPlaceOfChoice(unit) && unit.remoteCost < Infinity)
			for (const pool of pools)
				candidates.push({slots: chooseBest(pool, unit), extra: unit.remoteCost})
		let best: {slots: readonly Slot[]; cost: number} | undefined
		for (const {slots: chosen, extra} of candidates) {
			if (chosen === undefined || !isAllowed(chosen, unit)) continue
			const cost = computeTotal(chosen, unit) + extra
			if (best === undefined || cost < best.cost) best = {slots: chosen, cost}
		}
		return best?.slots
	}

	forecast(unit: PlacementUnit, rooms: readonly NodeRoom[]): readonly Slot[] | undefined {
		const slots = rooms
			.filter(room => isEligible(room, unit.spec))
			.flatMap(room => listSlots(room, unit, () => listEnds(room)))
		return this.#chooseNear(unit, slots)
	}

	/** In the rack of the data, or for a tightly coupled gang in any one rack; else anywhere. */
	#chooseNear(unit: PlacementUnit, slots: readonly Slot[]): readonly Slot[] | undefined {
		const {spec} = unit
		if (spec.dataRack !== undefined)
			return chooseBest(
				slots.filter(({room}) => room.rack === spec.dataRack),
				unit
			)
		return hasPlaceOfChoice(unit) ? chooseRack(slots, unit) : chooseBest(slots, unit)
	}
}

/** True where it matters in which rack the tasks run. */
function hasPlaceOfChoice({spec, refs}: PlacementUnit): boolean {
	return spec.dataRack !== undefined || (spec.tightlyCoupled && refs.length > 1)
}

function isEligible({labels}: NodeRoom, {requiredLabel}: StepSpec): boolean {
	return requiredLabel === undefined || labels.includes(requiredLabel)
}

export function isFitting(free: ResourceDemand, {demand, usesIdleCpu}: StepSpec): boolean {
	return (
		(usesIdleCpu || free.cpuMillis >= demand.cpuMillis) &&
		free.memoryMb >= demand.memoryMb &&
		free.accelerators >= demand.accelerators
	)
}

/** Adds what a task takes to what is free, or with a sign of -1 takes it away. */
export function addDemand(
	free: NodeRoom["free"],
	{demand, usesIdleCpu}: StepSpec,
	sign: 1 | -1
): void {
	if (!usesIdleCpu) free.cpuMillis += sign * demand.cpuMillis
	free.memoryMb += sign * demand.memoryMb
	free.accelerators += sign * demand.accelerators
}

/** Every slot that the worker has for the unit's tasks, as those that `listCandidates` gives leave in their order. */
function listSlots(room: NodeRoom, unit: PlacementUnit, listCandidates: () => RoomRun[]): Slot[] {
	const {spec, refs} = unit
	let candidates: RoomRun[] | undefined
	const free = {...room.free}
	const present = countOfStep(room, unit)
	const limit = Math.min(refs.length, (spec.maxPerWorker ?? Infinity) - present)
	const slots: Slot[] = []
	// Once one slot needs a run to leave, so do all after it: they may use what that run leaves over.
	let isFree = true
	while (slots.length < limit) {
		const victims: TaskRef[] = []
		let loss = 0
		while (!isFitting(free, spec)) {
			candidates ??= listCandidates()
			const victim = candidates.shift()
			if (victim === undefined) return slots
			isFree = false
			if (!isLeaving(victim, unit)) {
				victims.push(victim.ref)
				loss += victim.loss
			}
			addDemand(free, victim.ref.spec, 1)
		}
		addDemand(free, spec, -1)
		slots.push({room, victims, isFree, loss})
	}
	return slots
}

/** Tasks of the same step of the same occurrence that the worker has already. */
function countOfStep(room: NodeRoom, {refs, spec}: PlacementUnit): number {
	const first = refs[0]
	if (spec.maxPerWorker === undefined || first === undefined) return 0
	return room
		.listRuns()
		.filter(({ref}) => ref.occurrence === first.occurrence && ref.stepIndex === first.stepIndex)
		.length
}

/** True where the run's room can be reckoned with, and it need not be stopped. */
function isLeaving({isStopping, isEnding}: RoomRun, {mayWait}: PlacementUnit): boolean {
	return isStopping || (isEnding && mayWait)
}

/** Runs that will make way: those that are leaving already, then those whose stopping costs least. */
function listVictims(room: NodeRoom, unit: PlacementUnit): RoomRun[] {
	return room
		.listRuns()
		.filter(run => isLeaving(run, unit) || (run.rank > unit.rank && !run.isProtected))
		.sort((a, b) => Number(isLeaving(b, unit)) - Number(isLeaving(a, unit)) || a.loss - b.loss)
}

/** All runs in the order in which they are expected to end; their loss is the time until then. */
function listEnds(room: NodeRoom): RoomRun[] {
	return room
		.listRuns()
		.map(run => ({...run, loss: run.remainingMs / MS_PER_S, isEnding: false, isStopping: false}))
		.sort((a, b) => a.loss - b.loss)
}

const MS_PER_S = 1000

function compareSlots(a: Slot, b: Slot, {avoid}: PlacementUnit): number {
	return (
		Number(avoid.has(a.room.id)) - Number(avoid.has(b.room.id)) ||
		Number(a.room.isDoubted) - Number(b.room.isDoubted) ||
		a.loss - b.loss ||
		Number(b.isFree) - Number(a.isFree) ||
		a.room.free.accelerators - b.room.free.accelerators ||
		a.room.free.cpuMillis - b.room.free.cpuMillis
	)
}

/** The best slots for all tasks, or undefined where there are too few. */
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

/** Replaces a chosen slot by an earlier one of the same worker that was left out. */
function closeGaps(chosen: readonly Slot[], slots: readonly Slot[]): readonly Slot[] {
	const counts = new Map<NodeRoom, number>()
	for (const {room} of chosen) counts.set(room, (counts.get(room) ?? 0) + 1)
	const closed: Slot[] = []
	for (const slot of slots) {
		const left = counts.get(slot.room) ?? 0
		if (left === 0) continue
		counts.set(slot.room, left - 1)
		closed.push(slot)
	}
	return closed
}

/** The rack that holds all at the least cost, then with the least left over. */
function chooseRack(slots: readonly Slot[], unit: PlacementUnit): readonly Slot[] | undefined {
	let best: {slots: readonly Slot[]; cost: number; spare: number} | undefined
	for (const inRack of groupBy(slots, ({room}) => room.rack).values()) {
		const chosen = chooseBest(inRack, unit)
		if (chosen === undefined) continue
		const cost = computeTotal(chosen, unit)
		const spare = inRack.length - chosen.length
		const isBetter =
			best === undefined || cost < best.cost || (cost === best.cost && spare < best.spare)
		if (isBetter) best = {slots: chosen, cost, spare}
	}
	return best?.slots
}

/** False where more work would be lost than the tasks are worth. */
function isAllowed(slots: readonly Slot[], {lossMax}: PlacementUnit): boolean {
	return slots.reduce((sum, {loss}) => sum + loss, 0) <= Math.max(0, lossMax)
}

function computeTotal(slots: readonly Slot[], unit: PlacementUnit): number {
	return slots.reduce((sum, slot) => sum + computeCost(slot, unit), 0)
}

/** Core-seconds of loss that are accepted rather than use a worker that is doubted. */
const DOUBT_PENALTY = 1000
/** Core-seconds of loss that are accepted rather than wait for a run to leave. */
const WAIT_PENALTY = 10

function computeCost({loss, room, isFree}: Slot, {avoid}: PlacementUnit): number {
	const doubt = room.isDoubted || avoid.has(room.id) ? DOUBT_PENALTY : 0
	return loss + doubt + (isFree ? 0 : WAIT_PENALTY)
}
