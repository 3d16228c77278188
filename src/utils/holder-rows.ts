/**
 * How a host reads the rows of its zone's holder. A domain's hosts follow the rows by a long poll, so that all of them
 * see each renewal when it is written, and know when the lease ends however their reads fall. The table of the product's
 * own zones has no long poll; their hosts read it at intervals.
 */
import {
	type Board,
	type Command,
	type Completion,
	type TableRow,
	AUTHORITY_TIMEOUT_MS,
	HOLDER_FOLLOW_INTERVAL_MIN_MS,
	HOLDER_READ_TIMEOUT_MS,
	HOLDER_RENEW_INTERVAL_MS,
	LONG_POLL_ANSWER_TIMEOUT_MS,
	LONG_POLL_WAIT_MS,
	findAuthorityScope,
	formatHolderKey,
	formatHolderPrefix,
	formatLeaseKey,
	issueTableFollow,
	issueTableRead
} from "../internal.js"

export interface HolderRows {
	/** Shortest time between two reads. */
	readonly intervalMs: number
	/** Issues the next read and returns the command's id. */
	read(board: Board, owner: string, subject: string, now: number): string
	/** True if the read was to be answered at once, so that its time shows the distance of the table. */
	isRoundTrip(command: Command): boolean
	/** The current rows, according to the answer to a read. */
	adopt(completion: Completion): readonly TableRow[]
	/** Discards what is known, since changes may have been missed: the next read is answered at once. */
	reset(): void
}

export class PolledHolderRows implements HolderRows {
	readonly intervalMs = HOLDER_RENEW_INTERVAL_MS

	read(board: Board, owner: string, subject: string, now: number): string {
		const zone = findAuthorityScope(board.settings)
		const keys = [formatHolderKey(zone), formatLeaseKey(zone)]
		return issueTableRead(board, owner, subject, keys, now, AUTHORITY_TIMEOUT_MS)
	}

	isRoundTrip(): boolean {
		return true
	}

	adopt(completion: Completion): readonly TableRow[] {
		const {result} = completion as Completion<"table-read">
		return result.unwrapOr([])
	}

	reset(): void {
		// Each read is complete.
	}
}

export class FollowedHolderRows implements HolderRows {
	readonly intervalMs = HOLDER_FOLLOW_INTERVAL_MIN_MS
	readonly #rows = new Map<string, TableRow>()
	#afterVersion: number | undefined

	read(board: Board, owner: string, subject: string, now: number): string {
		const prefix = formatHolderPrefix(findAuthorityScope(board.settings))
		const isFirst = this.#afterVersion === undefined
		const request = {
			prefix,
			afterVersion: this.#afterVersion,
			waitMs: isFirst ? 0 : LONG_POLL_WAIT_MS
		}
		const timeoutMs = isFirst
			? HOLDER_READ_TIMEOUT_MS
			: LONG_POLL_WAIT_MS + LONG_POLL_ANSWER_TIMEOUT_MS
		return issueTableFollow(board, owner, subject, request, now, timeoutMs)
	}

	isRoundTrip(command: Command): boolean {
		return (command as Command<"table-follow">).request.waitMs === 0
	}

	adopt(completion: Completion): readonly TableRow[] {
		const {command, result} = completion as Completion<"table-follow">
		if (result.isErr()) return []
		const {rows, version, isComplete} = result.value
		if (isComplete) this.#rows.clear()
		for (const row of rows)
			if (row.key.startsWith(command.request.prefix)) this.#rows.set(row.key, row)
		this.#afterVersion = version
		return [...this.#rows.values()]
	}

	reset(): void {
		this.#afterVersion = undefined
	}
}
