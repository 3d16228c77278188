/** Keys, rows and progress of workflows. */
import {
	type Occurrence,
	type StepProgress,
	type StepSpec,
	type TaskProgress,
	type TaskRef,
	type WorkflowEntry,
	type WorkflowRecord,
	type WorkflowSpec,
	IndexRanges,
	TaskPhase,
	WorkflowState,
	createForecast,
	isFinal
} from "../../internal.js"

export const WORKFLOW_PREFIX = "workflow/"
export const PROGRESS_PREFIX = "progress/"
/** Rows under this prefix name the workflows that have no started task. */
export const PENDING_PREFIX = "pending/"

const STATE_SUFFIX = ".state"
const CANCEL_SUFFIX = ".cancel"

export function formatWorkflowKey(id: string): string {
	return `${WORKFLOW_PREFIX}${id}`
}

export function formatStateKey(id: string): string {
	return `${WORKFLOW_PREFIX}${id}${STATE_SUFFIX}`
}

export function formatCancelKey(id: string): string {
	return `${WORKFLOW_PREFIX}${id}${CANCEL_SUFFIX}`
}

export function formatPendingKey(id: string): string {
	return `${PENDING_PREFIX}${id}`
}

/** Hosts of earlier versions take it for the cancellation of a workflow that they don't know. */
export function formatTombstoneKey(id: string, ownerTag: string): string {
	return `${WORKFLOW_PREFIX}${id}.${ownerTag}${CANCEL_SUFFIX}`
}

/** The progress of an occurrence is in its first row, and continues in further ones if it is large. */
export function formatProgressKey(occurrenceKey: string, part: number): string {
	const suffix = part === 0 ? "" : `.${part}`
	return `${PROGRESS_PREFIX}${occurrenceKey}${suffix}`
}

export const WorkflowRowKind = {
	record: "record",
	state: "state",
	cancel: "cancel",
	tombstone: "tombstone"
} as const
export type WorkflowRowKind = (typeof WorkflowRowKind)[keyof typeof WorkflowRowKind]

/** Parses the key of one of a workflow's rows. */
export function parseWorkflowKey(key: string): {id: string; kind: WorkflowRowKind} {
	const name = key.slice(WORKFLOW_PREFIX.length)
	if (name.endsWith(STATE_SUFFIX))
		return {id: name.slice(0, -STATE_SUFFIX.length), kind: WorkflowRowKind.state}
	if (!name.endsWith(CANCEL_SUFFIX)) return {id: name, kind: WorkflowRowKind.record}
	const [id = "", ownerTag] = name.slice(0, -CANCEL_SUFFIX.length).split(".")
	return {id, kind: ownerTag === undefined ? WorkflowRowKind.cancel : WorkflowRowKind.tombstone}
}

export function formatOccurrenceKey(workflowId: string, index: number): string {
	return `${workflowId}.${index}`
}

export function formatRunTaskId(occurrenceKey: string, step: number, task: number): string {
	return `${occurrenceKey}.${step}.${task}`
}

export function createTaskProgress(): TaskProgress {
	return {
		phase: TaskPhase.waiting,
		run: 0,
		workerId: "",
		incarnation: "",
		failures: 0,
		checkpoint: "",
		plannedRevision: 0,
		orderedAt: 0,
		acknowledgedAt: undefined,
		starts: 0,
		openStarts: 0,
		percent: 0,
		progressAt: 0,
		startedAt: 0,
		startPercent: 0,
		savedAt: 0,
		lostWork: 0,
		stopCause: undefined,
		failedOn: [],
		released: undefined
	}
}

function createStepProgress(spec: StepSpec): StepProgress {
	const tasks = Array.from({length: spec.tasks}, createTaskProgress)
	return {tasks, gangFailures: 0, gangFailedRun: 0, notBefore: 0}
}

export function createOccurrence(record: WorkflowRecord, index: number): Occurrence {
	return {
		key: formatOccurrenceKey(record.id, index),
		index,
		dueWallMs: computeDueTime(record, index),
		steps: record.spec.steps.map(createStepProgress),
		rowVersions: [],
		revision: 0,
		savedRevision: 0
	}
}

/** Wall time at which an occurrence is due; 0 without a schedule. */
export function computeDueTime({spec: {schedule}}: WorkflowRecord, index: number): number {
	return schedule === undefined ? 0 : schedule.firstDueWallMs + index * schedule.intervalMs
}

export function countOccurrences({spec}: WorkflowRecord): number {
	return spec.schedule?.occurrences ?? 1
}

/** Tasks of one occurrence. */
export function countTasks({steps}: WorkflowSpec): number {
	return steps.reduce((sum, {tasks}) => sum + tasks, 0)
}

export function createWorkflowEntry(
	record: WorkflowRecord,
	now: number,
	wallNow: number,
	recordBytes = 0
): WorkflowEntry {
	const waitedMs = Math.max(0, wallNow - record.acceptedAtWallMs)
	return {
		record,
		recordBytes,
		occurrences: new Map(),
		forecast: createForecast(record.spec.steps),
		state: WorkflowState.queued,
		savedState: WorkflowState.queued,
		stateVersion: 0,
		done: new IndexRanges(),
		savedDone: 0,
		cancelRequested: false,
		seenAt: now,
		acceptedAt: now - waitedMs,
		endedAt: undefined,
		pendingRemoved: false
	}
}

export function createTaskRef(
	workflow: WorkflowEntry,
	occurrence: Occurrence,
	stepIndex: number,
	taskIndex: number
): TaskRef | undefined {
	const spec = workflow.record.spec.steps[stepIndex]
	const step = occurrence.steps[stepIndex]
	const task = step?.tasks[taskIndex]
	if (spec === undefined || step === undefined || task === undefined) return undefined
	const taskId = formatRunTaskId(occurrence.key, stepIndex, taskIndex)
	return {taskId, workflow, occurrence, stepIndex, spec, step, task}
}

/** Every task of a step, with the step, occurrence and workflow that it belongs to. */
export function listTaskRefs(
	workflow: WorkflowEntry,
	occurrence: Occurrence,
	stepIndex: number
): TaskRef[] {
	const refs: TaskRef[] = []
	for (const index of occurrence.steps[stepIndex]?.tasks.keys() ?? []) {
		const ref = createTaskRef(workflow, occurrence, stepIndex, index)
		if (ref !== undefined) refs.push(ref)
	}
	return refs
}

export function isStepDone(step: StepProgress | undefined): boolean {
	return step?.tasks.every(({phase}) => phase === TaskPhase.done) ?? false
}

export function isOccurrenceDone({steps}: Occurrence): boolean {
	return steps.every(isStepDone)
}

/** True while runs of the workflow may be started. */
export function isSchedulable({state, cancelRequested}: WorkflowEntry): boolean {
	return !isFinal(state) && !cancelRequested
}
