/**
 * How a host reads the rows of its zone's holder. A domain's hosts follow the rows by a long poll, so that all of them
 * see each renewal when it is written, and know when the lease ends however their reads fall. The table of the product's
 * own zones has no long poll; their hosts read it at intervals.
 */
import {
	type Board,
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
	/** True if reads are answered when the lease ends, so that the end is seen at once. */
	readonly showsEnd: boolean
	/** Issues the next read and returns the command's id; the lease ends at `freeAt` if it is not renewed. */
	read(board: Board, owner: string, subject: string, freeAt: number, now: number): string
	/** Time that a read took which waited for nothing; undefined for others. */
	findRoundTrip(completion: Completion, now: number): number | undefined
	/** Time that a read took beyond its whole wait, which no change ended; undefined for others. */
	findLateness(completion: Completion, now: number): number | undefined
	/** The current rows, according to the answer to a read. */
	adopt(completion: Completion): readonly TableRow[]
	/** Discards what is known, since changes may have been missed: the next read is answered at once. */
	reset(): void
}

export class PolledHolderRows implements HolderRows {
	readonly intervalMs = HOLDER_RENEW_INTERVAL_MS
	readonly showsEnd = false

	read(board: Board, owner: string, subject: string, _freeAt: number, now: number): string {
		const zone = findAuthorityScope(board.settings)
		const keys = [formatHolderKey(zone), formatLeaseKey(zone)]
		return issueTableRead(board, owner, subject, keys, now, AUTHORITY_TIMEOUT_MS)
	}

	findRoundTrip({command}: Completion, now: number): number {
		return now - command.issuedAt
	}

	findLateness(): undefined {
		return undefined
	}

	adopt(completion: Completion): readonly TableRow[] {
		const {result} = completion as Completion<"table-read">
		return result.unwrapOr([])
	}

	reset(): void {
		// Each read is complete.
	}
}

/** Added to a wait for the end of a lease, so that the answer doesn't come just before it. */
const END_MARGIN_MS = 5

export class FollowedHolderRows implements HolderRows {
	readonly intervalMs = HOLDER_FOLLOW_INTERVAL_MIN_MS
	readonly showsEnd = true
	readonly #rows = new Map<string, TableRow>()
	#afterVersion: number | undefined

	read(board: Board, owner: string, subject: string, freeAt: number, now: number): string {
		const prefix = formatHolderPrefix(findAuthorityScope(board.settings))
		const isFirst = this.#afterVersion === undefined
		const untilFreeMs = freeAt > now ? Math.ceil(freeAt - now) + END_MARGIN_MS : LONG_POLL_WAIT_MS
		const waitMs = isFirst ? 0 : Math.min(LONG_POLL_WAIT_MS, untilFreeMs)
		const request = {prefix, afterVersion: this.#afterVersion, waitMs}
		const timeoutMs = isFirst ? HOLDER_READ_TIMEOUT_MS : waitMs + LONG_POLL_ANSWER_TIMEOUT_MS
		return issueTableFollow(board, owner, subject, request, now, timeoutMs)
	}

	findRoundTrip(completion: Completion, now: number): number | undefined {
		const {command} = completion as Completion<"table-follow">
		return command.request.waitMs === 0 ? now - command.issuedAt : undefined
	}

	findLateness(completion: Completion, now: number): number | undefined {
		const {command, result} = completion as Completion<"table-follow">
		const {waitMs} = command.request
		const isWhole = waitMs > 0 && result.isOk() && result.value.rows.length === 0
		return isWhole ? now - command.issuedAt - waitMs : undefined
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
