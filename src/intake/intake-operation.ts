/**
 * A caller's request while calls to the platform's table are made for it: how long they are made, what they may have done and
 * what is recorded of the answer.
 */
import {
	type Board,
	type QueueConfig,
	type RecordOwner,
	type TableRow,
	type WorkflowCaller,
	type WorkflowRecord,
	type WorkflowRequest,
	type WorkflowSpec,
	type WorkspaceAccess,
	EventLevel,
	INTAKE_CALL_TIMEOUT_MS,
	INTAKE_MARGIN_MS,
	INTAKE_REPEATED_MAX_MS,
	INTAKE_RETRY_DELAY_MS,
	PLATFORM_RETRY_AFTER_MS,
	ReasonCode,
	WorkflowAction,
	decodeRecordOwner,
	describeExcess,
	formatIntakePair
} from "../internal.js"

export interface NewWorkRefusal {
	readonly reason: ReasonCode
	readonly detail: string
}

/** A caller's request while calls to the platform's table are made for it. */
export interface IntakeOperation {
	readonly request: WorkflowRequest
	readonly action: WorkflowAction
	readonly caller: WorkflowCaller
	readonly workflowId: string
	readonly catalogVersion: number
	readonly evidenceAgeMs: number
	/** Why the submission is refused unless it was accepted before; undefined if it may be accepted. */
	readonly refusalIfNew: NewWorkRefusal | undefined
	/** True once a commit was sent that may still take effect. */
	mayHaveTakenEffect: boolean
	/** True once the caller's quota has been charged for the operation's tombstones. */
	isCharged: boolean
	/** True while the commit in flight writes tombstones. */
	isDenying: boolean
	refusals: number
	retries: number
	commandId: string | undefined
	retryAt: number | undefined
}

export function buildWorkflowRecord(
	id: string,
	{queue, workspace = ""}: WorkflowCaller,
	spec: WorkflowSpec,
	acceptedAtWallMs: number
): WorkflowRecord {
	const {name, isPublic, service, priority, maxAttempts} = queue
	return {
		id,
		workspace,
		queue: name,
		isPublic,
		service,
		priority,
		maxAttempts,
		acceptedAtWallMs,
		spec
	}
}

export function computeGiveUpAt({request}: IntakeOperation): number {
	const replyTimeoutMs = Math.min(request.replyTimeoutMs, INTAKE_REPEATED_MAX_MS)
	return request.arrivedAt + Math.max(INTAKE_MARGIN_MS, replyTimeoutMs - INTAKE_MARGIN_MS)
}

export function scheduleIntakeRetry(operation: IntakeOperation, now: number): void {
	operation.retryAt = now + INTAKE_RETRY_DELAY_MS * 2 ** operation.retries++
}

/** Deadline of the next call for the operation. */
export function computeCallTimeout(operation: IntakeOperation, now: number): number {
	return Math.max(1, Math.min(INTAKE_CALL_TIMEOUT_MS, computeGiveUpAt(operation) - now))
}

/**
 * A question is best repeated at another host at once. A submission or cancellation is repeated later, so that the few
 * repetitions that a caller makes outlast a short outage of the whole platform.
 */
export function computeRetryAfter(action: WorkflowAction | undefined): number {
	return action === WorkflowAction.get ? 0 : PLATFORM_RETRY_AFTER_MS
}

/**
 * Why the workspace may not hand in this work: it never fits into its cap, or the queue is closed to it for now, since it waits
 * for its own work, so that a repetition is of use only once some of it has ended.
 */
export function findNewWorkRefusal(
	{intakeLimits}: Board,
	{action, spec}: WorkflowRequest,
	access: WorkspaceAccess | undefined,
	{name}: QueueConfig
): NewWorkRefusal | undefined {
	if (action !== WorkflowAction.submit) return undefined
	const excess =
		access === undefined || spec?.isOk() !== true ? undefined : describeExcess(spec.value, access)
	if (excess !== undefined) return {reason: ReasonCode.overQuota, detail: excess}
	const workspace = access?.name ?? ""
	const isClosed = intakeLimits.get("current")?.closed.has(formatIntakePair(workspace, name))
	if (isClosed !== true) return undefined
	const detail = `the unfinished work of workspace "${workspace}" in queue "${name}" takes all of its share`
	return {reason: ReasonCode.queueFull, detail}
}

/** True if its calls to the table may have an effect. */
export function mayIntakeWrite({action, refusalIfNew}: IntakeOperation): boolean {
	const isAccepting = action === WorkflowAction.submit && refusalIfNew === undefined
	return action === WorkflowAction.cancel || isAccepting
}

/** False if the record is malformed: it names no owner. */
export function isRecordFor(
	isAllowed: (caller: WorkflowCaller, owner: RecordOwner) => boolean,
	{caller}: IntakeOperation,
	{value}: TableRow
): boolean {
	return decodeRecordOwner(value).match(
		owner => isAllowed(caller, owner),
		() => false
	)
}

export function recordIntakeAnswer(
	board: Board,
	operation: IntakeOperation,
	outcome: string,
	now: number
): void {
	const {request, workflowId, action, caller, catalogVersion, evidenceAgeMs} = operation
	// Callers poll states all the time, so these answers are counted, but logged only at debug level.
	const level = action === WorkflowAction.get ? EventLevel.debug : EventLevel.info
	board.record(level, "request-answered", {
		workflow: workflowId,
		action,
		queue: caller.queue.name,
		workspace: caller.workspace ?? "",
		outcome,
		catalogVersion,
		evidenceAgeMs,
		tookMs: Math.round(now - request.arrivedAt)
	})
}
