/** State changes of one task. Each updates its progress and the board's runs, and marks what has to be durable. */
import {
	type Board,
	type EndProof,
	type NodeEntry,
	type NodeReport,
	type RunEnd,
	type Occurrence,
	type TaskProgress,
	type TaskRef,
	type WorkflowEntry,
	EndEvidence,
	EventLevel,
	FAILED_WORKERS_MAX,
	ReasonCode,
	STEP_RETRY_DELAY_MS,
	TaskPhase,
	WorkflowState,
	computeLostWork,
	countOccurrences,
	createTaskRef,
	findObjective,
	findTerm,
	findUnsentProof,
	isFinal,
	isOccurrenceDone,
	listTaskRefs,
	recordFinishedRun,
	recordLongRun
} from "../../internal.js"

const RUNNING = "running"
/** How a worker shows a run. */
export type RunShown = typeof RUNNING | RunEnd

/** Marks a change of the occurrence that has to be durable before it takes effect. */
export function recordProgress(
	board: Board,
	workflow: WorkflowEntry,
	occurrence: Occurrence
): void {
	occurrence.revision++
	board.workflows.set(workflow.record.id, workflow)
}

/** True once the table holds the given revision, or has the workflow as ended. */
export function isSaved(
	{savedState}: WorkflowEntry,
	{savedRevision}: Occurrence,
	revision: number
): boolean {
	return savedRevision >= revision || isFinal(savedState)
}

/** The members of a gang use the same run number. */
export function computeNextRun({spec, step, task}: TaskRef): number {
	if (!spec.gang) return task.run + 1
	return 1 + step.tasks.reduce((highest, member) => Math.max(highest, member.run), 0)
}

export function planRun(
	board: Board,
	ref: TaskRef,
	workerId: string,
	incarnation: string,
	run: number,
	now: number
): void {
	const {task, workflow, occurrence} = ref
	task.phase = TaskPhase.planned
	task.run = run
	task.workerId = workerId
	task.incarnation = incarnation
	task.starts = 0
	task.openStarts = 0
	task.percent = 0
	task.progressAt = now
	task.startedAt = now
	task.startPercent = 0
	task.stopCause = undefined
	task.acknowledgedAt = undefined
	task.orderedAt = now
	task.plannedRevision = occurrence.revision + 1
	board.runs.set(ref.taskId, ref)
	if (workflow.state === WorkflowState.queued) workflow.state = WorkflowState.running
	recordProgress(board, workflow, occurrence)
}

/** Finds a task by its id, whether or not it has a run. */
export function findTaskRef(board: Board, taskId: string): TaskRef | undefined {
	const [workflowId = "", occurrenceIndex, stepIndex, taskIndex] = taskId.split(".")
	const workflow = board.workflows.get(workflowId)
	const occurrence = workflow?.occurrences.get(Number(occurrenceIndex))
	if (workflow === undefined || occurrence === undefined) return undefined
	return createTaskRef(workflow, occurrence, Number(stepIndex), Number(taskIndex))
}

/** Every run of the workflow that may be on a worker. */
export function listRuns(board: Board, workflow: WorkflowEntry): TaskRef[] {
	const refs: TaskRef[] = []
	for (const occurrence of workflow.occurrences.values())
		for (const stepIndex of occurrence.steps.keys())
			refs.push(...listTaskRefs(workflow, occurrence, stepIndex))
	return refs.filter(({taskId}) => board.runs.has(taskId))
}

/** Records that the task failed on the worker. */
export function recordFailedWorker({failedOn}: TaskProgress, workerId: string): void {
	const known = failedOn.indexOf(workerId)
	if (known >= 0) failedOn.splice(known, 1)
	failedOn.push(workerId)
	if (failedOn.length > FAILED_WORKERS_MAX) failedOn.shift()
}

/** `percent` is the progress that the run has been reported with; 0 if its start has just been acknowledged. */
export function recordRunning(board: Board, ref: TaskRef, percent: number, now: number): void {
	const {task} = ref
	if (task.phase !== TaskPhase.starting) return
	task.phase = TaskPhase.running
	task.startedAt = now
	task.startPercent = percent
	task.percent = percent
	task.progressAt = now
	board.runs.set(ref.taskId, ref)
}

/** Releases a run that can't be active any more; the task may be placed again. */
export function releaseRun(
	board: Board,
	ref: TaskRef,
	reason: string,
	proof: EndProof,
	now: number
): void {
	const {task, step, taskId, workflow, occurrence} = ref
	const {run, workerId, phase} = task
	const epoch = findTerm(board)?.epoch ?? 0
	const cause = task.stopCause ?? reason
	const lost = computeLostWork(ref, now)
	const loss = {cause, lost: Math.round(lost)}
	task.lostWork += lost
	const fields = {task: taskId, run, worker: workerId, phase, ...loss, ...describeProof(proof)}
	board.record(EventLevel.info, "run-released", {...fields, epoch}, reason)
	task.released = {run, workerId, epoch, proof, releasedAt: now, isContradicted: false}
	task.phase = TaskPhase.waiting
	step.notBefore = Math.max(step.notBefore, now + STEP_RETRY_DELAY_MS)
	board.runs.delete(taskId)
	recordProgress(board, workflow, occurrence)
	stopGangMembers(board, ref, cause, now)
}

function describeProof({place, evidence, ageMs}: EndProof) {
	return {place, evidence, evidenceAgeMs: Math.round(ageMs)}
}

/** Log fields that name the task's earlier run and what proved its end; none for a first run. */
export function describeReleasedRun({released}: TaskProgress, now: number) {
	if (released === undefined) return {}
	const {workerId, epoch, proof, releasedAt} = released
	// The log of the earlier holder has the rest.
	if (proof.evidence === EndEvidence.earlierTerm)
		return {earlierRun: released.run, earlierEvidence: proof.evidence}
	return {
		earlierRun: released.run,
		earlierWorker: workerId,
		earlierPlace: proof.place,
		earlierEvidence: proof.evidence,
		earlierEvidenceAgeMs: Math.round(proof.ageMs + now - releasedAt),
		earlierEpoch: epoch
	}
}

/** Records that a worker shows a released run: as running, in a report made after the release, or as ended. */
export function recordContradiction(
	board: Board,
	{task: {released, run: currentRun}, taskId}: TaskRef,
	workerId: string,
	run: number,
	shown: RunShown,
	{sentAt}: Pick<NodeReport, "sentAt">
): void {
	if (released === undefined || released.isContradicted) return
	const isOfThisTerm = released.proof.evidence !== EndEvidence.earlierTerm
	const isReleased = isOfThisTerm
		? released.run === run && released.workerId === workerId
		: released.run >= run && shown === RUNNING
	const isEarlier = isOfThisTerm && shown === RUNNING && sentAt <= released.releasedAt
	if (!isReleased || isEarlier) return
	released.isContradicted = true
	const {epoch, proof, releasedAt} = released
	const sinceReleaseMs = Math.round(sentAt - releasedAt)
	const fields = {task: taskId, run, worker: workerId, shown, ...describeProof(proof), epoch}
	board.record(EventLevel.warn, "release-contradicted", {...fields, sinceReleaseMs, currentRun})
}

/**
 * Requests that the run stop; a run that was never sent is released at once. The cause of a gang's stop is what stopped
 * the first of its members.
 */
export function stopRun(
	board: Board,
	ref: TaskRef,
	reason: ReasonCode,
	now: number,
	cause: string = reason
): void {
	const {task, taskId} = ref
	const proof = findUnsentProof("stop", ref)
	if (proof !== undefined) {
		releaseRun(board, ref, reason, proof, now)
		return
	}
	if (task.phase !== TaskPhase.starting && task.phase !== TaskPhase.running) return
	recordLongRun(board, ref, reason, now)
	task.phase = TaskPhase.stopping
	task.stopCause = cause
	task.acknowledgedAt = undefined
	task.orderedAt = -Infinity
	board.runs.set(taskId, ref)
	const {run, workerId, percent} = task
	const fields = {task: taskId, run, worker: workerId, percent, cause}
	board.record(EventLevel.info, "stop-asked", fields, reason)
	stopGangMembers(board, ref, cause, now)
}

/** Stops all members of a gang once one is stopped or released, since no part of it runs without the rest. */
function stopGangMembers(board: Board, ref: TaskRef, cause: string, now: number): void {
	if (!ref.spec.gang) return
	const index = ref.stepIndex
	for (const member of listTaskRefs(ref.workflow, ref.occurrence, index)) {
		const {phase} = member.task
		const isActive =
			phase === TaskPhase.planned || phase === TaskPhase.starting || phase === TaskPhase.running
		if (isActive) stopRun(board, member, ReasonCode.gangStopped, now, cause)
	}
}

/** Marks the task as done; the end of a gang completes all its members. */
export function completeTask(board: Board, ref: TaskRef, now: number): void {
	const {workflow, occurrence, spec, stepIndex} = ref
	const refs = spec.gang ? listTaskRefs(workflow, occurrence, stepIndex) : [ref]
	recordFinishedRun(board, refs, now)
	for (const {task, taskId} of refs) {
		if (task.phase === TaskPhase.done) continue
		task.phase = TaskPhase.done
		board.runs.delete(taskId)
	}
	if (isOccurrenceDone(occurrence)) {
		workflow.done.add(occurrence.index)
		if (workflow.done.size === countOccurrences(workflow.record))
			endWorkflow(board, workflow, WorkflowState.completed, now)
	}
	recordProgress(board, workflow, occurrence)
}

export function endWorkflow(
	board: Board,
	workflow: WorkflowEntry,
	state: WorkflowState,
	now: number
): void {
	if (isFinal(workflow.state)) return
	workflow.state = state
	workflow.endedAt = now
	board.workflows.set(workflow.record.id, workflow)
	board.record(EventLevel.info, "workflow-ended", {
		workflow: workflow.record.id,
		state,
		ageMs: Math.round(now - workflow.acceptedAt),
		// By what its steps are expected to take now, which is more than was known when it was taken up.
		objectiveMs: findObjective(board, workflow)
	})
}

/** True if the worker's run is the task's current one, whichever incarnation of the worker carried out the start. */
export function isCurrentRun({task}: TaskRef, {registration}: NodeEntry, run: number): boolean {
	return task.workerId === registration.id && task.run === run
}

/** Records that the run is, or may be, on another incarnation of its worker. */
export function recordIncarnation({task}: TaskRef, incarnation: string): void {
	if (task.incarnation === incarnation) return
	task.incarnation = incarnation
	if (task.phase !== TaskPhase.stopping) return
	// The earlier incarnation may have acknowledged the stop.
	task.acknowledgedAt = undefined
	task.orderedAt = -Infinity
}
