/**
 * Records in the platform's table at which addresses workers have answered, so that a new holder reaches those with runs that
 * are not in the list when its term begins. A record only speeds up what would come with the end of a lease: nothing waits for
 * it, and one that is missing or out of date proves nothing.
 */
import {
	type AuthorityEntry,
	type Board,
	type Completion,
	type Controller,
	type RowWrite,
	type TableRow,
	COMMIT_ENTRIES_MAX,
	NODE_PREFIX,
	Outage,
	SectionName,
	computeEarlierExpiry,
	computeSteadyTime,
	decodeNodeRecord,
	encodeNodeRecord,
	findTerm,
	formatHolderKey,
	formatNodeKey,
	isTermConfirmed,
	issueTableCommit,
	issueTableScan,
	recordMalformedRow
} from "../../internal.js"

const READ = "read"
const COMMIT = "commit"

/** Shortest time between two commits, so that one covers the workers that answer together. */
const COMMIT_INTERVAL_MS = 1000

/** The check of the holder row is one entry of a commit; the check of a row's version and its change are two. */
const COMMIT_ROWS_MAX = Math.floor((COMMIT_ENTRIES_MAX - 1) / 2)

export class NodeLogController implements Controller {
	readonly name = "node-log"
	readonly reads = [
		SectionName.completions,
		SectionName.authority,
		SectionName.nodes,
		SectionName.terms
	]
	readonly #changed: Set<string>
	readonly #outage = new Outage("node-log")
	/** The rows in the table, by worker. */
	readonly #rows = new Map<string, Pick<TableRow, "value" | "version">>()
	#epoch = 0
	#isRead = false
	#isCallInFlight = false
	#nextCallAt = 0

	constructor(board: Board) {
		this.#changed = board.nodes.watch()
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		const term = findTerm(board)
		if (term === undefined) {
			if (this.#epoch !== 0) this.#reset(board)
			return undefined
		}
		if (term.epoch !== this.#epoch) {
			this.#reset(board)
			this.#epoch = term.epoch
		}
		if (this.#isCallInFlight) return undefined
		if (now < this.#nextCallAt) return this.#nextCallAt
		if (!this.#isRead) {
			this.#isCallInFlight = true
			issueTableScan(board, this.name, `${READ} ${this.#epoch}`, NODE_PREFIX, now)
		} else if (isTermConfirmed(board, now)) this.#commit(board, term, now)
		return undefined
	}

	#reset(board: Board): void {
		this.#epoch = 0
		this.#isRead = false
		this.#nextCallAt = 0
		this.#rows.clear()
		for (const id of [...board.recordedNodes.keys()]) board.recordedNodes.delete(id)
	}

	#settle(board: Board, completion: Completion, now: number): void {
		this.#isCallInFlight = false
		const {command, result} = completion
		const [purpose, epoch] = command.subject.split(" ")
		if (this.#epoch === 0 || epoch !== `${this.#epoch}`) return
		if (result.isErr()) {
			this.#nextCallAt = this.#outage.recordFailure(board, result.error, command.issuedAt, now)
			return
		}
		this.#outage.recordSuccess(board)
		if (purpose === READ) this.#adoptRows(board, result.value as readonly TableRow[])
		else this.#adoptCommit(completion as Completion<"table-commit">, now)
	}

	#adoptRows(board: Board, rows: readonly TableRow[]): void {
		this.#isRead = true
		for (const row of rows) {
			const id = row.key.slice(NODE_PREFIX.length)
			this.#rows.set(id, row)
			decodeNodeRecord(row.value).match(
				registration => {
					if (registration.id === id) board.recordedNodes.set(id, registration)
				},
				({message}) => {
					recordMalformedRow(board, row, message)
				}
			)
		}
	}

	/** A conflict shows the rows that an earlier commit without an answer has written, or that the term is over. */
	#adoptCommit({command, result}: Completion<"table-commit">, now: number): void {
		this.#nextCallAt = now + COMMIT_INTERVAL_MS
		if (result.isErr()) return
		const {value: answer} = result
		if (!answer.committed) {
			for (const row of answer.conflicts)
				if (row.key.startsWith(NODE_PREFIX)) this.#rows.set(row.key.slice(NODE_PREFIX.length), row)
			return
		}
		for (const [index, {key, value}] of command.request.writes.entries()) {
			if (!key.startsWith(NODE_PREFIX)) continue
			const id = key.slice(NODE_PREFIX.length)
			if (typeof value === "string")
				this.#rows.set(id, {value, version: answer.versions[index] ?? 0})
			else this.#rows.delete(id)
		}
	}

	#commit(board: Board, {zone, holderVersion}: AuthorityEntry, now: number): void {
		const writes = [...this.#listChanges(board), ...this.#listRemovals(board, now)]
		if (writes.length === 0) return
		const holderCheck = {key: formatHolderKey(zone), ifVersion: holderVersion, value: undefined}
		this.#isCallInFlight = true
		issueTableCommit(
			board,
			this.name,
			`${COMMIT} ${this.#epoch}`,
			[holderCheck, ...writes.slice(0, COMMIT_ROWS_MAX)],
			now
		)
	}

	/** Workers that have answered at addresses that their rows don't have, those with runs first. */
	#listChanges(board: Board): RowWrite[] {
		const writes: RowWrite[] = []
		const hasRuns = (id: string) => board.runs.listOn(id).size > 0
		const ids = [...this.#changed]
		for (const id of [...ids.filter(hasRuns), ...ids.filter(id => !hasRuns(id))]) {
			const node = board.nodes.get(id)
			const value = node === undefined ? undefined : encodeNodeRecord(node)
			const row = this.#rows.get(id)
			if (value === undefined || value === row?.value) this.#changed.delete(id)
			else writes.push({key: formatNodeKey(id), ifVersion: row?.version ?? 0, value})
		}
		return writes
	}

	/** Rows of workers that are gone, with the runs that earlier holders started there. */
	#listRemovals(board: Board, now: number): RowWrite[] {
		if (!board.terms.has("loaded") || computeSteadyTime(board, now) <= computeEarlierExpiry(board))
			return []
		return [...this.#rows]
			.filter(([id]) => !board.nodes.has(id) && board.runs.listOn(id).size === 0)
			.map(([id, {version}]) => ({key: formatNodeKey(id), ifVersion: version, value: null}))
	}
}
