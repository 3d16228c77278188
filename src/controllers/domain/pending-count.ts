/**
 * Answers requests for the number of a queue's workflows that have not begun. Concurrent requests share one read of the
 * platform's table, and its counts are cached for PENDING_COUNT_AGE_MS.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type CountRequest,
	type PendingRow,
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
	decodePending,
	issueTableScan
} from "../../internal.js"

interface Counts {
	readonly readAt: number
	/** By queue. */
	readonly all: ReadonlyMap<string, number>
	readonly publicOnly: ReadonlyMap<string, number>
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
		const rows = result.value.map(({value}) => decodePending(value))
		this.#counts = {
			readAt: command.issuedAt,
			all: countByQueue(rows),
			publicOnly: countByQueue(rows.filter(({isPublic}) => isPublic))
		}
		replyAll(board, this.#counts)
	}
}

function takeAll(board: Board): [string, CountRequest][] {
	const taken = [...board.countRequests.entries()]
	for (const [id] of taken) board.countRequests.take(id)
	return taken
}

function countByQueue(rows: readonly PendingRow[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>()
	for (const {queue} of rows) counts.set(queue, (counts.get(queue) ?? 0) + 1)
	return counts
}

function replyAll(board: Board, {all, publicOnly}: Counts): void {
	for (const [id, {queue, isPublicOnly}] of takeAll(board)) {
		const count = (isPublicOnly ? publicOnly : all).get(queue) ?? 0
		board.replies.set(id, {kind: ReplyKind.pending, count})
	}
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
