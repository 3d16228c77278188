/**
 * Estimates how fast each worker runs its tasks, compared with other workers. Tasks of one step have about the same work,
 * so the run times of a step that has ended show which of its workers are faster than the median. Nothing else does:
 * callers' estimates are off by factors, and workers don't report their speed.
 */

interface StepRun {
	readonly workerId: string
	readonly ranMs: number
}

/** Tasks of one step from which its run times are compared. */
const STEP_TASKS_MIN = 6
/** Weight of the latest step in a worker's pace: run times of one worker vary by about 15 %. */
const PACE_WEIGHT = 0.4
/** Bounds of one sample, so that a run that was held up for other reasons counts little. */
const PACE_MIN = 0.5
const PACE_MAX = 2
/** Steps whose run times are kept at the same time. */
const STEPS_MAX = 1000

export class WorkerPaces {
	readonly #steps = new Map<string, StepRun[]>()
	readonly #paces = new Map<string, number>()

	/** Time that the worker takes for a task, relative to the median of others; 1 while it is not known. */
	find(workerId: string): number {
		return this.#paces.get(workerId) ?? 1
	}

	recordRun(stepKey: string, workerId: string, ranMs: number): void {
		const runs = this.#steps.get(stepKey)
		if (runs !== undefined) runs.push({workerId, ranMs})
		else this.#steps.set(stepKey, [{workerId, ranMs}])
		const [oldest] = this.#steps.keys()
		if (this.#steps.size > STEPS_MAX && oldest !== undefined) this.#steps.delete(oldest)
	}

	/** Takes the run times of a step that has ended into account, and returns its workers. */
	finishStep(stepKey: string): ReadonlySet<string> {
		const runs = this.#steps.get(stepKey) ?? []
		this.#steps.delete(stepKey)
		if (runs.length < STEP_TASKS_MIN) return new Set()
		const sorted = runs.map(({ranMs}) => ranMs).sort((a, b) => a - b)
		const medianMs = sorted[Math.floor(sorted.length / 2)] ?? 0
		if (medianMs <= 0) return new Set()
		for (const {workerId, ranMs} of runs) {
			const sample = Math.min(PACE_MAX, Math.max(PACE_MIN, ranMs / medianMs))
			const known = this.find(workerId)
			this.#paces.set(workerId, known + PACE_WEIGHT * (sample - known))
		}
		return new Set(runs.map(({workerId}) => workerId))
	}
}
