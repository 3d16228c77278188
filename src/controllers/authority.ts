/**
 * Decides which host schedules this host's zone, or its domain of several zones. The holder row changes only when the
 * holder changes; the lease row is rewritten at every renewal. A host takes over after it has observed the same lease
 * version for the whole lease time, with a commit conditional on both rows, so no clocks are compared. A holder that
 * can't reach the table stays holder: workers obey the highest epoch they have seen.
 */
import {
	type AuthorityEntry,
	type Board,
	type Completion,
	type Controller,
	type HostSettings,
	type RowWrite,
	type TableRow,
	AUTHORITY_TIMEOUT_MS,
	CommandKind,
	DOMAIN_LEASE_MS,
	DOMAIN_RENEW_INTERVAL_MS,
	EventLevel,
	HOLDER_CORES,
	HOLDER_DEFERRAL_MS,
	HOLDER_LEASE_MS,
	HOLDER_RENEW_INTERVAL_MS,
	HOLDER_RETRY_DELAY_MS,
	Lifecycle,
	RETRY_BASE_MS,
	SectionName,
	findAuthorityScope,
	formatHolderKey,
	formatLeaseKey,
	issueTableCommit,
	issueTableRead
} from "../internal.js"

interface HolderRow {
	readonly holder: string
	readonly address: string
	readonly epoch: number
}

const READ = "read"
const RENEW = "renew"
const TAKE = "take"
const YIELD = "yield"

export class AuthorityController implements Controller {
	readonly name = "authority"
	readonly reads = [SectionName.completions, SectionName.lifecycle]
	#inFlight: string | undefined
	#nextAt = 0
	/** Monotonic time at which the latest take-over was sent; other hosts may count the lease time from then on. */
	#takeOverSentAt = 0
	/** After a failed take-over or yield, neither is sent again before this monotonic time. */
	#notBefore = 0
	/** True while the holder row names this host from before its restart. */
	#isRestarted = false
	/** Monotonic time of the first read that showed no holder; undefined while reads fail or show a holder. */
	#seenFreeAt: number | undefined

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		const stopping = board.lifecycle.get("state") !== Lifecycle.serving
		if (this.#inFlight !== undefined) return undefined
		const entry = board.authority.get(findAuthorityScope(board.settings))
		if (board.lifecycle.get("state") === Lifecycle.drained)
			return this.#yieldZone(board, entry, now)
		if (stopping && entry?.isHeldHere !== true) return undefined
		const dueAt = Math.min(this.#nextAt, this.#computeTakeOverAt(board, entry))
		if (now < dueAt) return dueAt
		this.#nextAt = now + computeInterval(board.settings, entry?.isHeldHere === true)
		if (entry?.isHeldHere === true) this.#renew(board, entry, now)
		else if (entry !== undefined && now >= this.#computeTakeOverAt(board, entry))
			this.#takeOverOrYield(board, entry, now)
		else this.#readRows(board, now)
		return this.#nextAt
	}

	/**
	 * Time from which this host may take over: the holder gave the zone up, its lease expired as observed by this host,
	 * or the holder was this host before its restart.
	 */
	#computeTakeOverAt(board: Board, entry: AuthorityEntry | undefined): number {
		if (entry === undefined || entry.isHeldHere) return Infinity
		if (this.#wasThisHost(board, entry)) return this.#notBefore
		const deferralMs = computeDeferral(board.settings)
		// Larger hosts go first. After an outage of the table every host finds the lease expired, so a small one counts
		// the deferral from its own first read that showed no holder.
		const freeAt =
			deferralMs > 0 ? (this.#seenFreeAt ?? Infinity) : computeFreeAt(board.settings, entry)
		return Math.max(this.#notBefore, freeAt + deferralMs)
	}

	#wasThisHost(board: Board, {holder}: AuthorityEntry): boolean {
		return this.#isRestarted && holder === board.settings.hostId
	}

	/** A small host that held the domain before its restart gives it up, so that a larger host can take it. */
	#takeOverOrYield(board: Board, entry: AuthorityEntry, now: number): void {
		if (this.#wasThisHost(board, entry) && computeDeferral(board.settings) > 0)
			this.#clearHolder(board, entry, now)
		else this.#takeOver(board, entry, now)
	}

	#readRows(board: Board, now: number): void {
		const zone = findAuthorityScope(board.settings)
		this.#inFlight = issueTableRead(
			board,
			this.name,
			READ,
			[formatHolderKey(zone), formatLeaseKey(zone)],
			now,
			AUTHORITY_TIMEOUT_MS
		)
	}

	#renew(board: Board, entry: AuthorityEntry, now: number): void {
		this.#commit(board, now, RENEW, [
			{key: formatHolderKey(entry.zone), ifVersion: entry.holderVersion, value: undefined},
			{key: formatLeaseKey(entry.zone), ifVersion: entry.leaseVersion, value: entry.holder}
		])
	}

	#takeOver(board: Board, entry: AuthorityEntry, now: number): void {
		this.#takeOverSentAt = now
		const row: HolderRow = {
			holder: board.settings.hostId,
			address: formatPeerUrl(board),
			epoch: entry.epoch + 1
		}
		this.#commit(board, now, TAKE, [
			{
				key: formatHolderKey(entry.zone),
				ifVersion: entry.holderVersion,
				value: JSON.stringify(row)
			},
			{key: formatLeaseKey(entry.zone), ifVersion: entry.leaseVersion, value: row.holder}
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
		this.#commit(board, now, YIELD, [
			{key: formatHolderKey(entry.zone), ifVersion: entry.holderVersion, value: JSON.stringify(row)}
		])
	}

	/**
	 * A read does not extend this host's own term: other hosts count from its last renewal. Another host's lease is
	 * counted from the arrival of the answer here, not from the sending of the read, since the holder may have renewed
	 * it in between.
	 */
	#findObservedAt(
		known: AuthorityEntry | undefined,
		isHeldHere: boolean,
		isUnchanged: boolean,
		now: number
	): number {
		if (isHeldHere) return known?.isHeldHere === true ? known.observedAt : this.#takeOverSentAt
		return isUnchanged && known !== undefined ? known.observedAt : now
	}

	#commit(board: Board, now: number, subject: string, writes: readonly RowWrite[]): void {
		this.#inFlight = issueTableCommit(board, this.name, subject, writes, now, AUTHORITY_TIMEOUT_MS)
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const {command} = completion
		if (command.id === this.#inFlight) this.#inFlight = undefined
		if (completion.result.isErr()) {
			board.record(EventLevel.debug, "authority-unsettled", {subject: command.subject})
			this.#settleFailure(board, command.subject, now)
			return
		}
		if (completion.command.kind === CommandKind.tableRead) {
			this.#adoptRows(board, completion.result.value as readonly TableRow[], now)
		} else this.#settleCommit(board, completion as Completion<"table-commit">)
	}

	/** After a take-over or yield without an answer the rows are read again; a failed renewal is retried soon. */
	#settleFailure(board: Board, subject: string, now: number): void {
		this.#seenFreeAt = undefined
		if (subject === RENEW) this.#nextAt = Math.min(this.#nextAt, now + HOLDER_RETRY_DELAY_MS)
		if (subject !== TAKE && subject !== YIELD) return
		this.#notBefore = now + RETRY_BASE_MS
		this.#readRows(board, now)
	}

	#settleCommit(board: Board, completion: Completion<"table-commit">): void {
		const {command, result} = completion
		if (result.isErr()) return
		if (!result.value.committed) {
			this.#readRows(board, command.issuedAt)
			return
		}
		if (command.subject === YIELD) {
			const entry = board.authority.get(findAuthorityScope(board.settings))
			const observedAt = command.issuedAt
			if (entry !== undefined)
				board.authority.set(entry.zone, {...entry, holder: "", isHeldHere: false, observedAt})
			board.record(EventLevel.info, "zone-yielded", {zone: findAuthorityScope(board.settings)})
			return
		}
		this.#adoptCommit(board, command.subject, result.value.versions, command.issuedAt)
	}

	#adoptCommit(board: Board, subject: string, versions: readonly number[], sentAt: number): void {
		const {hostId} = board.settings
		const zone = findAuthorityScope(board.settings)
		const entry = board.authority.get(zone)
		if (entry === undefined) return
		const [holderVersion = 0, leaseVersion = 0] = versions
		const epoch = subject === TAKE ? entry.epoch + 1 : entry.epoch
		this.#isRestarted = false
		board.authority.set(zone, {
			zone,
			holder: hostId,
			address: formatPeerUrl(board),
			epoch,
			holderVersion,
			leaseVersion,
			observedAt: sentAt,
			isHeldHere: true
		})
		if (subject === TAKE) {
			const {holder: previous, observedAt} = entry
			const unrenewedMs = Math.round(sentAt - observedAt)
			board.record(EventLevel.info, "zone-taken", {zone, epoch, previous, unrenewedMs})
		}
	}

	#adoptRows(board: Board, rows: readonly TableRow[], now: number): void {
		const {hostId} = board.settings
		const zone = findAuthorityScope(board.settings)
		const holderRow = rows.find(row => row.key === formatHolderKey(zone))
		const leaseRow = rows.find(row => row.key === formatLeaseKey(zone))
		const known = board.authority.get(zone)
		const value = decodeHolderRow(holderRow?.value)
		const leaseVersion = leaseRow?.version ?? 0
		if (known === undefined) this.#isRestarted = value.holder === hostId
		const holderVersion = holderRow?.version ?? 0
		const isUnchanged =
			known?.leaseVersion === leaseVersion && known.holderVersion === holderVersion
		const isHeldHere =
			value.holder === hostId && (known?.isHeldHere === true || known?.epoch === value.epoch - 1)
		if (known?.isHeldHere === true && !isHeldHere)
			board.record(EventLevel.warn, "zone-lost", {zone, epoch: known.epoch})
		const entry = {
			zone,
			holder: value.holder,
			address: value.address,
			epoch: value.epoch,
			holderVersion,
			leaseVersion,
			observedAt: this.#findObservedAt(known, isHeldHere, isUnchanged, now),
			isHeldHere
		}
		board.authority.set(zone, entry)
		const isFree = !isHeldHere && now >= computeFreeAt(board.settings, entry)
		this.#seenFreeAt = isFree ? (this.#seenFreeAt ?? now) : undefined
		// A renewal whose answer was lost has changed the lease row; renew at once with the new version.
		if (isHeldHere && !isUnchanged) this.#nextAt = now
	}
}

/** Time from which the zone has no holder if its rows don't change. */
function computeFreeAt({domain}: HostSettings, {holder, observedAt}: AuthorityEntry): number {
	const leaseMs = domain === undefined ? HOLDER_LEASE_MS : DOMAIN_LEASE_MS
	return holder === "" ? observedAt : observedAt + leaseMs + 1
}

/** Interval at which a holder renews its lease and other hosts read it. */
function computeInterval({domain}: HostSettings, isHeldHere: boolean): number {
	return domain !== undefined && isHeldHere ? DOMAIN_RENEW_INTERVAL_MS : HOLDER_RENEW_INTERVAL_MS
}

/** Time that a small host waits so that a larger one can take the domain first; 0 for others. */
function computeDeferral({domain}: HostSettings): number {
	if (domain === undefined) return 0
	return domain.cores * domain.coreShare < HOLDER_CORES ? HOLDER_DEFERRAL_MS : 0
}

function formatPeerUrl(board: Board): string {
	const {hostId, peerAddress} = board.settings
	const listed = board.hosts.get(hostId)?.peerAddress
	if (listed !== undefined && listed !== "") return listed
	const {host, port} = peerAddress
	return `http://${host}:${port}`
}

function decodeHolderRow(value: string | undefined): HolderRow {
	if (value === undefined) return {holder: "", address: "", epoch: 0}
	return JSON.parse(value) as HolderRow
}
