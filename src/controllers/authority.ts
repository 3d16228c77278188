/**
 * Decides which host schedules this host's zone, or its domain of several zones. The holder row changes only when the
 * holder changes; the lease row is rewritten at every renewal. A host takes over after it has observed the same lease
 * version for the whole lease time, with a commit conditional on both rows, so no clocks are compared. A zone's holder
 * that can't reach the table stays holder: workers obey the highest epoch they have seen. A domain's holder sends no
 * commands from shortly before the end of its lease, nor once it has sent the commit that gives the domain up.
 */
import {
	type AuthorityEntry,
	type Board,
	type Command,
	type Completion,
	type Controller,
	type HolderLeasePolicy,
	type HolderRow,
	type HolderRows,
	type RowWrite,
	type TableRow,
	EventLevel,
	FixedHolderLease,
	HOLDER_RETRY_DELAY_MS,
	Lifecycle,
	PolledHolderRows,
	RETRY_BASE_MS,
	SectionName,
	adoptIntakeLimits,
	computeConfirmedUntil,
	computeFreeAt,
	computeSteadyTime,
	decodeHolderRow,
	findAuthorityScope,
	formatHolderKey,
	formatLeaseKey,
	formatPeerUrl,
	issueTableCommit
} from "../internal.js"

/** A commit in flight, and the epoch and lease that it writes. */
interface PendingCommit {
	readonly commandId: string
	readonly epoch: number
	readonly leaseMs: number
}

const READ = "read"
const RENEW = "renew"
const TAKE = "take"
const YIELD = "yield"

export class AuthorityController implements Controller {
	readonly name = "authority"
	readonly reads = [SectionName.completions, SectionName.lifecycle]
	readonly #rows: HolderRows
	readonly #lease: HolderLeasePolicy
	#read: string | undefined
	#readAt = 0
	/** True after a failed commit, until the rows have been read again: nothing is taken over before. */
	#isOutdated = false
	#commit: PendingCommit | undefined
	/** Monotonic time at which the next renewal is due, and at which it is sent: later if it has failed before. */
	#renewDueAt = 0
	#renewAt = 0
	/** Time from the due time of the last confirmed renewal to its answer. */
	#renewalMs = Infinity
	/** Monotonic time at which the latest take-over was sent; other hosts may count the lease time from then on. */
	#takeOverSentAt = 0
	/** After a failed take-over or yield, neither is sent again before this monotonic time. */
	#notBefore = 0
	/** True while the holder row names this host from before its restart. */
	#isRestarted = false
	/** Monotonic time of the first read that showed no holder; undefined while reads fail or show a holder. */
	#seenFreeAt: number | undefined
	/** True if all reads since the latest renewal by another host were answered. */
	#isViewContinuous = false

	constructor(
		rows: HolderRows = new PolledHolderRows(),
		lease: HolderLeasePolicy = new FixedHolderLease()
	) {
		this.#rows = rows
		this.#lease = lease
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		const stopping = board.lifecycle.get("state") !== Lifecycle.serving
		if (this.#commit !== undefined) return undefined
		const entry = board.authority.get(findAuthorityScope(board.settings))
		if (board.lifecycle.get("state") === Lifecycle.drained)
			return this.#yieldZone(board, entry, now)
		if (entry?.isHeldHere === true) return this.#renewIfDue(board, entry, now)
		if (stopping) return undefined
		const takeOverAt = this.#isOutdated ? Infinity : this.#computeTakeOverAt(board, entry)
		if (entry !== undefined && now >= takeOverAt) {
			this.#takeOverOrYield(board, entry, now)
			return undefined
		}
		return Math.min(takeOverAt, this.#readIfDue(board, now))
	}

	/**
	 * Time from which this host may take over: the holder gave the zone up, its lease expired as observed by this host,
	 * or the holder was this host before its restart.
	 */
	#computeTakeOverAt(board: Board, entry: AuthorityEntry | undefined): number {
		if (entry === undefined || entry.isHeldHere) return Infinity
		if (this.#wasThisHost(board, entry)) return this.#notBefore
		// Where reads last until the lease ends, one of them has to show the end: while the table answers nobody,
		// take-overs would only add to its backlog, and after an outage every host finds the lease expired.
		const freeAt = this.#rows.showsEnd
			? (this.#seenFreeAt ?? Infinity)
			: computeFreeAt(board, entry)
		const delayMs = this.#lease.computeTakeOverDelay(entry, this.#isViewContinuous)
		return Math.max(this.#notBefore, freeAt + delayMs)
	}

	#wasThisHost(board: Board, {holder}: AuthorityEntry): boolean {
		return this.#isRestarted && holder === board.settings.hostId
	}

	/** A host that held the domain before its restart and would wait for others gives it up, so that they can take it. */
	#takeOverOrYield(board: Board, entry: AuthorityEntry, now: number): void {
		if (this.#wasThisHost(board, entry) && this.#lease.isDeferring)
			this.#clearHolder(board, entry, now)
		else this.#takeOver(board, entry, now)
	}

	#readIfDue(board: Board, now: number): number {
		if (this.#read !== undefined) return Infinity
		if (now < this.#readAt) return this.#readAt
		this.#readAt = now + this.#rows.intervalMs
		const entry = board.authority.get(findAuthorityScope(board.settings))
		const freeAt = entry === undefined ? now : computeFreeAt(board, entry)
		this.#read = this.#rows.read(board, this.name, READ, freeAt, now)
		return Infinity
	}

	/** Reads the current rows at once; the answer to a read in flight is ignored. */
	#readAgain(board: Board, now: number): void {
		this.#rows.reset()
		this.#isOutdated = true
		this.#read = this.#rows.read(board, this.name, READ, now, now)
	}

	#renewIfDue(board: Board, entry: AuthorityEntry, now: number): number | undefined {
		// A failed commit is followed by a read, which shows whether this host still holds the zone.
		if (this.#read !== undefined) return undefined
		if (now < this.#renewAt) return this.#renewAt
		this.#renew(board, entry, now)
		return undefined
	}

	#renew(board: Board, entry: AuthorityEntry, now: number): void {
		const leaseMs = this.#lease.computeLease(Math.max(this.#renewalMs, now - this.#renewDueAt))
		const lease = this.#lease.encodeLease(entry.holder, leaseMs)
		// The renewal may take effect without an answer; other hosts then use its lease, which may be shorter.
		const confirmedUntil = Math.min(entry.confirmedUntil, computeConfirmedUntil(now, leaseMs))
		board.authority.setSilently(entry.zone, {...entry, confirmedUntil})
		this.#issueCommit(board, now, RENEW, {epoch: entry.epoch, leaseMs}, [
			{key: formatHolderKey(entry.zone), ifVersion: entry.holderVersion, value: undefined},
			{key: formatLeaseKey(entry.zone), ifVersion: entry.leaseVersion, value: lease}
		])
	}

	#takeOver(board: Board, entry: AuthorityEntry, now: number): void {
		this.#takeOverSentAt = now
		this.#readAt = now + this.#rows.intervalMs
		const leaseMs = this.#lease.computeLease(Infinity)
		const row: HolderRow = {
			holder: board.settings.hostId,
			address: formatPeerUrl(board),
			epoch: entry.epoch + 1
		}
		this.#issueCommit(board, now, TAKE, {epoch: row.epoch, leaseMs}, [
			{
				key: formatHolderKey(entry.zone),
				ifVersion: entry.holderVersion,
				value: JSON.stringify(row)
			},
			{
				key: formatLeaseKey(entry.zone),
				ifVersion: entry.leaseVersion,
				value: this.#lease.encodeLease(row.holder, leaseMs)
			}
		])
	}

	#yieldZone(board: Board, entry: AuthorityEntry | undefined, now: number): number | undefined {
		if (entry?.isHeldHere !== true) return undefined
		if (now < this.#notBefore) return this.#notBefore
		this.#clearHolder(board, entry, now)
		return undefined
	}

	#clearHolder(board: Board, entry: AuthorityEntry, now: number): void {
		const row: HolderRow = {holder: "", address: "", epoch: entry.epoch}
		// Another host may take over before the answer arrives here.
		board.authority.set(entry.zone, {...entry, confirmedUntil: -Infinity})
		this.#issueCommit(board, now, YIELD, entry, [
			{key: formatHolderKey(entry.zone), ifVersion: entry.holderVersion, value: JSON.stringify(row)}
		])
	}

	#issueCommit(
		board: Board,
		now: number,
		subject: string,
		{epoch, leaseMs}: Pick<AuthorityEntry, "epoch" | "leaseMs">,
		writes: readonly RowWrite[]
	): void {
		const entry = board.authority.get(findAuthorityScope(board.settings))
		// Once the term is no longer confirmed, an answer that is lost must not delay the next try.
		const isInTime = subject === RENEW && now < (entry?.confirmedUntil ?? -Infinity)
		const timeoutMs = isInTime
			? this.#lease.computeRenewTimeout(leaseMs)
			: this.#lease.takeOverTimeoutMs
		const commandId = issueTableCommit(board, this.name, subject, writes, now, timeoutMs)
		this.#commit = {commandId, epoch, leaseMs}
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const {command, result} = completion
		if (command.id === this.#read) {
			this.#read = undefined
			if (result.isErr()) this.#settleFailedRead(board, now)
			else {
				this.#isOutdated = false
				this.#recordTimes(completion, now)
				this.#adoptRows(board, this.#rows.adopt(completion), now)
			}
			return
		}
		const pending = this.#commit
		if (command.id !== pending?.commandId) return
		this.#commit = undefined
		if (result.isErr()) this.#settleFailedCommit(board, command, now)
		else this.#settleCommit(board, completion as Completion<"table-commit">, pending, now)
	}

	#recordTimes(completion: Completion, now: number): void {
		const roundTripMs = this.#rows.findRoundTrip(completion, now)
		if (roundTripMs !== undefined) this.#lease.recordRoundTrip(roundTripMs)
		const lateMs = this.#rows.findLateness(completion, now)
		if (lateMs !== undefined) this.#lease.recordLateness(lateMs)
	}

	#settleFailedRead(board: Board, now: number): void {
		board.record(EventLevel.debug, "authority-unsettled", {subject: READ})
		this.#rows.reset()
		this.#resetView()
		this.#readAt = Math.max(this.#readAt, now + HOLDER_RETRY_DELAY_MS)
	}

	/** After a take-over or yield without an answer the rows are read again; a failed renewal is retried soon. */
	#settleFailedCommit(board: Board, {subject, issuedAt}: Command, now: number): void {
		board.record(EventLevel.debug, "authority-unsettled", {subject})
		this.#resetView()
		if (subject === RENEW) {
			this.#renewAt = Math.max(now, issuedAt + this.#lease.retryDelayMs)
			return
		}
		this.#notBefore = Math.max(now, issuedAt + RETRY_BASE_MS)
		this.#readAgain(board, now)
	}

	#resetView(): void {
		this.#seenFreeAt = undefined
		this.#isViewContinuous = false
	}

	#settleCommit(
		board: Board,
		{command, result}: Completion<"table-commit">,
		{epoch, leaseMs}: PendingCommit,
		now: number
	): void {
		if (result.isErr()) return
		const {issuedAt, subject} = command
		const entry = board.authority.get(findAuthorityScope(board.settings))
		if (entry === undefined) return
		if (!result.value.committed) {
			if (subject === RENEW) this.#settleConflict(board, entry, result.value.conflicts, now)
			else this.#readAgain(board, now)
			return
		}
		if (subject === YIELD) {
			const {zone} = entry
			const observedAt = computeSteadyTime(board, issuedAt)
			board.authority.set(zone, {...entry, holder: "", isHeldHere: false, observedAt})
			board.record(EventLevel.info, "zone-yielded", {zone})
			this.#readAgain(board, now)
			return
		}
		this.#renewalMs = subject === RENEW ? now - this.#renewDueAt : now - issuedAt
		this.#renewDueAt = issuedAt + this.#lease.computeRenewInterval(leaseMs)
		this.#renewAt = this.#renewDueAt
		const term = {epoch, sentAt: issuedAt, leaseMs}
		this.#adoptCommit(board, entry, subject, result.value.versions, term)
	}

	/**
	 * While the holder row is unchanged, only a renewal of this host whose answer was lost can have changed the lease
	 * row; the next one continues from it.
	 */
	#settleConflict(
		board: Board,
		entry: AuthorityEntry,
		conflicts: readonly TableRow[],
		now: number
	): void {
		const [row, ...others] = conflicts
		if (row?.key !== formatLeaseKey(entry.zone) || others.length > 0) {
			this.#readAgain(board, now)
			return
		}
		board.authority.setSilently(entry.zone, {...entry, leaseVersion: row.version})
		this.#renewAt = now
	}

	#adoptCommit(
		board: Board,
		entry: AuthorityEntry,
		subject: string,
		versions: readonly number[],
		{epoch, sentAt, leaseMs}: {epoch: number; sentAt: number; leaseMs: number}
	): void {
		const {zone} = entry
		const [holderVersion = 0, leaseVersion = 0] = versions
		this.#isRestarted = false
		// The answer to a long poll in flight may be older than this commit.
		this.#read = undefined
		board.authority.set(zone, {
			zone,
			holder: board.settings.hostId,
			address: formatPeerUrl(board),
			epoch,
			holderVersion,
			leaseVersion,
			observedAt: computeSteadyTime(board, sentAt),
			leaseMs,
			isHeldHere: true,
			confirmedUntil: computeConfirmedUntil(sentAt, leaseMs),
			earlierEndedAt: entry.isHeldHere ? entry.earlierEndedAt : this.#findEarlierEnd(board, entry)
		})
		// A read may have shown the new holder before the answer to its commit.
		if (subject === TAKE && !entry.isHeldHere) this.#recordTaken(board, {zone, epoch}, entry)
	}

	#recordTaken(
		board: Board,
		{zone, epoch}: Pick<AuthorityEntry, "zone" | "epoch">,
		earlier: AuthorityEntry | undefined
	): void {
		board.record(EventLevel.info, "zone-taken", {
			zone,
			epoch,
			previous: earlier?.holder,
			unrenewedMs: Math.round(
				computeSteadyTime(board, this.#takeOverSentAt) - (earlier?.observedAt ?? 0)
			)
		})
	}

	#adoptRows(board: Board, rows: readonly TableRow[], now: number): void {
		const {hostId} = board.settings
		const zone = findAuthorityScope(board.settings)
		adoptIntakeLimits(board, rows)
		const holderRow = rows.find(row => row.key === formatHolderKey(zone))
		const leaseRow = rows.find(row => row.key === formatLeaseKey(zone))
		const known = board.authority.get(zone)
		const value = decodeHolderRow(board, holderRow)
		const leaseVersion = leaseRow?.version ?? 0
		if (known === undefined) this.#isRestarted = value.holder === hostId
		const holderVersion = holderRow?.version ?? 0
		const isUnchanged =
			known?.leaseVersion === leaseVersion && known.holderVersion === holderVersion
		const isHeldHere =
			value.holder === hostId && (known?.isHeldHere === true || known?.epoch === value.epoch - 1)
		if (known?.isHeldHere === true && !isHeldHere)
			board.record(EventLevel.warn, "zone-lost", {zone, epoch: known.epoch})
		const leaseMs = this.#lease.decodeLease(leaseRow?.value)
		const entry = {
			zone,
			holder: value.holder,
			address: value.address,
			epoch: value.epoch,
			holderVersion,
			leaseVersion,
			observedAt: this.#findObservedAt(board, known, {isHeldHere, isUnchanged}, now),
			leaseMs,
			isHeldHere,
			confirmedUntil: this.#findConfirmedUntil(known, isHeldHere, leaseMs),
			earlierEndedAt:
				known?.isHeldHere === true ? known.earlierEndedAt : this.#findEarlierEnd(board, known)
		}
		board.authority.set(zone, entry)
		if (isHeldHere && !known.isHeldHere) this.#recordTaken(board, entry, known)
		const isFree = !isHeldHere && now >= computeFreeAt(board, entry)
		this.#seenFreeAt = isFree ? (this.#seenFreeAt ?? now) : undefined
		if (known !== undefined && !isUnchanged) this.#isViewContinuous = true
		// A renewal whose answer was lost has changed the lease row; renew at once with the new version.
		if (isHeldHere && !isUnchanged) this.#renewAt = now
	}

	/**
	 * A read does not extend this host's own term: other hosts count from its last renewal. Another host's lease is
	 * counted from the arrival of the answer here, not from the sending of the read, since the holder may have renewed
	 * it in between.
	 */
	#findObservedAt(
		board: Board,
		known: AuthorityEntry | undefined,
		{isHeldHere, isUnchanged}: {isHeldHere: boolean; isUnchanged: boolean},
		now: number
	): number {
		const isKnown = isHeldHere ? known?.isHeldHere === true : isUnchanged
		if (isKnown && known !== undefined) return known.observedAt
		return computeSteadyTime(board, isHeldHere ? this.#takeOverSentAt : now)
	}

	/** Nobody takes over before the last lease has ended as observed here, or the holder has given the zone up. */
	#findEarlierEnd(board: Board, earlier: AuthorityEntry | undefined): number {
		const takenAt = computeSteadyTime(board, this.#takeOverSentAt)
		return earlier === undefined ? takenAt : Math.min(takenAt, earlier.observedAt + earlier.leaseMs)
	}

	#findConfirmedUntil(
		known: AuthorityEntry | undefined,
		isHeldHere: boolean,
		leaseMs: number
	): number {
		if (!isHeldHere) return -Infinity
		if (known?.isHeldHere === true) return known.confirmedUntil
		return computeConfirmedUntil(this.#takeOverSentAt, leaseMs)
	}
}
