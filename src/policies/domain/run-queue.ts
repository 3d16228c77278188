/**
 * The order in which steps that are ready are served. Within one rank, steps go by acceptance, but those that can still complete
 * within their queue's objective go before those that no longer can. The latter don't wait for ever: work that has been
 * late for long goes first, so a wrong forecast, of its own or of others, holds nobody up for longer than that.
 *
 * This matters when, for some seconds, more urgent work arrives than the workers can run. Ordered strictly by age, each
 * workflow would start just too late, and all would miss the objective until the queue has drained.
 */
import {
	type Occurrence,
	type QueueConfig,
	type StepProgress,
	type StepSpec,
	type WorkflowEntry,
	type WorkspaceShares
} from "../../internal.js"

/** Whether a workflow that starts now is expected to complete within its queue's objective. */
export const Punctuality = {longLate: 0, onTime: 1, late: 2, overdue: 3} as const
export type Punctuality = (typeof Punctuality)[keyof typeof Punctuality]

/** A step with waiting tasks whose dependencies are done. */
export interface ReadyStep {
	readonly workflow: WorkflowEntry
	readonly occurrence: Occurrence
	readonly stepIndex: number
	readonly spec: StepSpec
	readonly step: StepProgress
	readonly rank: number
	readonly punctuality: Punctuality
}

/** The order in which one round of placement serves the steps that are ready. */
export interface RunQueueRound {
	/** The step whose next tasks are in turn; undefined once no step is left. */
	next(): ReadyStep | undefined
	/** Leaves the step in turn out of the rest of the round. */
	close(): void
}

export interface RunQueuePolicy {
	/** `shares` changes with each task that is placed. */
	open(steps: readonly ReadyStep[], shares: WorkspaceShares): RunQueueRound
}

export class PunctualRunQueue implements RunQueuePolicy {
	open(steps: readonly ReadyStep[]): RunQueueRound {
		return new OrderedRound([...steps].sort(comparePunctual))
	}
}

class OrderedRound implements RunQueueRound {
	readonly #steps: readonly ReadyStep[]
	#index = 0

	constructor(steps: readonly ReadyStep[]) {
		this.#steps = steps
	}

	next(): ReadyStep | undefined {
		return this.#steps[this.#index]
	}

	close(): void {
		this.#index++
	}
}

export function comparePunctual(a: ReadyStep, b: ReadyStep): number {
	return (
		a.rank - b.rank ||
		a.punctuality - b.punctuality ||
		a.workflow.acceptedAt - b.workflow.acceptedAt
	)
}

/** Overhead of a run besides its work: the commit of the plan, the start, the report of the end and its commit. */
export const RUN_OVERHEAD_MS = 200

/** Multiple of the objective up to which the platform's operators still count a late workflow as served. */
const OVERDUE_FACTOR = 3

/** Age from which late work goes first in its rank: this time, or a multiple of the objective if that is longer. */
export const LATE_WAIT_MAX_MS = 300000
const LATE_WAIT_FACTOR = 10

/**
 * Without an objective everything is on time. `criticalPathsMs` gives for each step the
 * time from its start to the end of the last step that depends on it.
 */
export function computePunctuality(
	criticalPathsMs: readonly number[],
	stepIndex: number,
	queue: QueueConfig | undefined,
	ageMs: number
): Punctuality {
	if (queue === undefined) return Punctuality.onTime
	const objectiveMs = computeObjective(criticalPathsMs, queue)
	const expectedMs = ageMs + RUN_OVERHEAD_MS + (criticalPathsMs[stepIndex] ?? 0)
	if (expectedMs <= objectiveMs) return Punctuality.onTime
	if (ageMs > Math.max(LATE_WAIT_MAX_MS, LATE_WAIT_FACTOR * objectiveMs))
		return Punctuality.longLate
	return expectedMs <= OVERDUE_FACTOR * objectiveMs ? Punctuality.late : Punctuality.overdue
}

/** Time from acceptance, or from when it is due, in which a workflow should complete. */
export function computeObjective(
	criticalPathsMs: readonly number[],
	{stretch, targetLatencyMs}: QueueConfig
): number {
	return stretch * Math.max(...criticalPathsMs) + targetLatencyMs
}
