/**
 * Answers callers of a domain's queues on every host. A workflow is accepted by a commit that succeeds only if its id
 * is new, so a caller may retry at any host. A refusal says "not run" only if no commit was sent or the platform
 * reported that it had no effect. Otherwise the commit is retried, and at the deadline the caller is told that the
 * outcome is unknown.
 */
import {
	type Board,
	type CatalogEntry,
	type Completion,
	type Controller,
	type IntakeOperation,
	type QueueConfig,
	type RowWrite,
	type TableRow,
	type WorkflowRequest,
	ANY_VERSION,
	CommandKind,
	EventLevel,
	FULL_RETRY_AFTER_MS,
	INTAKE_REFUSED_RETRIES,
	ROW_BYTES_MAX,
	RanState,
	ReasonCode,
	RefusedError,
	ReplyKind,
	RequestKind,
	SectionName,
	TombstoneQuota,
	WorkflowAction,
	WorkflowRowKind,
	WorkflowState,
	buildRefusal,
	buildTombstones,
	buildWorkflowRecord,
	checkAccess,
	computeCallTimeout,
	computeGiveUpAt,
	computeRetryAfter,
	decodeWorkflowState,
	encodePending,
	findNewWorkRefusal,
	findQueue,
	findWorkspace,
	formatCancelKey,
	formatPendingKey,
	formatTombstoneKeyFor,
	formatWorkflowKey,
	isCatalogStale,
	isFinal,
	isPlatformLost,
	isRecordFor,
	issueTableCommit,
	issueTableScan,
	mayIntakeWrite,
	mayRepeat,
	mayUse,
	parseWorkflowKey,
	recordIntakeAnswer,
	scheduleIntakeRetry
} from "../../internal.js"

const ID_PATTERN = /^[0-9a-f]{16}$/

export class WorkflowIntakeController implements Controller {
	readonly name = "workflow-intake"
	readonly reads = [SectionName.requests, SectionName.completions]
	readonly #readWallClock: () => number
	readonly #operations = new Map<string, IntakeOperation>()
	readonly #tombstoneQuota = new TombstoneQuota()

	constructor(readWallClock: () => number) {
		this.#readWallClock = readWallClock
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const [id, request] of [...board.requests.entries()]) {
			if (request.kind !== RequestKind.workflow) continue
			board.requests.take(id)
			this.#handleRequest(board, request, now)
		}
		let earliest = Infinity
		for (const operation of [...this.#operations.values()]) {
			const giveUpAt = computeGiveUpAt(operation)
			if (now >= giveUpAt) this.#giveUp(board, operation, now)
			else if (operation.retryAt !== undefined && now >= operation.retryAt)
				this.#send(board, operation, now)
			earliest = Math.min(earliest, operation.retryAt ?? Infinity, giveUpAt)
		}
		return this.#operations.size > 0 ? Math.max(earliest, now + 1) : undefined
	}

	#handleRequest(board: Board, request: WorkflowRequest, now: number): void {
		const entry = board.catalog.get("current")
		if (entry === undefined) {
			this.#refuse(board, request, ReasonCode.noBundle, "no configuration has been read yet", now)
			return
		}
		const found = findQueue(entry.catalog, request.host, request.path)
		const refusal =
			found === undefined ? undefined : checkAccess(board, entry, request.key, found.queue, now)
		if (found === undefined && isCatalogStale(entry, now))
			this.#refuseStale(board, request, entry, now)
		else if (found === undefined)
			this.#refuse(board, request, ReasonCode.notFound, `no queue at path "${request.path}"`, now)
		else if (refusal?.reason === ReasonCode.platformUnavailable)
			this.#refuseStale(board, request, entry, now)
		else if (refusal !== undefined)
			this.#refuse(board, request, refusal.reason, refusal.detail, now)
		else this.#admit(board, request, entry, found.queue, found.rest, now)
	}

	#admit(
		board: Board,
		request: WorkflowRequest,
		entry: CatalogEntry,
		queue: QueueConfig,
		rest: string,
		now: number
	): void {
		const {catalog, evidenceAt, failedPolls} = entry
		const {key, spec} = request
		if (isPlatformLost(entry)) {
			const detail = `the last ${failedPolls} polls of the platform failed`
			this.#refuse(board, request, ReasonCode.platformUnavailable, detail, now)
			return
		}
		const action =
			request.action === WorkflowAction.get && rest === ""
				? WorkflowAction.countPending
				: request.action
		const access = findWorkspace(catalog, key)
		const caller = {queue, workspace: access?.name}
		if (action === WorkflowAction.countPending) {
			board.countRequests.set(request.id, {
				queue: queue.name,
				isPublicOnly: queue.isPublic,
				arrivedAt: request.arrivedAt
			})
			return
		}
		if (action === undefined || !ID_PATTERN.test(rest)) {
			this.#refuse(
				board,
				request,
				ReasonCode.notFound,
				`unknown action, or "${rest}" is not a workflow id of 16 lowercase hexadecimal digits`,
				now
			)
			return
		}
		if (action === WorkflowAction.submit && spec?.isErr() === true) {
			this.#refuse(board, request, ReasonCode.malformed, spec.error.message, now)
			return
		}
		// During an outage the outcome of a commit would be unknown; a refusal before it is definite.
		if (action !== WorkflowAction.get && isCatalogStale(entry, now)) {
			this.#refuseStale(board, request, entry, now)
			return
		}
		if (action === WorkflowAction.submit && spec?.isOk() === true) {
			const record = buildWorkflowRecord(rest, caller, spec.value, this.#readWallClock())
			const bytes = Buffer.byteLength(JSON.stringify(record))
			if (bytes > ROW_BYTES_MAX) {
				const detail = `the workflow takes ${bytes} bytes in the platform's table, which stores up to ${ROW_BYTES_MAX}`
				this.#refuse(board, request, ReasonCode.malformed, detail, now)
				return
			}
		}
		const operation: IntakeOperation = {
			request,
			action,
			caller,
			workflowId: rest,
			catalogVersion: catalog.version,
			evidenceAgeMs: Math.round(now - evidenceAt),
			refusalIfNew: findNewWorkRefusal(board, request, access, queue),
			mayHaveTakenEffect: false,
			isCharged: false,
			isDenying: false,
			refusals: 0,
			retries: 0,
			commandId: undefined,
			retryAt: undefined
		}
		this.#operations.set(request.id, operation)
		this.#send(board, operation, now)
	}

	#send(board: Board, operation: IntakeOperation, now: number): void {
		operation.retryAt = undefined
		operation.isDenying = false
		if (operation.action === WorkflowAction.submit && operation.refusalIfNew === undefined) {
			const writes = this.#buildRows(operation)
			if (writes !== undefined) this.#commit(board, operation, writes, now)
			return
		}
		const prefix = formatWorkflowKey(operation.workflowId)
		const timeoutMs = computeCallTimeout(operation, now)
		const {id} = operation.request
		operation.commandId = issueTableScan(board, this.name, id, prefix, now, timeoutMs)
	}

	#commit(
		board: Board,
		operation: IntakeOperation,
		writes: readonly RowWrite[],
		now: number
	): void {
		const timeoutMs = computeCallTimeout(operation, now)
		const {id} = operation.request
		operation.commandId = issueTableCommit(board, this.name, id, writes, now, timeoutMs)
	}

	#buildRows({request, caller, workflowId}: IntakeOperation): RowWrite[] | undefined {
		if (request.spec?.isOk() !== true) return undefined
		const {value: spec} = request.spec
		const {name, isPublic} = caller.queue
		const record = buildWorkflowRecord(workflowId, caller, spec, this.#readWallClock())
		const pending = encodePending({queue: name, isPublic})
		return [
			{key: formatTombstoneKeyFor(caller, workflowId), ifVersion: 0, value: undefined},
			{key: formatWorkflowKey(workflowId), ifVersion: 0, value: JSON.stringify(record)},
			{key: formatPendingKey(workflowId), ifVersion: ANY_VERSION, value: pending}
		]
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const {command, result} = completion
		const operation = this.#operations.get(command.subject)
		if (operation?.commandId !== command.id) return
		operation.commandId = undefined
		if (result.isErr()) {
			this.#retry(board, operation, result.error, now)
			return
		}
		if (command.kind === CommandKind.tableScan)
			this.#settleRead(board, operation, (completion as Completion<"table-scan">).result, now)
		else
			this.#settleCommit(board, operation, (completion as Completion<"table-commit">).result, now)
	}

	/** A refusal by the platform means that nothing was done; after any other error a commit may still take effect. */
	#retry(board: Board, operation: IntakeOperation, error: Error, now: number): void {
		const isRefused = error instanceof RefusedError
		if (!isRefused && mayIntakeWrite(operation)) operation.mayHaveTakenEffect = true
		if (isRefused) operation.refusals++
		const fields = {workflow: operation.workflowId, action: operation.action, detail: error.message}
		board.record(
			EventLevel.info,
			"intake-retry",
			fields,
			isRefused ? ReasonCode.platformUnavailable : ReasonCode.answerLost
		)
		if (operation.refusals > INTAKE_REFUSED_RETRIES && !operation.mayHaveTakenEffect)
			this.#giveUp(board, operation, now)
		else scheduleIntakeRetry(operation, now)
	}

	#settleCommit(
		board: Board,
		operation: IntakeOperation,
		result: Completion<"table-commit">["result"],
		now: number
	): void {
		if (result.isErr()) return
		const {isDenying, workflowId, caller} = operation
		if (result.value.committed) {
			if (isDenying) this.#replyUnknown(board, operation, now)
			else this.#replyState(board, operation, WorkflowState.queued, now)
			return
		}
		const existing = new Map(
			result.value.conflicts.filter(({version}) => version > 0).map(row => [row.key, row])
		)
		if (operation.action === WorkflowAction.cancel) {
			const isCancelled = existing.has(formatCancelKey(workflowId))
			if (isCancelled) this.#replyState(board, operation, WorkflowState.cancelled, now)
			else this.#send(board, operation, now)
			return
		}
		const record = existing.get(formatWorkflowKey(workflowId))
		if (record !== undefined) this.#replyAccepted(board, operation, record, now)
		else if (existing.has(formatTombstoneKeyFor(caller, workflowId)))
			this.#replyCancelled(board, operation, now)
		else scheduleIntakeRetry(operation, now)
	}

	/** Answers a submission whose id is known. */
	#replyAccepted(board: Board, operation: IntakeOperation, record: TableRow, now: number): void {
		if (isRecordFor(mayRepeat, operation, record))
			this.#replyState(board, operation, WorkflowState.queued, now)
		else {
			const detail = `workflow id ${operation.workflowId} is already used by another workspace`
			this.#finish(board, operation, ReasonCode.keyConflict, RanState.no, detail, now)
		}
	}

	#settleRead(
		board: Board,
		operation: IntakeOperation,
		result: Completion<"table-scan">["result"],
		now: number
	): void {
		if (result.isErr()) return
		const rows = new Map(result.value.map(row => [parseWorkflowKey(row.key).kind, row]))
		const record = rows.get(WorkflowRowKind.record)
		if (operation.action === WorkflowAction.submit) {
			const {refusalIfNew, caller, workflowId} = operation
			const tombstoneKey = formatTombstoneKeyFor(caller, workflowId)
			if (record !== undefined) this.#replyAccepted(board, operation, record, now)
			else if (result.value.some(({key}) => key === tombstoneKey))
				this.#replyCancelled(board, operation, now)
			else if (refusalIfNew !== undefined)
				this.#finish(board, operation, refusalIfNew.reason, RanState.no, refusalIfNew.detail, now)
			return
		}
		if (record === undefined || !isRecordFor(mayUse, operation, record)) {
			if (operation.action === WorkflowAction.cancel)
				this.#writeTombstones(board, operation, result.value, now)
			else this.#replyUnknown(board, operation, now)
			return
		}
		const state = readState(rows.get(WorkflowRowKind.state))
		if (state === undefined) {
			const detail = `the state of workflow ${operation.workflowId} can't be read`
			this.#finish(board, operation, ReasonCode.platformUnavailable, RanState.unknown, detail, now)
			return
		}
		const isCancelled = rows.has(WorkflowRowKind.cancel)
		if (operation.action === WorkflowAction.get || isFinal(state) || isCancelled) {
			this.#replyState(board, operation, state, now)
			return
		}
		const writes = [
			{key: record.key, ifVersion: record.version, value: undefined},
			{key: formatCancelKey(operation.workflowId), ifVersion: 0, value: ""}
		]
		this.#commit(board, operation, writes, now)
	}

	#writeTombstones(
		board: Board,
		operation: IntakeOperation,
		rows: readonly TableRow[],
		now: number
	): void {
		const {caller, workflowId} = operation
		operation.isCharged ||= this.#tombstoneQuota.take(caller, now)
		if (!operation.isCharged) {
			const detail = "too many cancellations of unknown workflows"
			this.#finish(board, operation, ReasonCode.queueFull, RanState.no, detail, now)
			return
		}
		operation.isDenying = true
		this.#commit(board, operation, buildTombstones(caller, workflowId, rows), now)
	}

	/** To a question this is true of the moment at which the table was read; after a cancellation it stays true. */
	#replyUnknown(board: Board, operation: IntakeOperation, now: number): void {
		const detail = `workflow ${operation.workflowId} does not exist`
		this.#finish(board, operation, ReasonCode.unknownWorkflow, RanState.unknown, detail, now)
	}

	#replyCancelled(board: Board, operation: IntakeOperation, now: number): void {
		const detail = `workflow ${operation.workflowId} was cancelled before it was accepted`
		this.#finish(board, operation, ReasonCode.cancelled, RanState.no, detail, now)
	}

	#replyState(board: Board, operation: IntakeOperation, state: WorkflowState, now: number): void {
		this.#operations.delete(operation.request.id)
		board.replies.set(operation.request.id, {kind: ReplyKind.workflow, state})
		recordIntakeAnswer(board, operation, state, now)
	}

	#giveUp(board: Board, operation: IntakeOperation, now: number): void {
		// A commit in flight may take effect after the caller has its reply.
		const isWriting = operation.commandId !== undefined && mayIntakeWrite(operation)
		if (operation.mayHaveTakenEffect || isWriting) {
			const detail = "the platform's table did not answer"
			this.#finish(board, operation, ReasonCode.answerLost, RanState.unknown, detail, now)
			return
		}
		const detail = "the platform's table is not available"
		this.#finish(board, operation, ReasonCode.platformUnavailable, RanState.no, detail, now)
	}

	#finish(
		board: Board,
		operation: IntakeOperation,
		reason: ReasonCode,
		ran: RanState,
		detail: string,
		now: number
	): void {
		this.#operations.delete(operation.request.id)
		recordIntakeAnswer(board, operation, reason, now)
		const retryAfterMs =
			reason === ReasonCode.queueFull ? FULL_RETRY_AFTER_MS : computeRetryAfter(operation.action)
		const refusal = {...buildRefusal(reason, ran, detail, operation.workflowId), retryAfterMs}
		board.replies.set(operation.request.id, {kind: ReplyKind.refused, refusal})
	}

	#refuseStale(
		board: Board,
		request: WorkflowRequest,
		{evidenceAt}: CatalogEntry,
		now: number
	): void {
		const detail = `the configuration was last confirmed ${Math.round(now - evidenceAt)} ms ago`
		this.#refuse(board, request, ReasonCode.platformUnavailable, detail, now)
	}

	/** Refuses before anything was sent to the platform. */
	#refuse(
		board: Board,
		{id, path, host, action, arrivedAt}: WorkflowRequest,
		reason: ReasonCode,
		detail: string,
		now: number
	): void {
		const retryAfterMs = computeRetryAfter(action)
		const refusal = {...buildRefusal(reason, RanState.no, detail), retryAfterMs}
		board.replies.set(id, {kind: ReplyKind.refused, refusal})
		const version = board.catalog.get("current")?.catalog.version
		const fields = {
			queueHost: host,
			path,
			action,
			version,
			ageMs: Math.round(now - arrivedAt),
			detail
		}
		board.record(EventLevel.info, "request-refused", fields, reason)
	}
}

/** Undefined if the row is malformed. */
function readState(row: TableRow | undefined): WorkflowState | undefined {
	if (row === undefined) return WorkflowState.queued
	return decodeWorkflowState(row.value).match(
		({state}) => state,
		() => undefined
	)
}
