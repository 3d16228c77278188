/** What is lost by stopping a run, in core-seconds. */
import {type StepSpec, type TaskRef, findExpectedRunMs} from "../internal.js"

const PERCENT_DONE = 100
const MS_PER_S = 1000
const CPU_MILLIS_PER_CORE = 1000
/** Number of cores that one accelerator counts as in the cost of work. */
const CORES_PER_ACCELERATOR = 8

/** Work lost by stopping a run, including its whole gang if it has one. */
export function computeRunLoss(ref: TaskRef, now: number): number {
	const {spec} = ref
	if (spec.checkpoints) return 0
	return (computeCores(spec) * (spec.gang ? spec.tasks : 1) * computeRanMs(ref, now)) / MS_PER_S
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
