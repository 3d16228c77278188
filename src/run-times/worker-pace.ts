/**
 * Estimates how fast each worker runs its tasks, compared with other workers. Tasks of one step have about the same work,
 * so the rates of their progress show which of its workers are faster than the median. Nothing else does: callers'
 * estimates are off by factors, and workers don't report their speed. A new holder knows within seconds, since it needs
 * only the progress of what is running.
 */
import {type TaskProgress, type TaskRef, TaskPhase, groupBy} from "../internal.js"

/** Runs of one step from which their rates are compared. */
const STEP_RUNS_MIN = 6
/** Progress from which a rate is known well enough: it is reported in whole percents. */
const GAINED_PERCENT_MIN = 12
const PERCENT_DONE = 100
/** Weight of the latest comparison: tasks of one step differ by about 15 %, and are compared several times. */
const PACE_WEIGHT = 0.3
/** Bounds of one sample, so that a run that was held up for other reasons counts little. */
const PACE_MIN = 0.5
const PACE_MAX = 2

export class WorkerPaces {
	readonly #paces = new Map<string, number>()

	/** Time that the worker takes for a task, relative to the median of others; 1 while it is not known. */
	find(workerId: string): number {
		return this.#paces.get(workerId) ?? 1
	}

	/** Compares the runs of each step, and returns the workers whose pace has changed. */
	update(runs: Iterable<TaskRef>): ReadonlySet<string> {
		const comparable = [...runs].filter(isComparable)
		const steps = groupBy(comparable, ({occurrence, stepIndex}) => `${occurrence.key}.${stepIndex}`)
		const samples = new Map<string, number[]>()
		for (const siblings of steps.values()) addSamples(samples, siblings)
		for (const [workerId, ratios] of samples) {
			const mean = ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length
			const known = this.#paces.get(workerId)
			this.#paces.set(workerId, known === undefined ? mean : known + PACE_WEIGHT * (mean - known))
		}
		return new Set(samples.keys())
	}
}

/** A member of a gang at 100 percent waits for the others, and a step bound to a rack runs slower in others. */
function isComparable({task, spec}: TaskRef): boolean {
	const {phase, percent, startPercent} = task
	if (phase !== TaskPhase.running || spec.longRunning || spec.usesIdleCpu) return false
	if (spec.dataRack !== undefined || percent >= PERCENT_DONE) return false
	return percent - startPercent >= GAINED_PERCENT_MIN
}

function addSamples(samples: Map<string, number[]>, siblings: readonly TaskRef[]): void {
	if (siblings.length < STEP_RUNS_MIN) return
	const times = siblings.map(({task}) => computeTimePerPercent(task))
	const median = [...times].sort((a, b) => a - b)[Math.floor(times.length / 2)] ?? 0
	if (median <= 0) return
	for (const [index, {task}] of siblings.entries()) {
		const ratio = Math.min(PACE_MAX, Math.max(PACE_MIN, (times[index] ?? 0) / median))
		const known = samples.get(task.workerId)
		if (known === undefined) samples.set(task.workerId, [ratio])
		else known.push(ratio)
	}
}

function computeTimePerPercent({
	percent,
	startPercent,
	startedAt,
	progressAt
}: TaskProgress): number {
	return (progressAt - startedAt) / (percent - startPercent)
}
