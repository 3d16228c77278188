/**
 * When a run that makes no progress on a worker that answers is given up. A worker may stand still for some seconds and go on,
 * so a run is worth waiting for as long as it takes to do its work again: at worst it ends twice as late, and a gang that is
 * nearly done isn't lost to a short stall. A run with checkpoints loses little, and moves at once.
 */
import {
	type TaskRef,
	RUN_STALL_MS,
	RUN_STALL_SHARE,
	TaskPhase,
	computeRanMs,
	findExpectedRunMs
} from "../internal.js"

/** A stall that lasts longer is taken for a worker that will not recover. */
const STALL_PATIENCE_MAX_MS = 10000
const PERCENT_DONE = 100

export interface Stall {
	/** Time without progress. */
	readonly stalledMs: number
	/** Time without progress after which the run is given up. */
	readonly patienceMs: number
}

/** Undefined while the run's progress is as expected; its worker is suspect otherwise. */
export function findStall(ref: TaskRef, reportedAt: number): Stall | undefined {
	const {task, spec} = ref
	// A gang member at 100 percent waits for the other members.
	const mayStall = !spec.longRunning && task.percent < PERCENT_DONE
	if (task.phase !== TaskPhase.running || !mayStall) return undefined
	const stalledMs = reportedAt - findProgressTime(ref)
	const noticedMs = Math.max(RUN_STALL_MS, findExpectedRunMs(ref) * RUN_STALL_SHARE)
	if (stalledMs < noticedMs) return undefined
	const redoneMs = spec.checkpoints ? 0 : computeRanMs(ref, task.progressAt)
	const patienceMs = Math.max(noticedMs, Math.min(redoneMs, STALL_PATIENCE_MAX_MS))
	return {stalledMs, patienceMs}
}

/** Time of the latest progress. A gang works only while all its members run; infinite while one of them doesn't. */
function findProgressTime({task, spec, step}: TaskRef): number {
	if (!spec.gang) return task.progressAt
	const isAtWork = step.tasks.every(({phase}) => phase === TaskPhase.running)
	if (!isAtWork) return Infinity
	return step.tasks.reduce((at, {startedAt}) => Math.max(at, startedAt), task.progressAt)
}
