/**
 * Notices runs that have become much slower than they were. A run's progress rises evenly while its worker is well; if it
 * rises at less than half of its highest rate, the worker has turned slow.
 */

interface Progress {
	readonly run: number
	readonly percent: number
	readonly at: number
	/** Highest rate so far, in percent per ms; undefined before the second observation. */
	readonly rate: number | undefined
}

/** Shortest time over which a rate is measured: progress is reported in whole percents. */
const WINDOW_MIN_MS = 1200
/** Progress that a run must be expected to make in that time. */
const EXPECTED_PERCENT_MIN = 6
const SLOW_SHARE = 0.5
const PERCENT_DONE = 100

export class ProgressRates {
	readonly #progress = new Map<string, Progress>()

	/** Records a report, and returns whether the run has become slow; undefined if the report doesn't show it. */
	observe(taskId: string, run: number, percent: number, at: number): boolean | undefined {
		const known = this.#progress.get(taskId)
		if (known?.run !== run) {
			this.#progress.set(taskId, {run, percent, at, rate: undefined})
			return undefined
		}
		const elapsedMs = at - known.at
		// A member of a gang at 100 percent waits for the others.
		if (elapsedMs < WINDOW_MIN_MS || percent >= PERCENT_DONE) return undefined
		const rate = (percent - known.percent) / elapsedMs
		const isShown = known.rate !== undefined && known.rate * elapsedMs >= EXPECTED_PERCENT_MIN
		this.#progress.set(taskId, {run, percent, at, rate: Math.max(known.rate ?? 0, rate)})
		return isShown ? rate < known.rate * SLOW_SHARE : undefined
	}

	delete(taskId: string): void {
		this.#progress.delete(taskId)
	}

	clear(): void {
		this.#progress.clear()
	}
}
