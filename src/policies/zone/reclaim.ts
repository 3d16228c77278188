/**
 * Selects the work to stop so that a job can start, with the least loss of work. A workspace reclaims its guarantee
 * placements from the borrowers on them. Urgent work preempts lower classes that run outside their own guarantees.
 */
import {
	type FleetTask,
	type FleetWorker,
	type GangShape,
	type GuaranteePlacementIndex,
	type AcceleratorBlock,
	type JobRecord,
	Adjacency,
	PriorityClass,
	ReasonCode,
	computeLoss,
	groupBy,
	listBlock,
	listBlockStarts
} from "../../internal.js"

export interface ReclaimRule {
	/** Reason for the stop, as events show it. */
	readonly reason: ReasonCode
	/** True if the job may use the accelerator once its holder has stopped. */
	isClaimable(worker: FleetWorker, at: number): boolean
	isStoppable(worker: FleetWorker, task: FleetTask): boolean
	/** True if the job may take the shape's processors and memory from the worker. */
	isAffordable(worker: FleetWorker, shape: GangShape): boolean
}

export interface ReclaimChoice {
	readonly members: readonly AcceleratorBlock[]
	/** Jobs to stop; empty if enough capacity is already free. */
	readonly victims: readonly string[]
}

/** Lets a workspace claim the part of its guarantee placements that its own work does not use. */
export class GuaranteeReclaimRule implements ReclaimRule {
	readonly reason = ReasonCode.reclaimed
	readonly #workspace: string
	readonly #placements: GuaranteePlacementIndex

	constructor(workspace: string, placements: GuaranteePlacementIndex) {
		this.#workspace = workspace
		this.#placements = placements
	}

	isClaimable(worker: FleetWorker, at: number): boolean {
		if (this.#placements.findOwner(worker.id, at) !== this.#workspace) return false
		return !worker.tasks.some(
			({workspace, accelerators}) => workspace === this.#workspace && accelerators.includes(at)
		)
	}

	isStoppable(worker: FleetWorker, task: FleetTask): boolean {
		return (
			task.stoppable &&
			task.workspace !== this.#workspace &&
			!this.#placements.isCovered(worker.id, task)
		)
	}

	isAffordable(worker: FleetWorker, shape: GangShape): boolean {
		const blocks = this.#placements
			.listBlocksOn(worker.id)
			.filter(({unit}) => unit.workspace === this.#workspace)
		const own = worker.tasks.filter(
			task =>
				task.workspace === this.#workspace &&
				task.accelerators.every(at => this.#placements.findOwner(worker.id, at) === this.#workspace)
		)
		const computeUnused = (resource: "cpus" | "memoryMb") =>
			blocks.reduce((sum, {unit}) => sum + unit.shape[resource], 0) -
			own.reduce((sum, task) => sum + task[resource], 0)
		return (
			blocks.length > 0 &&
			computeUnused("cpus") >= shape.cpus &&
			computeUnused("memoryMb") >= shape.memoryMb
		)
	}
}

const CLASS_RANK: Readonly<Record<PriorityClass, number>> = {
	[PriorityClass.urgent]: 2,
	[PriorityClass.normal]: 1,
	[PriorityClass.batch]: 0
}

/**
 * Lets urgent work preempt lower classes that borrow. Unstoppable work stays off the guarantee placements of others.
 */
export class PreemptionRule implements ReclaimRule {
	readonly reason = ReasonCode.preempted
	readonly #record: JobRecord
	readonly #placements: GuaranteePlacementIndex
	readonly #stoppable: boolean

	constructor(record: JobRecord, placements: GuaranteePlacementIndex) {
		this.#record = record
		this.#placements = placements
		this.#stoppable = record.spec.repeatable || record.spec.checkpoint
	}

	isClaimable(worker: FleetWorker, at: number): boolean {
		if (this.#stoppable) return true
		const owner = this.#placements.findOwner(worker.id, at)
		return owner === undefined || owner === this.#record.workspace
	}

	isStoppable(worker: FleetWorker, task: FleetTask): boolean {
		return (
			task.stoppable &&
			CLASS_RANK[task.priority] < CLASS_RANK[this.#record.spec.priority] &&
			!this.#placements.isCovered(worker.id, task)
		)
	}

	isAffordable(): boolean {
		return true
	}
}

interface MemberCandidate {
	readonly worker: FleetWorker
	readonly accelerators: readonly number[]
	readonly victims: ReadonlySet<FleetTask>
	readonly loss: number
}

/**
 * Finds blocks for all members with the least loss, or returns undefined if stopping all stoppable work is not enough.
 */
export function findReclaim(
	shape: GangShape,
	workers: Iterable<FleetWorker>,
	rule: ReclaimRule,
	now: number
): ReclaimChoice | undefined {
	const candidates: MemberCandidate[] = []
	for (const worker of workers) {
		const candidate = findCandidate(shape, worker, rule, now)
		if (candidate !== undefined) candidates.push(candidate)
	}
	const chosen = chooseCandidates(shape, candidates)
	if (chosen === undefined) return undefined
	const victims = chosen.flatMap(candidate => [...candidate.victims].map(({jobId}) => jobId))
	return {
		members: chosen.map(({worker, accelerators}) => ({workerId: worker.id, accelerators})),
		victims: [...new Set(victims)]
	}
}

function chooseCandidates(
	shape: GangShape,
	candidates: readonly MemberCandidate[]
): readonly MemberCandidate[] | undefined {
	if (shape.adjacency === Adjacency.any) return takeLeastLoss(candidates, shape.members)
	let best: readonly MemberCandidate[] | undefined
	for (const inRack of groupBy(candidates, ({worker}) => worker.rack).values()) {
		const taken = takeLeastLoss(inRack, shape.members)
		if (taken !== undefined && (best === undefined || sumLoss(taken) < sumLoss(best))) best = taken
	}
	return best
}

function takeLeastLoss(
	candidates: readonly MemberCandidate[],
	members: number
): readonly MemberCandidate[] | undefined {
	if (candidates.length < members) return undefined
	return [...candidates].sort((a, b) => a.loss - b.loss).slice(0, members)
}

function sumLoss(candidates: readonly MemberCandidate[]): number {
	return candidates.reduce((sum, {loss}) => sum + loss, 0)
}

function findCandidate(
	shape: GangShape,
	worker: FleetWorker,
	rule: ReclaimRule,
	now: number
): MemberCandidate | undefined {
	if (!worker.usable || !rule.isAffordable(worker, shape)) return undefined
	let best: MemberCandidate | undefined
	for (const start of listBlockStarts(worker.accelerators, shape.accelerators)) {
		const accelerators = listBlock(start, shape.accelerators)
		const victims = collectVictims(shape, worker, accelerators, rule, now)
		if (victims === undefined) continue
		const loss = sumTaskLoss(victims, now)
		if (best === undefined || loss < best.loss) best = {worker, accelerators, victims, loss}
	}
	return best
}

function sumTaskLoss(tasks: Iterable<FleetTask>, now: number): number {
	let loss = 0
	for (const task of tasks) loss += computeLoss(task, now)
	return loss
}

/** The tasks that hold the block, then those with the least loss until processors and memory suffice. */
function collectVictims(
	shape: GangShape,
	worker: FleetWorker,
	accelerators: readonly number[],
	rule: ReclaimRule,
	now: number
): ReadonlySet<FleetTask> | undefined {
	if (!accelerators.every(at => rule.isClaimable(worker, at))) return undefined
	const holders = worker.tasks.filter(task =>
		task.accelerators.some(at => accelerators.includes(at))
	)
	if (!holders.every(task => rule.isStoppable(worker, task))) return undefined
	const victims = new Set(holders)
	let freeCpus = worker.freeCpus
	let freeMemoryMb = worker.freeMemoryMb
	const others = worker.tasks
		.filter(task => !victims.has(task) && rule.isStoppable(worker, task))
		.sort((a, b) => computeLoss(a, now) - computeLoss(b, now))
	for (const {cpus, memoryMb} of holders) {
		freeCpus += cpus
		freeMemoryMb += memoryMb
	}
	for (const task of others) {
		if (freeCpus >= shape.cpus && freeMemoryMb >= shape.memoryMb) break
		victims.add(task)
		freeCpus += task.cpus
		freeMemoryMb += task.memoryMb
	}
	return freeCpus >= shape.cpus && freeMemoryMb >= shape.memoryMb ? victims : undefined
}
