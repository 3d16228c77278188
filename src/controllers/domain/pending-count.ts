/**
 * Answers requests for the number of a queue's workflows that have not begun. Concurrent requests share one read of the
 * platform's table, and its counts are cached for PENDING_COUNT_AGE_MS.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type CountRequest,
	EventLevel,
	INTAKE_CALL_TIMEOUT_MS,
	PENDING_COUNT_AGE_MS,
	PENDING_PREFIX,
	PLATFORM_RETRY_AFTER_MS,
	RanState,
	ReasonCode,
	ReplyKind,
	SectionName,
	buildRefusal,
	issueTableScan
} from "../../internal.js"

interface Counts {
	readonly readAt: number
	readonly byQueue: ReadonlyMap<string, number>
}

export class PendingCountController implements Controller {
	readonly name = "pending-count"
	readonly reads = [SectionName.countRequests, SectionName.completions]
	#counts: Counts | undefined
	#isReading = false

	step(board: Board, now: number): undefined {
		for (const completion of board.takeCompletions(this.name))
			this.#settle(board, completion as Completion<"table-scan">, now)
		if (board.countRequests.size === 0) return
		if (this.#counts !== undefined && now - this.#counts.readAt < PENDING_COUNT_AGE_MS)
			replyAll(board, this.#counts)
		else if (!this.#isReading) {
			this.#isReading = true
			issueTableScan(board, this.name, "", PENDING_PREFIX, now, INTAKE_CALL_TIMEOUT_MS)
		}
	}

	#settle(board: Board, {command, result}: Completion<"table-scan">, now: number): void {
		this.#isReading = false
		if (result.isErr()) {
			refuseAll(board, result.error.message, now)
			return
		}
		const byQueue = new Map<string, number>()
		for (const {value} of result.value) byQueue.set(value, (byQueue.get(value) ?? 0) + 1)
		this.#counts = {readAt: command.issuedAt, byQueue}
		replyAll(board, this.#counts)
	}
}

function takeAll(board: Board): [string, CountRequest][] {
	const taken = [...board.countRequests.entries()]
	for (const [id] of taken) board.countRequests.take(id)
	return taken
}

function replyAll(board: Board, {byQueue}: Counts): void {
	for (const [id, {queue}] of takeAll(board))
		board.replies.set(id, {kind: ReplyKind.pending, count: byQueue.get(queue) ?? 0})
}

function refuseAll(board: Board, detail: string, now: number): void {
	const reason = ReasonCode.platformUnavailable
	for (const [id, {queue, arrivedAt}] of takeAll(board)) {
		const refusal = {
			...buildRefusal(reason, RanState.no, "the platform's table is not available"),
			retryAfterMs: PLATFORM_RETRY_AFTER_MS
		}
		board.replies.set(id, {kind: ReplyKind.refused, refusal})
		const fields = {queue, action: "count-pending", ageMs: Math.round(now - arrivedAt), detail}
		board.record(EventLevel.info, "request-refused", fields, reason)
	}
}
