/**
 * Chooses workers for tasks that start together. Room is packed tightly: a task goes where the least is left over,
 * so that whole workers stay free for tasks that need one. Where a task may take the place of others, it takes those
 * whose loss is least. The tasks of a tightly coupled gang go into one rack where one can hold them.
 */
import {type ResourceDemand, type StepSpec, type TaskRef, TaskPhase, groupBy} from "../internal.js"

/** A worker in one round of placement; `free` shrinks and `runs` grows as the round goes on. */
export interface NodeRoom {
	readonly id: string
	readonly incarnation: string
	readonly rack: string
	readonly labels: readonly string[]
	/** Chosen only where no other worker will do. */
	readonly isDoubted: boolean
	readonly free: {cpuMillis: number; memoryMb: number; accelerators: number}
	readonly runs: RoomRun[]
}

/** A run that is on a worker, with its place in the queue and what stopping it would throw away. */
export interface RoomRun {
	readonly ref: TaskRef
	readonly rank: number
	/** Core-seconds of work. */
	readonly loss: number
	readonly isProtected: boolean
}

export interface PlacementUnit {
	/** Tasks that start together: a gang, or one task. */
	readonly refs: readonly TaskRef[]
	readonly spec: StepSpec
	readonly rank: number
	/** Runs of a higher rank number may be stopped for it. */
	readonly mayPreempt: boolean
	/** The data's rack and a single rack for a gang are insisted on. */
	readonly isRackStrict: boolean
	/** Workers that its tasks failed on. */
	readonly avoid: ReadonlySet<string>
}

/** Room for one task on a worker, once the victims have stopped. */
export interface Slot {
	readonly room: NodeRoom
	readonly victims: readonly TaskRef[]
	readonly loss: number
}

export interface RunPlacementPolicy {
	/** One slot for each task, or undefined where there are none. */
	choose(unit: PlacementUnit, rooms: readonly NodeRoom[]): readonly Slot[] | undefined
}

export class PackedRunPlacement implements RunPlacementPolicy {
	choose(unit: PlacementUnit, rooms: readonly NodeRoom[]): readonly Slot[] | undefined {
		const {spec, refs, isRackStrict} = unit
		const fitting = rooms.filter(room => isEligible(room, spec))
		const slots = fitting.flatMap(room => listSlots(room, unit))
		const needed = refs.length
		if (spec.dataRack !== undefined) {
			const near = slots.filter(({room}) => room.rack === spec.dataRack)
			if (near.length >= needed) return pickBest(near, needed, unit)
			if (isRackStrict) return undefined
		}
		if (spec.tightlyCoupled && needed > 1) {
			const inOneRack = pickRack(slots, needed, unit)
			if (inOneRack !== undefined) return inOneRack
			if (isRackStrict) return undefined
		}
		return slots.length < needed ? undefined : pickBest(slots, needed, unit)
	}
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

/** Every slot that the worker has for the unit's tasks, those without victims first. */
function listSlots(room: NodeRoom, unit: PlacementUnit): Slot[] {
	const {spec, refs} = unit
	const free = {...room.free}
	const candidates = listVictims(room, unit)
	const present = countOfStep(room, unit)
	const limit = Math.min(refs.length, (spec.maxPerWorker ?? Infinity) - present)
	const slots: Slot[] = []
	while (slots.length < limit) {
		const victims: TaskRef[] = []
		let loss = 0
		while (!isFitting(free, spec)) {
			const victim = candidates.shift()
			if (victim === undefined) return slots
			victims.push(victim.ref)
			loss += victim.loss
			addDemand(free, victim.ref.spec, 1)
		}
		addDemand(free, spec, -1)
		slots.push({room, victims, loss})
	}
	return slots
}

/** Tasks of the same step of the same occurrence that the worker has already. */
function countOfStep({runs}: NodeRoom, {refs, spec}: PlacementUnit): number {
	const first = refs[0]
	if (spec.maxPerWorker === undefined || first === undefined) return 0
	return runs.filter(
		({ref}) => ref.occurrence === first.occurrence && ref.stepIndex === first.stepIndex
	).length
}

/** Runs that will make way: those that are stopping already, then the least important and least work lost. */
function listVictims({runs}: NodeRoom, {rank, mayPreempt}: PlacementUnit): RoomRun[] {
	return runs
		.filter(run => isStopping(run) || (mayPreempt && run.rank > rank && !run.isProtected))
		.sort(
			(a, b) => Number(isStopping(b)) - Number(isStopping(a)) || b.rank - a.rank || a.loss - b.loss
		)
}

function isStopping({ref}: RoomRun): boolean {
	return ref.task.phase === TaskPhase.stopping
}

function compareSlots(a: Slot, b: Slot, {avoid}: PlacementUnit): number {
	return (
		Number(avoid.has(a.room.id)) - Number(avoid.has(b.room.id)) ||
		Number(a.room.isDoubted) - Number(b.room.isDoubted) ||
		a.victims.length - b.victims.length ||
		a.loss - b.loss ||
		a.room.free.accelerators - b.room.free.accelerators ||
		a.room.free.cpuMillis - b.room.free.cpuMillis
	)
}

function pickBest(slots: readonly Slot[], needed: number, unit: PlacementUnit): readonly Slot[] {
	// A worker's later slots build on its earlier ones: sorting is stable, so they stay in that order.
	return closeGaps([...slots].sort((a, b) => compareSlots(a, b, unit)).slice(0, needed), slots)
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

/** The rack that holds all at the least loss, then with the least left over. */
function pickRack(
	slots: readonly Slot[],
	needed: number,
	unit: PlacementUnit
): readonly Slot[] | undefined {
	let best: {slots: readonly Slot[]; cost: number; spare: number} | undefined
	for (const inRack of groupBy(slots, ({room}) => room.rack).values()) {
		if (inRack.length < needed) continue
		const chosen = pickBest(inRack, needed, unit)
		const cost = chosen.reduce((sum, {loss, room}) => sum + loss + computePenalty(room, unit), 0)
		const spare = inRack.length - needed
		if (best === undefined || cost < best.cost || (cost === best.cost && spare < best.spare))
			best = {slots: chosen, cost, spare}
	}
	return best?.slots
}

/** Core-seconds of loss that a rack with a doubted worker may save before it is chosen. */
const DOUBT_PENALTY = 1000

function computePenalty(room: NodeRoom, {avoid}: PlacementUnit): number {
	return room.isDoubted || avoid.has(room.id) ? DOUBT_PENALTY : 0
}
