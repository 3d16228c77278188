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
	type QueueConfig,
	type RowWrite,
	type TableRow,
	type WorkflowRecord,
	type WorkflowRequest,
	CommandKind,
	EventLevel,
	INTAKE_CALL_TIMEOUT_MS,
	INTAKE_MARGIN_MS,
	INTAKE_REFUSED_RETRIES,
	INTAKE_RETRY_DELAY_MS,
	PLATFORM_RETRY_AFTER_MS,
	RanState,
	ReasonCode,
	RefusedError,
	ReplyKind,
	RequestKind,
	SectionName,
	WorkflowAction,
	WorkflowRowKind,
	WorkflowState,
	buildRefusal,
	checkAccess,
	findQueue,
	findWorkspace,
	formatCancelKey,
	formatPendingKey,
	formatWorkflowKey,
	isCatalogStale,
	isFinal,
	issueTableCommit,
	issueTableScan,
	parseWorkflowKey
} from "../internal.js"

const ID_PATTERN = /^[0-9a-f]{16}$/

/** A caller's request while calls to the platform's table are made for it. */
interface Work {
	readonly request: WorkflowRequest
	readonly action: WorkflowAction
	readonly queue: QueueConfig
	/** Empty for a public queue. */
	readonly workspace: string
	readonly workflowId: string
	readonly catalogVersion: number
	readonly evidenceAgeMs: number
	/** True once a commit was sent that may still take effect. */
	isOpen: boolean
	refused: number
	retries: number
	commandId: string | undefined
	retryAt: number | undefined
}

export class WorkflowIntakeController implements Controller {
	readonly name = "workflow-intake"
	readonly reads = [SectionName.requests, SectionName.completions]
	readonly #readWallClock: () => number
	readonly #works = new Map<string, Work>()

	constructor(readWallClock: () => number) {
		this.#readWallClock = readWallClock
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const [id, request] of [...board.requests.entries()]) {
			if (request.kind !== RequestKind.workflow) continue
			board.requests.take(id)
			this.#takeUp(board, request, now)
		}
		let earliest = Infinity
		for (const work of [...this.#works.values()]) {
			const giveUpAt = computeGiveUpAt(work)
			if (now >= giveUpAt) this.#giveUp(board, work, now)
			else if (work.retryAt !== undefined && now >= work.retryAt) this.#send(board, work, now)
			earliest = Math.min(earliest, work.retryAt ?? Infinity, giveUpAt)
		}
		return this.#works.size > 0 ? Math.max(earliest, now + 1) : undefined
	}

	#takeUp(board: Board, request: WorkflowRequest, now: number): void {
		const entry = board.catalog.get("current")
		if (entry === undefined) {
			this.#refuse(board, request, ReasonCode.noBundle, "no configuration has been read yet", now)
			return
		}
		const found = findQueue(entry.catalog, request.host, request.path)
		const refusal =
			found === undefined ? undefined : checkAccess(board, request.key, found.queue, now)
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
		const {catalog, evidenceAt} = entry
		const {key, spec} = request
		const action =
			request.action === WorkflowAction.get && rest === ""
				? WorkflowAction.countPending
				: request.action
		const workspace = findWorkspace(catalog, key)?.name ?? ""
		if (action === WorkflowAction.countPending) {
			board.countRequests.set(request.id, {queue: queue.name, arrivedAt: request.arrivedAt})
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
		const work: Work = {
			request,
			action,
			queue,
			workspace,
			workflowId: rest,
			catalogVersion: catalog.version,
			evidenceAgeMs: Math.round(now - evidenceAt),
			isOpen: false,
			refused: 0,
			retries: 0,
			commandId: undefined,
			retryAt: undefined
		}
		this.#works.set(request.id, work)
		this.#send(board, work, now)
	}

	#send(board: Board, work: Work, now: number): void {
		work.retryAt = undefined
		const left = computeGiveUpAt(work) - now
		const timeoutMs = Math.max(1, Math.min(INTAKE_CALL_TIMEOUT_MS, left))
		const {id} = work.request
		if (work.action === WorkflowAction.submit) {
			const writes = this.#buildAcceptance(work)
			if (writes === undefined) return
			work.commandId = issueTableCommit(board, this.name, id, writes, now, timeoutMs)
		} else {
			const prefix = formatWorkflowKey(work.workflowId)
			work.commandId = issueTableScan(board, this.name, id, prefix, now, timeoutMs)
		}
	}

	#buildAcceptance({request, queue, workspace, workflowId}: Work): RowWrite[] | undefined {
		if (request.spec?.isOk() !== true) return undefined
		const record: WorkflowRecord = {
			id: workflowId,
			workspace,
			queue: queue.name,
			service: queue.service,
			priority: queue.priority,
			maxAttempts: queue.maxAttempts,
			acceptedAtWallMs: this.#readWallClock(),
			spec: request.spec.value
		}
		return [
			{key: formatWorkflowKey(workflowId), ifVersion: 0, value: JSON.stringify(record)},
			{key: formatPendingKey(workflowId), ifVersion: 0, value: queue.name}
		]
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const {command, result} = completion
		const work = this.#works.get(command.subject)
		if (work?.commandId !== command.id) return
		work.commandId = undefined
		if (result.isErr()) {
			this.#retry(board, work, result.error, now)
			return
		}
		if (command.kind === CommandKind.tableScan)
			this.#settleRead(board, work, (completion as Completion<"table-scan">).result, now)
		else this.#settleCommit(board, work, (completion as Completion<"table-commit">).result, now)
	}

	/** A refusal by the platform means that nothing was done; after any other error a commit may still take effect. */
	#retry(board: Board, work: Work, error: Error, now: number): void {
		const isRefused = error instanceof RefusedError
		const isWrite = work.action === WorkflowAction.submit || work.action === WorkflowAction.cancel
		if (!isRefused && isWrite) work.isOpen = true
		if (isRefused) work.refused++
		const fields = {workflow: work.workflowId, action: work.action, detail: error.message}
		board.record(
			EventLevel.info,
			"intake-retry",
			fields,
			isRefused ? ReasonCode.platformUnavailable : ReasonCode.answerLost
		)
		if (work.refused > INTAKE_REFUSED_RETRIES && !work.isOpen) this.#giveUp(board, work, now)
		else work.retryAt = now + INTAKE_RETRY_DELAY_MS * 2 ** work.retries++
	}

	#settleCommit(
		board: Board,
		work: Work,
		result: Completion<"table-commit">["result"],
		now: number
	): void {
		if (result.isErr()) return
		if (result.value.committed) {
			this.#replyState(board, work, WorkflowState.queued, now)
			return
		}
		if (work.action === WorkflowAction.cancel) {
			this.#replyState(board, work, WorkflowState.cancelled, now)
			return
		}
		const key = formatWorkflowKey(work.workflowId)
		const existing = result.value.conflicts.find(row => row.key === key && row.version > 0)
		if (existing === undefined || isOwn(work, existing))
			this.#replyState(board, work, WorkflowState.queued, now)
		else {
			const detail = `workflow id ${work.workflowId} is already used by another workspace`
			this.#finish(board, work, ReasonCode.keyConflict, RanState.no, detail, now)
		}
	}

	#settleRead(
		board: Board,
		work: Work,
		result: Completion<"table-scan">["result"],
		now: number
	): void {
		if (result.isErr()) return
		const rows = new Map(result.value.map(row => [parseWorkflowKey(row.key).kind, row]))
		const record = rows.get(WorkflowRowKind.record)
		if (record === undefined || !isOwn(work, record)) {
			const detail = `workflow ${work.workflowId} does not exist`
			this.#finish(board, work, ReasonCode.unknownWorkflow, RanState.unknown, detail, now)
			return
		}
		const stateRow = rows.get(WorkflowRowKind.state)
		const state =
			stateRow === undefined
				? WorkflowState.queued
				: (JSON.parse(stateRow.value) as {state: WorkflowState}).state
		const isCancelled = rows.has(WorkflowRowKind.cancel)
		if (work.action === WorkflowAction.get || isFinal(state) || isCancelled) {
			this.#replyState(board, work, state, now)
			return
		}
		const write = {key: formatCancelKey(work.workflowId), ifVersion: 0, value: ""}
		work.commandId = issueTableCommit(
			board,
			this.name,
			work.request.id,
			[write],
			now,
			INTAKE_CALL_TIMEOUT_MS
		)
	}

	#replyState(board: Board, work: Work, state: WorkflowState, now: number): void {
		this.#works.delete(work.request.id)
		board.replies.set(work.request.id, {kind: ReplyKind.workflow, state})
		noteWork(board, work, state, now)
	}

	#giveUp(board: Board, work: Work, now: number): void {
		// A commit in flight may take effect after the caller has its reply.
		const isWriting = work.commandId !== undefined && work.action !== WorkflowAction.get
		if (work.isOpen || isWriting) {
			const detail = "the platform's table did not answer"
			this.#finish(board, work, ReasonCode.answerLost, RanState.unknown, detail, now)
			return
		}
		const detail = "the platform's table is not available"
		this.#finish(board, work, ReasonCode.platformUnavailable, RanState.no, detail, now)
	}

	#finish(
		board: Board,
		work: Work,
		reason: ReasonCode,
		ran: RanState,
		detail: string,
		now: number
	): void {
		this.#works.delete(work.request.id)
		noteWork(board, work, reason, now)
		const retryAfterMs = PLATFORM_RETRY_AFTER_MS
		const refusal = {...buildRefusal(reason, ran, detail, work.workflowId), retryAfterMs}
		board.replies.set(work.request.id, {kind: ReplyKind.refused, refusal})
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
		const retryAfterMs = PLATFORM_RETRY_AFTER_MS
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

function computeGiveUpAt({request}: Work): number {
	return request.arrivedAt + Math.max(INTAKE_MARGIN_MS, request.replyTimeoutMs - INTAKE_MARGIN_MS)
}

function isOwn({workspace, queue}: Work, row: TableRow): boolean {
	if (queue.isPublic) return true
	return (JSON.parse(row.value) as WorkflowRecord).workspace === workspace
}

function noteWork(board: Board, work: Work, outcome: string, now: number): void {
	const {request, workflowId, action, queue, workspace, catalogVersion, evidenceAgeMs} = work
	// Callers poll states all the time, so these answers are logged only at debug level.
	const level = action === WorkflowAction.get ? EventLevel.debug : EventLevel.info
	board.record(level, "request-answered", {
		workflow: workflowId,
		action,
		queue: queue.name,
		workspace,
		outcome,
		catalogVersion,
		evidenceAgeMs,
		tookMs: Math.round(now - request.arrivedAt)
	})
}
