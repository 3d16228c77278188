/**
 * The values of a workflow's rows. Only hosts write them, yet a value that another writer left must not stop the hosts
 * that read it: each is checked, and one that is malformed is reported to the caller of the decoder.
 */
import {type Result} from "neverthrow"
import {z} from "zod"
import {
	type Board,
	type MalformedError,
	type Occurrence,
	type StepProgress,
	type ReleasedRun,
	type TableRow,
	type TaskProgress,
	type IndexRange,
	type WorkflowEntry,
	type WorkflowRecord,
	EndEvidence,
	EventLevel,
	PROGRESS_PREFIX,
	PROGRESS_ROWS_MAX,
	ROW_BYTES_MAX,
	ReasonCode,
	TaskPhase,
	WORKFLOW_OCCURRENCES_MAX,
	WORKFLOW_STEPS_MAX,
	WORKFLOW_TASKS_MAX,
	WorkflowState,
	decodeJson,
	formatProgressKey,
	isFinal,
	recordFailedWorker
} from "../../internal.js"

const countSchema = z.int().min(0)
const amountSchema = z.number().min(0)

/** Each step is named once, since every round checks all of them. */
const afterSchema = z.array(countSchema).transform(steps => [...new Set(steps)])

const stepSpecSchema = z.object({
	tasks: countSchema.min(1),
	demand: z.object({
		cpuMillis: amountSchema,
		memoryMb: amountSchema,
		accelerators: amountSchema
	}),
	estimateMs: amountSchema,
	after: afterSchema,
	checkpoints: z.boolean(),
	gang: z.boolean(),
	tightlyCoupled: z.boolean(),
	requiredLabel: z.string().optional(),
	dataRack: z.string().optional(),
	maxPerWorker: countSchema.optional(),
	duplicatesAllowed: z.boolean(),
	longRunning: z.boolean(),
	image: z.string().optional(),
	targetMs: amountSchema.optional(),
	usesIdleCpu: z.boolean(),
	maxUnavailable: countSchema.optional()
})

const recordSchema = z.object({
	id: z.string(),
	workspace: z.string(),
	queue: z.string(),
	isPublic: z.boolean().optional(),
	service: z.string(),
	priority: countSchema,
	maxAttempts: countSchema,
	acceptedAtWallMs: z.number(),
	spec: z.object({
		payload: z.string(),
		steps: z
			.array(stepSpecSchema)
			.min(1)
			.max(WORKFLOW_STEPS_MAX)
			.refine(
				steps => steps.reduce((sum, {tasks}) => sum + tasks, 0) <= WORKFLOW_TASKS_MAX,
				`more than ${WORKFLOW_TASKS_MAX} tasks`
			),
		schedule: z
			.object({
				firstDueWallMs: z.number(),
				intervalMs: amountSchema,
				occurrences: countSchema.max(WORKFLOW_OCCURRENCES_MAX)
			})
			.optional()
	})
})

/**
 * State in the row of a running workflow of which occurrences are done. Hosts of earlier versions would run these again, but
 * don't schedule a workflow whose state they can't read.
 */
const PARTLY_DONE = "partly-done"

const rangesSchema = z
	.array(z.tuple([countSchema, countSchema]))
	.refine(
		ranges =>
			ranges.every(([first, last], at) => first <= last && first > (ranges[at - 1]?.[1] ?? -1)),
		"not in ascending order"
	)

const stateSchema = z.object({
	workspace: z.string(),
	state: z.enum([...Object.values(WorkflowState), PARTLY_DONE]),
	done: rangesSchema.default([])
})

/** `[phase, run, failures, checkpoint, worker, incarnation, workers that it failed on]` */
const taskSchema = z.tuple([
	z.enum(["waiting", "placed", "done"]),
	countSchema,
	countSchema,
	z.string(),
	z.string(),
	z.string(),
	z.array(z.string())
])
type TaskRow = z.infer<typeof taskSchema>

const stepRowSchema = z.object({
	tasks: z.array(taskSchema),
	gangFailures: countSchema,
	gangFailedRun: countSchema
})
type StepRow = z.infer<typeof stepRowSchema>

const progressSchema = z.array(stepRowSchema)

/** What a row under `PENDING_PREFIX` says of a workflow that has no started task. */
export interface PendingRow {
	readonly queue: string
	readonly isPublic: boolean
}

const publicPendingSchema = z.object({queue: z.string(), isPublic: z.literal(true)})

export interface WorkflowStateRow {
	readonly workspace: string
	readonly state: WorkflowState
	/** Occurrences that are done; empty once the workflow has ended. */
	readonly done: readonly IndexRange[]
}

export function decodeWorkflowRecord(text: string): Result<WorkflowRecord, MalformedError> {
	// Optional fields are absent from the JSON and undefined in the record.
	return decodeJson("workflow", recordSchema, text).map(record => record as WorkflowRecord)
}

/** The row of a workflow that isn't public is the name of its queue, as in earlier versions. */
export function encodePending({queue, isPublic}: PendingRow): string {
	return isPublic ? JSON.stringify({queue, isPublic}) : queue
}

export function decodePending(text: string): PendingRow {
	return decodeJson("pending workflow", publicPendingSchema, text).unwrapOr({
		queue: text,
		isPublic: false
	})
}

export function decodeWorkflowState(text: string): Result<WorkflowStateRow, MalformedError> {
	return decodeJson("workflow state", stateSchema, text).map(({workspace, state, done}) => ({
		workspace,
		state: state === PARTLY_DONE ? WorkflowState.running : state,
		done
	}))
}

/** Once a workflow has ended, its state stands for all of its occurrences. */
export function encodeWorkflowState({record: {workspace}, state, done}: WorkflowEntry): string {
	if (isFinal(state) || done.size === 0) return JSON.stringify({workspace, state})
	return JSON.stringify({workspace, state: PARTLY_DONE, done: done.encode()})
}

/**
 * Encodes the values of the rows from which a new holder continues: the text of the first one goes on in the others.
 * Only the worker knows whether a placed run was started.
 */
export function encodeOccurrence({steps}: Occurrence): string[] {
	const whole = encodeSteps(steps, encodeTask)
	// Without them, runs start from the beginning under a new holder, and on workers that they have failed on.
	const text =
		whole.length <= PROGRESS_ROWS_MAX * ROW_BYTES_MAX
			? whole
			: encodeSteps(steps, task => encodeTask({...task, checkpoint: "", failedOn: []}))
	const values: string[] = []
	for (let start = 0; start < text.length; start += ROW_BYTES_MAX)
		values.push(text.slice(start, start + ROW_BYTES_MAX))
	return values
}

/** One character is one byte, so the text may be cut anywhere. */
function encodeSteps(
	steps: readonly StepProgress[],
	encode: (task: TaskProgress) => TaskRow
): string {
	const rows = steps.map(({tasks, gangFailures, gangFailedRun}): StepRow => {
		return {tasks: tasks.map(encode), gangFailures, gangFailedRun}
	})
	return JSON.stringify(rows).replace(/[\u0080-\uffff]/g, escapeCharacter)
}

function escapeCharacter(character: string): string {
	return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`
}

/** The rows of one occurrence in their order, or a row whose key names none. */
export interface ProgressRows {
	/** Key of the occurrence. */
	readonly key: string
	readonly rows: readonly TableRow[]
}

/** Groups the rows of progress by their occurrences. A row that continues no other one is a group of its own. */
export function groupProgressRows(rows: readonly TableRow[]): ProgressRows[] {
	const byKey = new Map(rows.map(row => [row.key, row]))
	const groups: ProgressRows[] = []
	for (const row of rows) {
		const key = row.key.slice(PROGRESS_PREFIX.length)
		const [id = "", index = "", part] = key.split(".")
		const occurrenceKey = `${id}.${index}`
		if (part !== undefined && byKey.has(formatProgressKey(occurrenceKey, 0))) continue
		const parts = [row]
		for (;;) {
			const next = byKey.get(formatProgressKey(key, parts.length))
			if (next === undefined) break
			parts.push(next)
		}
		groups.push({key, rows: parts})
	}
	return groups
}

function encodeTask(task: TaskProgress): TaskRow {
	const {phase, run, failures, checkpoint, workerId, incarnation, failedOn} = task
	if (phase === TaskPhase.done) return ["done", run, failures, "", "", "", []]
	if (phase === TaskPhase.waiting)
		return ["waiting", run, failures, checkpoint, "", "", [...failedOn]]
	return ["placed", run, failures, checkpoint, workerId, incarnation, [...failedOn]]
}

/** Restores an occurrence from its rows; runs that were placed count as started until their workers answer. */
export function restoreOccurrence(
	occurrence: Occurrence,
	tableRows: readonly TableRow[],
	now: number
): Result<void, MalformedError> {
	const text = tableRows.map(({value}) => value).join("")
	return decodeJson("progress", progressSchema, text).map(rows => {
		for (const {version} of tableRows) occurrence.rowVersions.push(version)
		for (const [index, step] of occurrence.steps.entries()) {
			const row = rows[index]
			if (row === undefined) continue
			step.gangFailures = row.gangFailures
			step.gangFailedRun = row.gangFailedRun
			for (const [taskIndex, task] of step.tasks.entries()) {
				const taskRow = row.tasks[taskIndex]
				if (taskRow !== undefined) restoreTask(task, taskRow, now)
			}
		}
	})
}

function restoreTask(task: TaskProgress, row: TaskRow, now: number): void {
	const [phase, run, failures, checkpoint, workerId, incarnation, failedOn] = row
	const phases = {
		waiting: TaskPhase.waiting,
		placed: TaskPhase.starting,
		done: TaskPhase.done
	} as const
	task.phase = phases[phase]
	task.run = run
	task.failures = failures
	task.checkpoint = checkpoint
	task.workerId = workerId
	task.incarnation = incarnation
	task.orderedAt = now
	// An earlier holder's start command may have been executed at any time up to now.
	task.acknowledgedAt = phase === "placed" ? now : undefined
	task.progressAt = now
	task.startedAt = now
	task.startPercent = 0
	task.released = findEarlierRelease(phase === "waiting" ? run : run - 1, now)
	for (const id of failedOn) recordFailedWorker(task, id)
}

function findEarlierRelease(run: number, now: number): ReleasedRun | undefined {
	if (run === 0) return undefined
	const proof = {place: "earlier-holder", evidence: EndEvidence.earlierTerm, ageMs: 0}
	return {run, workerId: "", epoch: 0, proof, releasedAt: now, isContradicted: false}
}

/** Logs a row that can't be read. */
export function recordMalformedRow(board: Board, {key, version}: TableRow, detail: string): void {
	const fields = {key, version, detail}
	board.record(EventLevel.warn, "workflow-row-malformed", fields, ReasonCode.malformed)
}
