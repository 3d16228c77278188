/** A snapshot of each worker's free capacity and of the cost of stopping its runs. */
import {
	type Board,
	type CatalogEntry,
	type NodeEntry,
	type NodeCapacity,
	type NodeRun,
	type StepSpec,
	type TaskProgress,
	type TaskRef,
	GUARANTEED_RANK,
	TaskPhase,
	type WorkflowEntry,
	computeRank,
	findClosedWorkers,
	findNodeGate,
	isFinal
} from "../../internal.js"

/** A run that ends this soon is waited for instead of stopped: stopping takes about as long. */
const ENDS_SOON_MS = 500
const PERCENT_DONE = 100

/** Cost of stopping one run besides the work lost, in core-seconds, for the first rank; later ranks cost less. */
const STOP_COST = 120

const MS_PER_S = 1000
const CPU_MILLIS_PER_CORE = 1000
/** Number of cores that one accelerator counts as in the cost of work. */
const CORES_PER_ACCELERATOR = 8

export type CapacityByService = ReadonlyMap<string, readonly NodeCapacity[]>

export function findRank({record}: WorkflowEntry, guaranteed: ReadonlySet<string>): number {
	return guaranteed.has(record.id) ? GUARANTEED_RANK : computeRank(record.priority)
}

/** Free capacity of every worker that may be given work, by service. */
export function listNodeCapacities(
	board: Board,
	catalog: CatalogEntry,
	guaranteed: ReadonlySet<string>,
	now: number
): CapacityByService {
	const byService = new Map<string, NodeCapacity[]>()
	const closed = findClosedWorkers(board, now)
	for (const node of board.nodes.values()) {
		const health = board.health.get(node.registration.id)
		if (findNodeGate(node, catalog, health, closed) !== undefined) continue
		const suspect = health !== undefined && (health.suspectUntil > now || health.slowUntil > now)
		const pace = health?.pace ?? 1
		const capacity = buildNodeCapacity(board, node, guaranteed, {suspect, pace}, now)
		const {service} = node.registration
		const list = byService.get(service)
		if (list === undefined) byService.set(service, [capacity])
		else list.push(capacity)
	}
	return byService
}

function buildNodeCapacity(
	board: Board,
	{registration}: NodeEntry,
	guaranteed: ReadonlySet<string>,
	{suspect, pace}: {suspect: boolean; pace: number},
	now: number
): NodeCapacity {
	const {id, incarnation, rack, labels, capacity} = registration
	const used = board.runs.sumDemandOn(id)
	let runs: NodeRun[] | undefined
	return {
		id,
		incarnation,
		rack,
		labels,
		isSuspect: suspect,
		pace,
		capacity,
		free: {
			cpuMillis: capacity.cpuMillis - used.cpuMillis,
			memoryMb: capacity.memoryMb - used.memoryMb,
			accelerators: capacity.accelerators - used.accelerators
		},
		listRuns: () =>
			(runs ??= [...board.runs.listOn(id).values()].map(ref => buildNodeRun(ref, guaranteed, now)))
	}
}

function buildNodeRun(ref: TaskRef, guaranteed: ReadonlySet<string>, now: number): NodeRun {
	const {workflow, task, spec} = ref
	const rank = isFinal(workflow.state) ? Infinity : findRank(workflow, guaranteed)
	return {
		ref,
		rank,
		loss: computeLoss(ref, now) + STOP_COST / (rank + 1),
		isProtected: spec.longRunning || task.phase === TaskPhase.planned,
		remainingMs: Math.max(0, estimateRemaining(ref, now)),
		isStopping: task.phase === TaskPhase.stopping,
		isEnding: isEnding(ref, now)
	}
}

export function buildPlannedRun(ref: TaskRef, rank: number): NodeRun {
	return {
		ref,
		rank,
		loss: 0,
		isProtected: true,
		remainingMs: ref.spec.estimateMs,
		isStopping: false,
		isEnding: false
	}
}

/** Expected time until the run ends; a gang ends with the slowest of its members. */
export function estimateRemaining({step, spec, task}: TaskRef, now: number): number {
	const members = spec.gang ? step.tasks : [task]
	return Math.max(...members.map(member => estimateMemberRemaining(member, spec, now)))
}

/** Uses the run's rate if it is known, else the caller's estimate for what its progress leaves. */
function estimateMemberRemaining(task: TaskProgress, spec: StepSpec, now: number): number {
	if (task.phase === TaskPhase.done) return 0
	const remainingMs = computeRemaining(task, now)
	if (remainingMs < Infinity) return remainingMs
	const percent = task.phase === TaskPhase.running ? task.percent : 0
	return (spec.estimateMs * (PERCENT_DONE - percent)) / PERCENT_DONE
}

/** A gang ends with the slowest of its members. */
function isEnding({step, spec, task}: TaskRef, now: number): boolean {
	const members = spec.gang ? step.tasks : [task]
	return members.every(member => computeRemaining(member, now) < ENDS_SOON_MS)
}

/** Remaining time of a run at its rate since this holder first saw it; infinite if that is not known. */
function computeRemaining(
	{phase, percent, startPercent, startedAt, progressAt}: TaskProgress,
	now: number
): number {
	const gained = percent - startPercent
	if (phase !== TaskPhase.running || gained <= 0) return Infinity
	const msPerPercent = (progressAt - startedAt) / gained
	const remainingMs = (PERCENT_DONE - percent) * msPerPercent - (now - progressAt)
	// A run that is well past its projected end has no known end.
	return remainingMs < -ENDS_SOON_MS ? Infinity : remainingMs
}

/** Core-seconds of work lost by stopping a run, including its whole gang if it has one. */
function computeLoss({task, spec}: TaskRef, now: number): number {
	if (spec.checkpoints) return 0
	const earlierMs = (spec.estimateMs * task.startPercent) / PERCENT_DONE
	const ranMs = Math.max(0, now - task.startedAt) + earlierMs
	return (computeCores(spec) * (spec.gang ? spec.tasks : 1) * ranMs) / MS_PER_S
}

export function computeCores({demand}: StepSpec): number {
	return demand.cpuMillis / CPU_MILLIS_PER_CORE + demand.accelerators * CORES_PER_ACCELERATOR
}
