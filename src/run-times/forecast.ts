/**
 * What the steps of a workflow are expected to take. Every decision about time reads the workflow's forecast: the order of
 * the queues, what can still be on time, what remains of a run and what is lost by stopping it. A forecast begins with the
 * caller's estimates.
 */
import {type StepSpec} from "../internal.js"

export const RunTimeSource = {
	/** The caller's estimate. */
	caller: "caller",
	/** Runs that have finished. */
	learned: "learned"
} as const
export type RunTimeSource = (typeof RunTimeSource)[keyof typeof RunTimeSource]

/** Time that one run of a step takes from its start to its end. */
export interface RunTimeExpectation {
	readonly medianMs: number
	/** Time that nine of ten runs don't exceed. */
	readonly highMs: number
	readonly source: RunTimeSource
	/** Number of finished runs that it is based on. */
	readonly samples: number
	/** Wall time of the latest of them; undefined if there are none. */
	readonly updatedWallMs?: number | undefined
}

export interface WorkflowForecast {
	readonly steps: readonly RunTimeExpectation[]
	/** For each step, the expected time from its start to the end of the last step that depends on it. */
	readonly criticalPathsMs: readonly number[]
}

export function createForecast(specs: readonly StepSpec[]): WorkflowForecast {
	const steps = specs.map(({estimateMs}) => ({
		medianMs: estimateMs,
		highMs: estimateMs,
		source: RunTimeSource.caller,
		samples: 0
	}))
	return buildForecast(specs, steps)
}

export function buildForecast(
	specs: readonly StepSpec[],
	steps: readonly RunTimeExpectation[]
): WorkflowForecast {
	const durationsMs = steps.map(({medianMs}) => medianMs)
	return {steps, criticalPathsMs: computeCriticalPaths(specs, durationsMs)}
}

function computeCriticalPaths(
	specs: readonly StepSpec[],
	durationsMs: readonly number[]
): readonly number[] {
	const criticalPathsMs = [...durationsMs]
	// Steps depend only on earlier steps, so all dependents of a step are computed before it.
	for (let index = specs.length - 1; index >= 0; index--)
		for (const earlier of specs[index]?.after ?? [])
			criticalPathsMs[earlier] = Math.max(
				criticalPathsMs[earlier] ?? 0,
				(durationsMs[earlier] ?? 0) + (criticalPathsMs[index] ?? 0)
			)
	return criticalPathsMs
}
