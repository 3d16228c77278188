/**
 * What is lost by stopping a run, in core-seconds: its work so far, or the time to restore its checkpoint, for all members of a
 * gang. What earlier runs have lost counts again, so that a run which has just started over is not stopped next.
 */
import {type HostSettings, type StepSpec, type TaskRef, findExpectedRunMs} from "../internal.js"

const PERCENT_DONE = 100
const MS_PER_S = 1000
const CPU_MILLIS_PER_CORE = 1000
/** Number of cores that one accelerator counts as in the cost of work. */
const CORES_PER_ACCELERATOR = 8
/** Earlier runs that count; work that often starts over must still make way for guaranteed work. */
const RESTARTS_MAX = 3

/** What a stop costs besides the work lost. */
export interface StopTimes {
	/** Longest time that a worker takes to stop a run. */
	readonly stopMs: number
	/** Time that a run takes to resume from a checkpoint. */
	readonly restoreMs: number
}

/** A run that is to be stopped, and the work lost with it. */
export interface Victim {
	readonly ref: TaskRef
	readonly loss: number
}

export function findStopTimes({domain}: HostSettings): StopTimes {
	return {stopMs: domain?.stopMs ?? 0, restoreMs: domain?.restoreMs ?? 0}
}

/** Work lost by stopping a run, including its whole gang if it has one. */
export function computeRunLoss(ref: TaskRef, times: StopTimes, now: number): number {
	const {task, spec, step} = ref
	const members = spec.gang ? step.tasks : [task]
	const workMs = spec.checkpoints ? times.restoreMs : computeRanMs(ref, now)
	const restarts = Math.min(RESTARTS_MAX, task.run - 1)
	const restartMs = restarts * (times.stopMs + times.restoreMs)
	const earlierLoss = members.reduce((sum, {lostWork}) => sum + lostWork, 0)
	return (computeCores(spec) * members.length * (workMs + restartMs)) / MS_PER_S + earlierLoss
}

/** Loss of all victims together. The members of a gang stop with each other, so their gang is lost once. */
export function sumLosses(victims: readonly Victim[]): number {
	const losses = new Map(victims.map(({ref, loss}) => [formatLossKey(ref), loss]))
	return [...losses.values()].reduce((sum, loss) => sum + loss, 0)
}

/** What stops as a whole: a gang, or one run. */
export function formatLossKey({spec, occurrence, stepIndex, taskId}: TaskRef): string {
	return spec.gang ? `${occurrence.key}.${stepIndex}` : taskId
}

/** Cores that one task of the step counts as. */
export function computeCores({demand}: StepSpec): number {
	return demand.cpuMillis / CPU_MILLIS_PER_CORE + demand.accelerators * CORES_PER_ACCELERATOR
}

/** Work of the run up to then, as time; its part before this holder's term is forecast. */
export function computeRanMs(ref: TaskRef, at: number): number {
	const {startedAt, startPercent} = ref.task
	return Math.max(0, at - startedAt) + (findExpectedRunMs(ref) * startPercent) / PERCENT_DONE
}
