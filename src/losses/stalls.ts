/**
 * When a run that makes no progress on a worker that answers is given up. A worker may stand still for some seconds and go on,
 * so a run is worth waiting for as long as it takes to do its work again: at worst it ends twice as late, and a gang that is
 * nearly done isn't lost to a short stall. It is also waited for while it could start over and still meet its queue's objective.
 * A run that has done nothing, or has checkpoints, loses little and moves at once.
 */
import {
	type TaskRef,
	RUN_OVERHEAD_MS,
	RUN_STALL_MS,
	RUN_STALL_SHARE,
	TaskPhase,
	computeRanMs,
	findExpectedRunMs
} from "../internal.js"

/** A stall that lasts longer is taken for a worker that will not recover. */
const STALL_PATIENCE_MAX_MS = 10000
const PERCENT_DONE = 100

export interface StallTimes {
	/** Time from its acceptance in which the workflow should complete; 0 without such an objective. */
	readonly objectiveMs: number
	/** Longest time that a worker takes to stop a run. */
	readonly stopMs: number
}

export interface Stall {
	/** Time without progress. */
	readonly stalledMs: number
	/** Time without progress after which the run is given up. */
	readonly patienceMs: number
}

/** Undefined while the run's progress is as expected; its worker is suspect otherwise. */
export function findStall(
	ref: TaskRef,
	{objectiveMs, stopMs}: StallTimes,
	reportedAt: number
): Stall | undefined {
	const {task, spec, step} = ref
	// A gang member at 100 percent waits for the other members.
	const mayStall = !spec.longRunning && task.percent < PERCENT_DONE
	if (task.phase !== TaskPhase.running || !mayStall) return undefined
	const stalledMs = reportedAt - findProgressTime(ref)
	const noticedMs = Math.max(RUN_STALL_MS, findExpectedRunMs(ref) * RUN_STALL_SHARE)
	if (stalledMs < noticedMs) return undefined
	const members = spec.gang ? step.tasks : [task]
	const hasWork = members.some(({percent}) => percent > 0)
	if (spec.checkpoints || !hasWork) return {stalledMs, patienceMs: noticedMs}
	const restartMs = stopMs + RUN_OVERHEAD_MS
	const redoneMs = restartMs + computeRanMs(ref, task.progressAt)
	const noticedAt = reportedAt - stalledMs + noticedMs
	const spareMs = computeSpareTime(ref, objectiveMs, noticedAt + restartMs)
	const patienceMs = Math.min(STALL_PATIENCE_MAX_MS, Math.max(redoneMs, noticedMs + spareMs))
	return {stalledMs, patienceMs: Math.max(noticedMs, patienceMs)}
}

/** Time left to start over and meet the objective; occurrences of a schedule have none, as their due time isn't monotonic. */
function computeSpareTime({workflow, stepIndex}: TaskRef, objectiveMs: number, at: number): number {
	const {record, forecast, acceptedAt} = workflow
	if (record.spec.schedule !== undefined) return 0
	const neededMs = forecast.criticalPathsMs[stepIndex] ?? 0
	return Math.max(0, objectiveMs - (at - acceptedAt) - neededMs)
}

/** Time of the latest progress. A gang works only while all its members run; infinite while one of them doesn't. */
function findProgressTime({task, spec, step}: TaskRef): number {
	if (!spec.gang) return task.progressAt
	const isAtWork = step.tasks.every(({phase}) => phase === TaskPhase.running)
	if (!isAtWork) return Infinity
	return step.tasks.reduce((at, {startedAt}) => Math.max(at, startedAt), task.progressAt)
}
