/** Finds what holds a start now: placement as a whole, or one workflow. */
import {
	type Board,
	type HeldTask,
	type Occurrence,
	type StepProgress,
	type StepSpec,
	type TaskProgress,
	type WorkflowEntry,
	CATALOG_FRESH_MS,
	Lifecycle,
	StartGate,
	TaskPhase,
	formatOccurrenceKey,
	formatRunTaskId,
	isSaved,
	isStepDone,
	isTermConfirmed
} from "../../internal.js"

/** What holds all of placement; undefined if rounds may be held. */
export function findRoundGate(board: Board, now: number): StartGate | undefined {
	const catalog = board.catalog.get("current")
	if (!board.terms.has("loaded")) return StartGate.termNotLoaded
	if (catalog === undefined) return StartGate.catalogMissing
	if (board.lifecycle.get("state") !== Lifecycle.serving) return StartGate.hostStopping
	if (!isTermConfirmed(board, now)) return StartGate.termUnconfirmed
	return now - catalog.evidenceAt > CATALOG_FRESH_MS ? StartGate.catalogStale : undefined
}

/** What holds a workflow of which nothing runs; undefined if a task runs or no step's turn has come. */
export function findHeldTask(
	board: Board,
	workflow: WorkflowEntry,
	now: number
): HeldTask | undefined {
	const {occurrences} = workflow
	const {id, spec} = workflow.record
	// Its occurrence is created by the first round of placement that sees it.
	if (occurrences.size === 0 && spec.schedule === undefined) {
		const taskId = formatRunTaskId(formatOccurrenceKey(id, 0), 0, 0)
		return {gate: StartGate.noRoom, taskId, run: 0, workerId: undefined}
	}
	let held: HeldTask | undefined
	for (const occurrence of occurrences.values())
		for (const [stepIndex, step] of occurrence.steps.entries()) {
			if (step.tasks.some(task => isRunning(board, task))) return undefined
			const stepSpec = spec.steps[stepIndex]
			if (held !== undefined || stepSpec === undefined) continue
			if (isStepDue(stepSpec, step, occurrence))
				held = findStepGate(workflow, occurrence, stepIndex, now)
		}
	return held
}

function isRunning({nodes}: Board, {phase, workerId}: TaskProgress): boolean {
	return phase === TaskPhase.running && nodes.get(workerId)?.failures === 0
}

function isStepDue({after}: StepSpec, step: StepProgress, {steps}: Occurrence): boolean {
	return !isStepDone(step) && after.every(index => isStepDone(steps[index]))
}

const GATE_OF_PHASE: Partial<Record<TaskPhase, StartGate>> = {
	[TaskPhase.stopping]: StartGate.runStopping,
	[TaskPhase.running]: StartGate.workerUnanswered,
	[TaskPhase.starting]: StartGate.startUnanswered,
	[TaskPhase.planned]: StartGate.planUnsaved
}

function findStepGate(
	workflow: WorkflowEntry,
	occurrence: Occurrence,
	stepIndex: number,
	now: number
): HeldTask | undefined {
	const {tasks = [], notBefore = 0} = occurrence.steps[stepIndex] ?? {}
	const isWaiting = ({phase}: TaskProgress) => phase === TaskPhase.waiting
	const isHeld = ({phase}: TaskProgress) => GATE_OF_PHASE[phase] !== undefined
	// Tasks that wait may be placed beside others, except for those of a gang.
	const isGang = workflow.record.spec.steps[stepIndex]?.gang === true
	const order = isGang ? [isHeld, isWaiting] : [isWaiting, isHeld]
	const index = order.map(isNext => tasks.findIndex(isNext)).find(found => found >= 0)
	const task = index === undefined ? undefined : tasks[index]
	if (index === undefined || task === undefined) return undefined
	const placeable = notBefore > now ? StartGate.retryDelayed : StartGate.noRoom
	const gate = GATE_OF_PHASE[task.phase] ?? placeable
	const isDurable =
		gate === StartGate.planUnsaved && isSaved(workflow, occurrence, task.plannedRevision)
	const isStarted = task.phase !== TaskPhase.waiting && task.phase !== TaskPhase.planned
	return {
		gate: isDurable ? StartGate.startsInFlight : gate,
		taskId: formatRunTaskId(occurrence.key, stepIndex, index),
		run: task.run,
		workerId: isStarted ? task.workerId : undefined
	}
}
