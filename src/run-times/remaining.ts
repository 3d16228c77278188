/** How long runs are expected to go on: by the rate of their progress, or by the forecast of their workflow. */
import {type TaskProgress, type TaskRef, TaskPhase} from "../internal.js"

/** A run that ends this soon is waited for instead of stopped, also where a stop is faster. */
const ENDS_SOON_MS = 500
const PERCENT_DONE = 100

/** Expected time that one run of the task takes, from its start to its end. */
export function findExpectedRunMs({workflow, stepIndex}: TaskRef): number {
	return workflow.forecast.steps[stepIndex]?.medianMs ?? 0
}

/** Expected time until the run ends; a gang ends with the slowest of its members. */
export function estimateRemaining(ref: TaskRef, now: number): number {
	const members = ref.spec.gang ? ref.step.tasks : [ref.task]
	const expectedMs = findExpectedRunMs(ref)
	return Math.max(...members.map(member => estimateMemberRemaining(member, expectedMs, now)))
}

/** Uses the run's rate if it is known, else the expected time for what its progress leaves. */
function estimateMemberRemaining(task: TaskProgress, expectedMs: number, now: number): number {
	if (task.phase === TaskPhase.done) return 0
	const remainingMs = computeRemaining(task, now)
	if (remainingMs < Infinity) return remainingMs
	const percent = task.phase === TaskPhase.running ? task.percent : 0
	return (expectedMs * (PERCENT_DONE - percent)) / PERCENT_DONE
}

/** True if the run ends by itself as soon as a stop would end it; a gang ends with the slowest of its members. */
export function isEnding({step, spec, task}: TaskRef, stopMs: number, now: number): boolean {
	const members = spec.gang ? step.tasks : [task]
	const endsSoonMs = Math.max(ENDS_SOON_MS, stopMs)
	return members.every(member => computeRemaining(member, now) < endsSoonMs)
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
