/**
 * The order in which steps that are ready get room. Work of one rank goes by the time of its acceptance, but what can
 * still complete within its queue's objective goes before what no longer can.
 *
 * Load that this answers: for some seconds more urgent work arrives than the workers hold. Served strictly by age, each
 * workflow then starts just too late, and all of them miss the objective until the queue has drained.
 */
import {
	type Occurrence,
	type QueueConfig,
	type StepProgress,
	type StepSpec,
	type WorkflowEntry
} from "../internal.js"

/** Whether a workflow that starts now is expected to complete within its queue's objective. */
export const Punctuality = {onTime: 0, late: 1, overdue: 2} as const
export type Punctuality = (typeof Punctuality)[keyof typeof Punctuality]

/** A step whose turn has come and that has tasks waiting. */
export interface ReadyStep {
	readonly workflow: WorkflowEntry
	readonly occurrence: Occurrence
	readonly stepIndex: number
	readonly spec: StepSpec
	readonly step: StepProgress
	readonly rank: number
	readonly punctuality: Punctuality
}

export interface RunQueuePolicy {
	order(steps: readonly ReadyStep[]): readonly ReadyStep[]
}

export class PunctualRunQueue implements RunQueuePolicy {
	order(steps: readonly ReadyStep[]): readonly ReadyStep[] {
		return [...steps].sort(
			(a, b) =>
				a.rank - b.rank ||
				a.punctuality - b.punctuality ||
				a.workflow.acceptedAt - b.workflow.acceptedAt
		)
	}
}

/** Time besides the work itself: the commit of the plan, the start, the report of the end and its commit. */
const ORDER_TIME_MS = 200

/** Times the objective up to which the platform's operators still count a workflow as served, though late. */
const OVERDUE_FACTOR = 3

/**
 * Judged by the callers' estimates; without an objective everything is on time. `chainsMs` gives for each step the time
 * from its start to the end of the last one that depends on it.
 */
export function computePunctuality(
	chainsMs: readonly number[],
	stepIndex: number,
	queue: QueueConfig | undefined,
	ageMs: number
): Punctuality {
	if (queue === undefined) return Punctuality.onTime
	const objectiveMs = queue.stretch * Math.max(...chainsMs) + queue.targetLatencyMs
	const expectedMs = ageMs + ORDER_TIME_MS + (chainsMs[stepIndex] ?? 0)
	if (expectedMs <= objectiveMs) return Punctuality.onTime
	return expectedMs <= OVERDUE_FACTOR * objectiveMs ? Punctuality.late : Punctuality.overdue
}

/** Estimated time from the start of each step to the end of the last one that depends on it. */
export function computeChains(specs: readonly StepSpec[]): readonly number[] {
	const chainsMs = specs.map(({estimateMs}) => estimateMs)
	// A step depends on earlier ones only, so that all that depends on it is reckoned before it.
	for (let index = specs.length - 1; index >= 0; index--)
		for (const earlier of specs[index]?.after ?? [])
			chainsMs[earlier] = Math.max(
				chainsMs[earlier] ?? 0,
				(specs[earlier]?.estimateMs ?? 0) + (chainsMs[index] ?? 0)
			)
	return chainsMs
}
