/**
 * The only writer of job rows and of the `jobs` section. Other controllers request transitions; each becomes one
 * conditional commit. The commit of a holder's transition also checks the zone's holder row, so a former holder can't
 * change anything. A commit whose answer was lost is sent again. If the first one took effect, the second conflicts
 * with a row that carries this write's id.
 */
import {err, ok, type Result} from "neverthrow"
import {
	type AuthorityEntry,
	type Board,
	type CommitAnswer,
	type Completion,
	type Controller,
	type JobRecord,
	type LedgerWork,
	type TableRow,
	type Transition,
	CommandKind,
	ENDED_JOBS_KEPT,
	EventLevel,
	JobState,
	NoticeKind,
	PLATFORM_TIMEOUT_MS,
	QUEUE_SCAN_INTERVAL_MS,
	ReasonCode,
	RefusalError,
	SectionName,
	TransitionKind,
	WriteWindow,
	applyTransition,
	buildJobEntry,
	buildWrites,
	computeRetryDelay,
	createWork,
	decodeJobRecord,
	findLargeAnswer,
	formatActivePrefix,
	formatAnswerKey,
	formatJobKey,
	isHolderTransition,
	replaceAnswer,
	issueTableCommit,
	issueTableRead,
	issueTableScan
} from "../../internal.js"

const SCAN = "scan"
const LOAD = "load"

export class LedgerController implements Controller {
	readonly name = "ledger"
	readonly reads = [
		SectionName.completions,
		SectionName.transitions,
		SectionName.authority,
		SectionName.notices
	]
	readonly #pendingWork = new Map<string, LedgerWork>()
	readonly #inFlightJobs = new Map<string, string>()
	readonly #window = new WriteWindow()
	/** Version of each active row as last scanned; another version means that the job's row changed. */
	readonly #activeVersions = new Map<string, number>()
	#scanInFlight = false
	#scanAt = 0
	#epoch = 0
	#now = 0

	step(board: Board, now: number): number | undefined {
		this.#now = now
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const id of [...board.transitions.keys()]) this.#registerTransition(board, id)
		this.#loadChanged(board, now)
		const nextWork = this.#advancePendingWork(board, now)
		const nextScan = this.#scanZone(board, now)
		if (nextWork === undefined) return nextScan
		return nextScan === undefined ? nextWork : Math.min(nextWork, nextScan)
	}

	#registerTransition(board: Board, id: string): void {
		const transition = board.transitions.take(id)
		if (transition === undefined) return
		this.#pendingWork.set(id, createWork(transition, board.jobs.get(transition.jobId)))
	}

	#advancePendingWork(board: Board, now: number): number | undefined {
		let earliest: number | undefined
		for (const work of [...this.#pendingWork.values()]) {
			if (work.inFlight) continue
			const {id, jobId, giveUpAt} = work.transition
			if (giveUpAt !== undefined && now >= giveUpAt) {
				this.#giveUp(board, work)
				continue
			}
			const inFlightId = this.#inFlightJobs.get(jobId)
			if (inFlightId !== undefined && inFlightId !== id) continue
			if (work.retryAt > now || !this.#window.isOpenFor(work.transition)) {
				const retryAt = work.retryAt > now ? work.retryAt : Infinity
				const wakeAt = Math.min(retryAt, giveUpAt ?? Infinity)
				if (wakeAt < (earliest ?? Infinity)) earliest = wakeAt
				continue
			}
			this.#inFlightJobs.set(jobId, id)
			this.#send(board, work, now)
		}
		return earliest
	}

	#send(board: Board, work: LedgerWork, now: number): void {
		const {transition, base} = work
		const authority = board.authority.get(board.settings.zone)
		if (isHolderTransition(transition) && authority?.isHeldHere !== true) {
			this.#conclude(
				board,
				work,
				err(new RefusalError(ReasonCode.staleEpoch, "this host no longer holds the zone"))
			)
			return
		}
		if (base === undefined) {
			this.#issueRead(board, work, now)
			return
		}
		const answer = findLargeAnswer(transition)
		if (answer !== undefined) {
			this.#issueObjectPut(board, work, answer, now)
			return
		}
		applyTransition(transition, base.record, authority?.epoch ?? 0, transition.id).match(
			record => {
				this.#issueCommit(board, work, record, base.version, authority, now)
			},
			error => {
				this.#conclude(board, work, err(error))
			}
		)
	}

	#issueRead(board: Board, work: LedgerWork, now: number): void {
		work.inFlight = true
		issueTableRead(board, this.name, work.transition.id, [formatJobKey(work.transition.jobId)], now)
	}

	#issueObjectPut(board: Board, work: LedgerWork, body: string, now: number): void {
		work.inFlight = true
		const {id, jobId} = work.transition
		board.issue<"object-put">({
			kind: CommandKind.objectPut,
			owner: this.name,
			subject: id,
			target: "",
			request: {key: formatAnswerKey(jobId, id), body},
			timeoutMs: PLATFORM_TIMEOUT_MS,
			issuedAt: now
		})
	}

	#issueCommit(
		board: Board,
		work: LedgerWork,
		record: JobRecord,
		version: number,
		authority: AuthorityEntry | undefined,
		now: number
	): void {
		work.inFlight = true
		work.written = record
		const writes = buildWrites(work.transition, record, version, authority)
		this.#window.recordSent()
		issueTableCommit(board, this.name, work.transition.id, writes, now)
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const {kind, subject, issuedAt} = completion.command
		if (kind === CommandKind.tableCommit) {
			if (completion.result.isOk()) this.#window.recordAnswer()
			else this.#window.recordLoss(issuedAt, now)
		}
		if (subject === SCAN) this.#settleScan(board, completion as Completion<"table-scan">, now)
		else if (subject === LOAD) this.#settleLoad(board, completion as Completion<"table-read">)
		else this.#settleWork(board, completion, now)
	}

	#settleWork(board: Board, completion: Completion, now: number): void {
		const work = this.#pendingWork.get(completion.command.subject)
		if (work === undefined) return
		work.inFlight = false
		this.#inFlightJobs.delete(work.transition.jobId)
		if (completion.result.isErr()) {
			const {error} = completion.result
			if (completion.command.kind === CommandKind.tableCommit && !("sent" in error && !error.sent))
				work.mayHaveTakenEffect = true
			work.retryAt = now + computeRetryDelay(work.attempts++, work.transition.id)
			const fields = {job: work.transition.jobId, transition: work.transition.kind}
			board.record(EventLevel.debug, "ledger-retry", fields, ReasonCode.platformUnavailable)
			return
		}
		if (completion.command.kind === CommandKind.objectPut) {
			work.transition = replaceAnswer(work.transition, completion.command.request.key)
		} else if (completion.command.kind === CommandKind.tableRead) {
			const [row] = completion.result.value as readonly TableRow[]
			this.#rebase(board, work, row)
		} else this.#settleCommit(board, work, completion.result.value as CommitAnswer)
	}

	#settleCommit(board: Board, work: LedgerWork, answer: CommitAnswer): void {
		const record = work.written
		if (record === undefined) return
		if (answer.committed) {
			this.#conclude(board, work, ok({record, version: answer.versions[0] ?? 0, created: true}))
			return
		}
		const jobKey = formatJobKey(record.id)
		const row = answer.conflicts.find(({key}) => key === jobKey)
		if (row !== undefined) this.#rebase(board, work, row)
		else {
			// The holder row or the active row was changed, perhaps by another holder: read again after a delay.
			work.base = undefined
			work.retryAt = this.#now + computeRetryDelay(work.attempts++, work.transition.id)
		}
	}

	/** Continues from the current row; a row with this write's id means that the write took effect. */
	#rebase(board: Board, work: LedgerWork, row: TableRow | undefined): void {
		const record = row === undefined || row.version === 0 ? undefined : decodeJobRecord(row.value)
		const version = row?.version ?? 0
		if (record?.writeId === work.transition.id) {
			this.#conclude(board, work, ok({record, version, created: true}))
			return
		}
		work.base = {record, version}
		// An earlier write that timed out may have taken effect, so the board is updated from the row.
		if (record !== undefined) this.#storeRecord(board, record, version)
		if (record !== undefined && work.transition.kind === TransitionKind.accept) {
			const same = record.bodyHash === work.transition.record.bodyHash
			const conflict = new RefusalError(
				ReasonCode.keyConflict,
				"this key was used with another body"
			)
			this.#conclude(board, work, same ? ok({record, version, created: false}) : err(conflict))
		}
	}

	#giveUp(board: Board, work: LedgerWork): void {
		const reason = work.mayHaveTakenEffect ? ReasonCode.answerLost : ReasonCode.platformUnavailable
		this.#conclude(
			board,
			work,
			err(new RefusalError(reason, "the platform's table did not answer"))
		)
	}

	#conclude(
		board: Board,
		work: LedgerWork,
		result: Result<{record: JobRecord; version: number; created: boolean}, RefusalError>
	): void {
		const {transition} = work
		this.#pendingWork.delete(transition.id)
		this.#inFlightJobs.delete(transition.jobId)
		if (result.isOk()) {
			this.#storeRecord(board, result.value.record, result.value.version)
			this.#announceChange(board, transition, result.value.record)
		}
		board.transitionResults.set(transition.id, {transition, result})
	}

	/** Notifies the holder of a job accepted or cancelled here, so that it doesn't wait for its next scan. */
	#announceChange(board: Board, transition: Transition, {id, zone}: JobRecord): void {
		if (isHolderTransition(transition)) return
		const authority = board.authority.get(zone)
		if (authority?.isHeldHere !== true) board.announce(NoticeKind.changed, id, zone)
	}

	/** Reads the rows of this zone's jobs that other hosts report as changed. */
	#loadChanged(board: Board, now: number): void {
		const {zone} = board.settings
		const jobIds: string[] = []
		for (const [id, notice] of [...board.notices.entries()]) {
			if (notice.kind !== NoticeKind.changed) continue
			board.notices.take(id)
			if (notice.zone === zone && this.#epoch !== 0) jobIds.push(notice.jobId)
		}
		if (jobIds.length > 0) this.#load(board, jobIds, now)
	}

	#load(board: Board, jobIds: readonly string[], now: number): void {
		issueTableRead(board, this.name, LOAD, jobIds.map(formatJobKey), now)
	}

	/** Stores an ended record in `ended`, and any other in `jobs` if this host schedules its zone. */
	#storeRecord(board: Board, record: JobRecord, version: number): void {
		if (record.state === JobState.ended) {
			board.jobs.delete(record.id)
			this.#activeVersions.delete(record.id)
			board.ended.set(record.id, record)
			if (board.ended.size > ENDED_JOBS_KEPT) {
				const [oldest] = board.ended.keys()
				if (oldest !== undefined) board.ended.take(oldest)
			}
			return
		}
		const authority = board.authority.get(board.settings.zone)
		if (authority?.isHeldHere !== true || record.zone !== authority.zone) {
			board.jobs.delete(record.id)
			this.#activeVersions.delete(record.id)
			return
		}
		const known = board.jobs.get(record.id)
		if (known !== undefined && known.version > version) return
		board.jobs.set(record.id, buildJobEntry(known, record, version, this.#now))
	}

	/** Scans the active rows to keep `jobs` up to date while this host holds the zone. */
	#scanZone(board: Board, now: number): number | undefined {
		const authority = board.authority.get(board.settings.zone)
		if (authority?.isHeldHere !== true) {
			if (this.#epoch !== 0) this.#clearZone(board)
			return undefined
		}
		if (this.#epoch !== authority.epoch) {
			this.#clearZone(board)
			this.#epoch = authority.epoch
		}
		if (this.#scanInFlight) return undefined
		if (now < this.#scanAt) return this.#scanAt
		this.#scanAt = now + QUEUE_SCAN_INTERVAL_MS
		this.#scanInFlight = true
		issueTableScan(board, this.name, SCAN, formatActivePrefix(authority.zone), now)
		return this.#scanAt
	}

	#clearZone(board: Board): void {
		this.#epoch = 0
		this.#scanAt = 0
		this.#activeVersions.clear()
		for (const id of [...board.jobs.keys()]) board.jobs.delete(id)
	}

	#settleScan(board: Board, completion: Completion<"table-scan">, now: number): void {
		this.#scanInFlight = false
		if (completion.result.isErr() || this.#epoch === 0) return
		const changed: string[] = []
		const prefix = formatActivePrefix(board.settings.zone)
		for (const row of completion.result.value) {
			const id = row.key.slice(prefix.length)
			if (this.#activeVersions.get(id) === row.version) continue
			this.#activeVersions.set(id, row.version)
			changed.push(id)
		}
		if (changed.length > 0) this.#load(board, changed, now)
	}

	#settleLoad(board: Board, completion: Completion<"table-read">): void {
		if (completion.result.isErr()) {
			// The rows are read again after the next scan.
			for (const key of completion.command.request.keys)
				this.#activeVersions.delete(key.slice("job/".length))
			return
		}
		for (const row of completion.result.value) {
			const record = decodeJobRecord(row.value)
			if (record !== undefined) this.#storeRecord(board, record, row.version)
		}
	}
}
