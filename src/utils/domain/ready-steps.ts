/** Lists the steps that may be placed now, with everything that determines their order. */
import {
	type CatalogEntry,
	type Occurrence,
	type ReadyStep,
	type StepSpec,
	type StepProgress,
	type WorkflowEntry,
	TaskPhase,
	computePunctuality,
	findRank,
	isStepDone
} from "../../internal.js"

/** Steps with waiting tasks whose dependencies are done. */
export function listReadySteps(
	{catalog}: CatalogEntry,
	active: readonly WorkflowEntry[],
	guaranteed: ReadonlySet<string>,
	now: number,
	wallNow: number
): ReadyStep[] {
	const queues = new Map(catalog.queues.map(queue => [queue.name, queue]))
	const ready: ReadyStep[] = []
	for (const workflow of active) {
		const {record, acceptedAt, forecast} = workflow
		const rank = findRank(workflow, guaranteed)
		const queue = queues.get(record.queue)
		for (const occurrence of workflow.occurrences.values()) {
			const isScheduled = record.spec.schedule !== undefined
			const ageMs = isScheduled ? wallNow - occurrence.dueWallMs : now - acceptedAt
			for (const [stepIndex, spec] of record.spec.steps.entries()) {
				const step = occurrence.steps[stepIndex]
				if (step === undefined || !isStepReady(spec, step, occurrence)) continue
				const punctuality = computePunctuality(forecast.criticalPathsMs, stepIndex, queue, ageMs)
				ready.push({workflow, occurrence, stepIndex, spec, step, rank, punctuality})
			}
		}
	}
	return ready
}

function isStepReady(spec: StepSpec, step: StepProgress, {steps}: Occurrence): boolean {
	const isWaiting = ({phase}: {phase: TaskPhase}) => phase === TaskPhase.waiting
	// A gang is placed again only once no member of its last run is left.
	const hasWork = spec.gang ? step.tasks.every(isWaiting) : step.tasks.some(isWaiting)
	return hasWork && spec.after.every(index => isStepDone(steps[index]))
}
