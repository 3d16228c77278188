/**
 * Closes queues to workspaces whose accepted work takes more of the holder than their share, and tells all hosts by a row
 * beside those of the holder, which they follow.
 */
import {
	type Board,
	type Completion,
	type Controller,
	ANY_VERSION,
	EventLevel,
	Outage,
	SectionName,
	encodeIntakeLimits,
	findClosedPairs,
	findTerm,
	formatHolderKey,
	formatIntakeLimitsKey,
	issueTableCommit,
	updateIntakeLimits
} from "../../internal.js"

/** Shortest time between two checks. */
const CHECK_INTERVAL_MS = 250

const NOTHING_CLOSED = {closed: new Set<string>()}

export class IntakeLimitsController implements Controller {
	readonly name = "intake-limits"
	readonly reads = [SectionName.workflows, SectionName.terms, SectionName.completions]
	readonly #outage = new Outage("intake-limits")
	#checkAt = 0
	#commitAt = 0
	/** Text of the row, as far as this host knows it. */
	#written: string | undefined
	#isCommitInFlight = false

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name))
			this.#settle(board, completion as Completion<"table-commit">, now)
		if (!board.terms.has("loaded")) {
			this.#written = undefined
			return undefined
		}
		if (now < this.#checkAt) return this.#checkAt
		this.#checkAt = now + CHECK_INTERVAL_MS
		this.#check(board)
		const {closed} = board.intakeLimits.get("current") ?? NOTHING_CLOSED
		const isWritten = this.#commit(board, now)
		return closed.size > 0 || !isWritten ? this.#checkAt : undefined
	}

	#check(board: Board): void {
		const known = board.intakeLimits.get("current") ?? NOTHING_CLOSED
		// What an earlier holder has written is in force until it is replaced.
		this.#written ??= encodeIntakeLimits(known)
		const closed = findClosedPairs(board.workflows.values(), known.closed)
		if (!updateIntakeLimits(board, {closed})) return
		const fields = {closed: [...closed].join(" ")}
		board.record(EventLevel.info, "intake-limited", fields)
	}

	/** Returns true if the row says what is in force. */
	#commit(board: Board, now: number): boolean {
		const term = findTerm(board)
		const value = encodeIntakeLimits(board.intakeLimits.get("current") ?? NOTHING_CLOSED)
		if (value === this.#written) return true
		if (term === undefined || this.#isCommitInFlight || now < this.#commitAt) return false
		this.#isCommitInFlight = true
		const {zone, holderVersion} = term
		issueTableCommit(
			board,
			this.name,
			value,
			[
				{key: formatHolderKey(zone), ifVersion: holderVersion, value: undefined},
				{key: formatIntakeLimitsKey(zone), ifVersion: ANY_VERSION, value}
			],
			now
		)
		return false
	}

	#settle(board: Board, {command, result}: Completion<"table-commit">, now: number): void {
		this.#isCommitInFlight = false
		if (result.isErr()) {
			this.#commitAt = this.#outage.recordFailure(board, result.error, command.issuedAt, now)
			return
		}
		this.#outage.recordSuccess(board)
		if (result.value.committed) this.#written = command.subject
	}
}
