/** A snapshot of each worker's free capacity and of the cost of stopping its runs. */
import {
	type Board,
	type CatalogEntry,
	type NodeEntry,
	type NodeCapacity,
	type NodeRun,
	type ResourceDemand,
	type StopTimes,
	type TaskRef,
	GUARANTEED_RANK,
	TaskPhase,
	type WorkflowEntry,
	computeRank,
	computeRunLoss,
	estimateRemaining,
	findClosedWorkers,
	findExpectedRunMs,
	findNodeGate,
	findStopTimes,
	isEnding,
	isFinal
} from "../../internal.js"

/** Cost of stopping one run besides the work lost, in core-seconds, for the first rank; later ranks cost less. */
const STOP_COST = 120

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
		const capacity = buildNodeCapacity(board, node, guaranteed, suspect, now)
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
	isSuspect: boolean,
	now: number
): NodeCapacity {
	const {id, incarnation, rack, labels, capacity} = registration
	const used = board.runs.sumDemandOn(id)
	const health = board.health.get(id)
	const stopTimes = findStopTimes(board.settings)
	let runs: NodeRun[] | undefined
	return {
		id,
		incarnation,
		rack,
		labels,
		isSuspect,
		isOnTrial: (health?.failedWorkflows.length ?? 0) > 0,
		pace: health?.pace ?? 1,
		capacity,
		free: {
			cpuMillis: capacity.cpuMillis - used.cpuMillis,
			memoryMb: capacity.memoryMb - used.memoryMb,
			accelerators: capacity.accelerators - used.accelerators
		},
		listRuns: () =>
			(runs ??= [...board.runs.listOn(id).values()].map(ref =>
				buildNodeRun(ref, guaranteed, stopTimes, now)
			))
	}
}

/** `guaranteed` has the workflows that a guarantee covers. */
export function buildNodeRun(
	ref: TaskRef,
	guaranteed: ReadonlySet<string>,
	stopTimes: StopTimes,
	now: number
): NodeRun {
	const {workflow, task, spec} = ref
	const rank = isFinal(workflow.state) ? Infinity : findRank(workflow, guaranteed)
	return {
		ref,
		rank,
		loss: computeRunLoss(ref, stopTimes, now) + STOP_COST / (rank + 1),
		isProtected: spec.longRunning || task.phase === TaskPhase.planned,
		remainingMs: Math.max(0, estimateRemaining(ref, now)),
		isStopping: task.phase === TaskPhase.stopping,
		isEnding: isEnding(ref, stopTimes.stopMs, now)
	}
}

export function buildPlannedRun(ref: TaskRef, rank: number): NodeRun {
	return {
		ref,
		rank,
		loss: 0,
		isProtected: true,
		remainingMs: findExpectedRunMs(ref),
		isStopping: false,
		isEnding: false
	}
}

/** True if less than half of the workers' capacity is in use. */
export function isMostlyIdle(nodes: readonly NodeCapacity[]): boolean {
	const sumUsed = (read: (demand: ResourceDemand) => number) =>
		nodes.reduce((sum, {capacity, free}) => sum + read(capacity) - read(free), 0)
	const sumTotal = (read: (demand: ResourceDemand) => number) =>
		nodes.reduce((sum, {capacity}) => sum + read(capacity), 0)
	const readings = [
		({cpuMillis}: ResourceDemand) => cpuMillis,
		({accelerators}: ResourceDemand) => accelerators
	]
	return readings.every(read => sumUsed(read) * 2 < sumTotal(read))
}
