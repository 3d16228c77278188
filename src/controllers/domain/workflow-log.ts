/**
 * Synchronizes the domain's workflows with the platform's table while this host holds the domain: loads them when the
 * term begins, by several reads at once since nothing starts before, long-polls for what callers add, and writes what other controllers changed. One commit is in flight at a
 * time. It is conditional on the holder row and on the version of each row, so neither an old holder nor a delayed
 * commit of this one can overwrite anything. If an answer is lost, the conflict of the next attempt shows the outcome.
 */
import {
	type AuthorityEntry,
	type Board,
	type CallError,
	type Clock,
	type Completion,
	type Controller,
	type TableChanges,
	type RowWrite,
	type TableRow,
	COMMIT_REFUSED_RETRY_MS,
	COMMIT_SOON_MS,
	COMMIT_TIMEOUT_MS,
	CommandKind,
	CommitBatch,
	EventLevel,
	LONG_POLL_ANSWER_TIMEOUT_MS,
	LONG_POLL_WAIT_MS,
	OUTAGE_RETRY_MIN_MS,
	Outage,
	PLATFORM_TIMEOUT_MS,
	PROGRESS_PREFIX,
	ReasonCode,
	RefusalCode,
	RefusedError,
	SectionName,
	WORKFLOW_PREFIX,
	WorkflowAdoption,
	WorkflowLoad,
	addChanges,
	addRemoval,
	adoptVersions,
	computeSteadyTime,
	findTerm,
	formatHolderKey,
	isFinal,
	isTombstone,
	recordSaved,
	issueTableCommit,
	issueTableFollow,
	issueTableScan,
	TransportError
} from "../../internal.js"

const FOLLOW = "follow"
const LOAD = "load"
const PROGRESS = "progress"
const COMMIT = "commit"

/** Number of keys that an event about a conflict names. */
const CONFLICTS_LOGGED_MAX = 40

/** Time between the parts of a load, in which answers are read and commands are sent. */
const ADOPTION_PAUSE_MS = 5

/** First digits of workflow ids, which are spread evenly: one read for each. */
const ID_DIGITS = "0123456789abcdef"

export class WorkflowLogController implements Controller {
	readonly name = "workflow-log"
	readonly reads = [SectionName.completions, SectionName.authority, SectionName.workflows]
	readonly #changed: Set<string>
	readonly #clock: Clock
	readonly #adoption: WorkflowAdoption
	/** Monotonic time at which the next part of a term's first rows is adopted. */
	#adoptAt = 0
	#epoch = 0
	/** Version after which changes are requested; undefined until all rows have been read. */
	#afterVersion: number | undefined
	#load: WorkflowLoad | undefined
	#pollInFlight = false
	#nextPollAt = 0
	readonly #pollOutage = new Outage("workflow-follow")
	readonly #commitOutage = new Outage("workflow-commit")
	#batch: CommitBatch | undefined
	#nextCommitAt = 0
	/** Deadline of the next commit: a slow table, where commits queue, gets longer than one that has fallen silent. */
	#commitTimeoutMs = PLATFORM_TIMEOUT_MS
	/** Workflows with unsaved changes, in the order in which they changed. */
	readonly #dirty = new Set<string>()
	/** Workflows left out of commits until a monotonic time, since the platform refused their changes. */
	readonly #refusedUntil = new Map<string, number>()
	/** Number of commits still to be made of one workflow each, after a commit of several was refused. */
	#singleCommits = 0

	constructor(board: Board, clock: Clock) {
		this.#clock = clock
		this.#adoption = new WorkflowAdoption(board, () => clock.readWallClock())
		this.#changed = board.workflows.watch()
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		const term = findTerm(board)
		if (term === undefined) {
			if (this.#epoch !== 0) this.#removeAll(board)
			return undefined
		}
		if (term.epoch !== this.#epoch) {
			this.#removeAll(board)
			this.#epoch = term.epoch
		}
		if (this.#adoption.isPending) {
			if (now < this.#adoptAt) return this.#adoptAt
			const isLeft = this.#adoption.adoptNext(now)
			this.#adoptAt = this.#clock.now() + ADOPTION_PAUSE_MS
			if (isLeft) return this.#adoptAt
			this.#recordLoaded(board, now)
		}
		const pollAt = this.#poll(board, now)
		for (const id of this.#changed) this.#dirty.add(id)
		this.#changed.clear()
		const commitAt = this.#commit(board, term, now)
		return Math.min(pollAt, commitAt)
	}

	#removeAll(board: Board): void {
		this.#epoch = 0
		this.#afterVersion = undefined
		this.#load = undefined
		this.#adoption.clear()
		this.#nextPollAt = 0
		this.#batch = undefined
		this.#dirty.clear()
		this.#refusedUntil.clear()
		this.#singleCommits = 0
		for (const id of [...board.runs.keys()]) board.runs.delete(id)
		for (const id of [...board.workflows.keys()]) board.workflows.delete(id)
		board.terms.delete("loaded")
	}

	#poll(board: Board, now: number): number {
		if (this.#pollInFlight) return Infinity
		if (now < this.#nextPollAt) return this.#nextPollAt
		if (!board.terms.has("loaded")) {
			this.#load ??= this.#createLoad(board)
			this.#load.issueDue(now)
			return Infinity
		}
		const waitMs = this.#afterVersion === undefined ? 0 : LONG_POLL_WAIT_MS
		const timeoutMs =
			this.#afterVersion === undefined ? PLATFORM_TIMEOUT_MS : waitMs + LONG_POLL_ANSWER_TIMEOUT_MS
		this.#pollInFlight = true
		const request = {prefix: WORKFLOW_PREFIX, afterVersion: this.#afterVersion, waitMs}
		issueTableFollow(board, this.name, `${FOLLOW} ${this.#epoch}`, request, now, timeoutMs)
		return Infinity
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const [purpose, epoch] = completion.command.subject.split(" ")
		const isCurrent = this.#epoch !== 0 && epoch === `${this.#epoch}`
		if (purpose === FOLLOW) this.#pollInFlight = false
		if (!isCurrent) return
		if (purpose === FOLLOW) this.#settlePoll(board, completion as Completion<"table-follow">, now)
		else if (purpose === LOAD || purpose === PROGRESS) this.#settleLoad(board, completion, now)
		else this.#settleCommit(board, completion as Completion<"table-commit">, now)
	}

	#settlePoll(board: Board, {command, result}: Completion<"table-follow">, now: number): void {
		if (result.isErr()) {
			const {issuedAt} = command
			this.#nextPollAt = this.#pollOutage.recordFailure(board, result.error, issuedAt, now)
			// The table keeps the changes that were not read, or says that it does not.
			if (!isUnavailable(result.error)) this.#afterVersion = undefined
			return
		}
		this.#pollOutage.recordSuccess(board)
		this.#adoption.adoptRows(result.value.rows, now)
		this.#afterVersion = result.value.version
	}

	/** Reads all rows. An earlier holder can no longer change them: its commits fail on the holder row. */
	#createLoad(board: Board): WorkflowLoad {
		const epoch = this.#epoch
		const reads = Array.from(ID_DIGITS, digit => {
			const request = {prefix: `${WORKFLOW_PREFIX}${digit}`, afterVersion: undefined, waitMs: 0}
			const readWorkflows = (now: number) =>
				issueTableFollow(board, this.name, `${LOAD} ${epoch}`, request, now, PLATFORM_TIMEOUT_MS)
			const readProgress = (now: number) =>
				issueTableScan(board, this.name, `${PROGRESS} ${epoch}`, `${PROGRESS_PREFIX}${digit}`, now)
			return [readWorkflows, readProgress]
		})
		return new WorkflowLoad(reads.flat())
	}

	#settleLoad(board: Board, {command, result}: Completion, now: number): void {
		const load = this.#load
		if (load === undefined) return
		if (result.isErr()) {
			load.takeFailed(command.id)
			// Reads that fail together are repeated together; a table that answers some of them is not away.
			if (now < this.#nextPollAt) return
			const retryAt = this.#pollOutage.recordFailure(board, result.error, command.issuedAt, now)
			this.#nextPollAt = load.takeProgress() ? now + OUTAGE_RETRY_MIN_MS : retryAt
			return
		}
		if (!load.take(command.id)) return
		if (command.kind === CommandKind.tableFollow) load.addWorkflows(result.value as TableChanges)
		else load.addProgress(result.value as readonly TableRow[])
		if (load.isComplete) this.#endLoad(board, load)
	}

	#endLoad(board: Board, load: WorkflowLoad): void {
		this.#load = undefined
		this.#pollOutage.recordSuccess(board)
		this.#afterVersion = load.version
		this.#adoption.plan(load)
	}

	#recordLoaded(board: Board, now: number): void {
		board.terms.set("loaded", {epoch: this.#epoch, loadedAt: computeSteadyTime(board, now)})
		const fields = {epoch: this.#epoch, workflows: board.workflows.size, runs: board.runs.size}
		board.record(EventLevel.info, "workflows-loaded", fields)
	}

	#commit(board: Board, term: AuthorityEntry, now: number): number {
		if (this.#batch !== undefined || !board.terms.has("loaded")) return Infinity
		if (now < this.#nextCommitAt) return this.#nextCommitAt
		const holderCheck = {
			key: formatHolderKey(term.zone),
			ifVersion: term.holderVersion,
			value: undefined
		}
		const batch = this.#collectBatch(board, holderCheck, now)
		if (batch.writes.length === 0) {
			let nextAt = this.#findNextRemoval(board)
			for (const until of this.#refusedUntil.values()) nextAt = Math.min(nextAt, until)
			return nextAt
		}
		this.#batch = batch
		issueTableCommit(
			board,
			this.name,
			`${COMMIT} ${this.#epoch}`,
			[holderCheck, ...batch.writes],
			now,
			this.#commitTimeoutMs
		)
		return Infinity
	}

	#findNextRemoval(board: Board): number {
		const {ended, tombstones} = this.#adoption
		const [oldest] = ended
		const endedAt = oldest === undefined ? undefined : board.workflows.get(oldest)?.endedAt
		const removeAt = endedAt === undefined ? Infinity : endedAt + this.#findStateKeptMs(board)
		return Math.min(removeAt, tombstones.findNextExpiry())
	}

	#findStateKeptMs(board: Board): number {
		return board.settings.domain?.stateKeptMs ?? Infinity
	}

	#collectBatch(board: Board, holderCheck: RowWrite, now: number): CommitBatch {
		const batch = new CommitBatch([holderCheck])
		for (const [id, until] of this.#refusedUntil) if (until <= now) this.#refusedUntil.delete(id)
		for (const id of this.#dirty) {
			if (this.#singleCommits > 0 && batch.writes.length > 0) return batch
			if (this.#refusedUntil.has(id)) continue
			const entry = board.workflows.get(id)
			const writesBefore = batch.writes.length
			const isComplete = entry === undefined || addChanges(batch, entry)
			// The rest of its changes comes after those of the workflows that wait already.
			if (isComplete || batch.writes.length > writesBefore) this.#dirty.delete(id)
			if (isComplete) continue
			this.#dirty.add(id)
			break
		}
		if (this.#singleCommits === 0 || batch.writes.length === 0)
			this.#collectRemovals(board, batch, now)
		return batch
	}

	/** Adds the deletion of tombstones that have expired, and of workflows that ended more than `stateKeptMs` ago. */
	#collectRemovals(board: Board, batch: CommitBatch, now: number): void {
		for (const write of this.#adoption.tombstones.listExpired(now)) if (!batch.add([write])) return
		for (const id of this.#adoption.ended) {
			const entry = board.workflows.get(id)
			if (entry !== undefined && (entry.endedAt ?? now) + this.#findStateKeptMs(board) > now) return
			if (entry !== undefined && !addRemoval(batch, entry)) return
			this.#adoption.ended.delete(id)
		}
	}

	#settleCommit(board: Board, {command, result}: Completion<"table-commit">, now: number): void {
		const batch = this.#batch
		this.#batch = undefined
		const isSoon = result.isOk() && now - command.issuedAt < COMMIT_SOON_MS
		this.#commitTimeoutMs = isSoon ? COMMIT_TIMEOUT_MS : PLATFORM_TIMEOUT_MS
		if (batch === undefined) return
		this.#singleCommits = Math.max(0, this.#singleCommits - 1)
		if (result.isErr()) {
			this.#restoreBatch(batch)
			const {issuedAt} = command
			this.#nextCommitAt = this.#commitOutage.recordFailure(board, result.error, issuedAt, now)
			if (isRefusedForContent(result.error))
				this.#withholdRefused(board, batch, result.error.message, now)
			return
		}
		this.#commitOutage.recordSuccess(board)
		if (!result.value.committed) {
			this.#adoptConflicts(board, batch, result.value.conflicts, now)
			this.#restoreBatch(batch)
			return
		}
		const versions = new Map<string, number>()
		for (const [index, {key}] of command.request.writes.entries())
			versions.set(key, result.value.versions[index] ?? 0)
		recordSaved(board, batch, versions)
		for (const {key, value} of command.request.writes)
			if (value === null) this.#adoption.tombstones.delete(key)
		for (const {entry, state} of batch.states)
			if (isFinal(state)) this.#adoption.ended.add(entry.record.id)
	}

	/** Commits the batch's workflows one by one, and leaves out one that the platform refuses by itself. */
	#withholdRefused(board: Board, batch: CommitBatch, detail: string, now: number): void {
		const ids = batch.listWorkflows()
		const [workflow = ""] = ids
		if (ids.length > 1) {
			this.#singleCommits = ids.length
			return
		}
		this.#refusedUntil.set(workflow, now + COMMIT_REFUSED_RETRY_MS)
		const fields = {workflow, writes: batch.writes.length, detail}
		board.record(EventLevel.warn, "workflow-commit-refused", fields, ReasonCode.malformed)
	}

	#restoreBatch(batch: CommitBatch): void {
		for (const {entry} of batch.states) this.#dirty.add(entry.record.id)
		for (const {occurrence} of batch.occurrences)
			this.#dirty.add(occurrence.key.split(".")[0] ?? "")
		for (const {record} of batch.removed) this.#adoption.ended.add(record.id)
	}

	/**
	 * Rows of this term conflict only with an earlier commit of the same term whose answer was lost; the next attempt
	 * uses the versions found. A conflict of the holder row means that the term is over; the authority controller
	 * detects that.
	 */
	#adoptConflicts(
		board: Board,
		batch: CommitBatch,
		conflicts: readonly TableRow[],
		now: number
	): void {
		const versions = new Map(conflicts.map(row => [row.key, row.version]))
		adoptVersions(batch, versions)
		for (const row of conflicts) if (isTombstone(row)) this.#adoption.tombstones.adopt(row, now)
		const keys = [...versions.keys()].slice(0, CONFLICTS_LOGGED_MAX).join(" ")
		board.record(EventLevel.info, "workflow-commit-conflict", {keys})
		this.#nextCommitAt = now + OUTAGE_RETRY_MIN_MS
	}
}

function isUnavailable(error: CallError): boolean {
	const isRefused = error instanceof RefusedError && error.code === RefusalCode.unavailable
	return isRefused || error instanceof TransportError
}

/** True if the same commit would be refused again. */
function isRefusedForContent(error: CallError): boolean {
	return error instanceof RefusedError && error.code === RefusalCode.malformed
}
