/**
 * Renews the leases of a domain's workers by one long poll per worker, which is answered early when a run ends. Each
 * answer lists running and ended runs; ends are acknowledged once they are durable. From a fixed time after the end of this
 * host's confirmed term its calls renew nothing, so a successor knows when every lease has expired.
 */
import {
	type Board,
	type Command,
	type CommandTypes,
	type Completion,
	type Controller,
	type LeaseAnswer,
	type NodeEntry,
	type WorkerRegistration,
	CallWindow,
	CommandKind,
	ENTRIES_BACK_MS,
	EventLevel,
	NODE_ANSWER_TIMEOUT_MS,
	NODE_RENEW_WAIT_MS,
	NODE_RETRY_DELAY_MS,
	NODE_UNSAVED_DELAY_MS,
	NODE_UNSAVED_OUTAGE_DELAY_MS,
	Outage,
	PLATFORM_TIMEOUT_MS,
	RefusedError,
	SectionName,
	WORKER_LIST_INTERVAL_MS,
	computeEarlierExpiry,
	computeLeaseExpiry,
	computeLeaseEnd,
	computeSteadyTime,
	findTerm,
	isAnswered,
	isReplaced,
	isTermConfirmed,
	mayHaveLostRuns,
	mayRenewLeases
} from "../../internal.js"

const LIST = "list"

type RenewalRequest = CommandTypes["node-renew"]["request"]

export class NodeController implements Controller {
	readonly name = "node"
	readonly reads = [
		SectionName.completions,
		SectionName.authority,
		SectionName.acknowledgements,
		SectionName.reportRequests,
		SectionName.recordedNodes,
		SectionName.terms
	]
	readonly #recorded: Set<string>
	#epoch = 0
	#listInFlight = false
	#listAt = 0
	readonly #listOutage = new Outage("worker-list")
	/** Monotonic time of the first list without its entry, by worker. */
	readonly #missingSince = new Map<string, number>()
	/** Monotonic time of the first list after an outage. */
	#listRegainedAt = -Infinity
	/** Problems of the entries in the last list. */
	#malformed: ReadonlySet<string> = new Set()
	readonly #renewAt = new Map<string, number>()
	/** Command id of the renewal in flight, by worker; requested reports come beside it. */
	readonly #inFlight = new Map<string, string>()
	/** Commands in flight that are the first ones to their workers in a term, which need new connections. */
	readonly #firstCallIds = new Set<string>()
	readonly #firstCalls = new CallWindow(NODE_ANSWER_TIMEOUT_MS)
	/** Monotonic time at which the latest renewal was sent, by worker. */
	readonly #sentAt = new Map<string, number>()
	/** Position of the last acknowledged end in the latest renewal, by worker. */
	readonly #acknowledgedPositions = new Map<string, number>()

	constructor(board: Board) {
		this.#recorded = board.recordedNodes.watch()
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
		if (board.terms.has("loaded")) this.#adoptRecorded(board)
		return Math.min(
			this.#listWorkers(board, now),
			this.#requestReports(board, now),
			this.#renewAll(board, now)
		)
	}

	#removeAll(board: Board): void {
		this.#epoch = 0
		this.#renewAt.clear()
		this.#acknowledgedPositions.clear()
		this.#sentAt.clear()
		this.#missingSince.clear()
		this.#listAt = 0
		for (const id of [...board.nodes.keys()]) board.nodes.delete(id)
		for (const id of [...board.nodeReports.keys()]) board.nodeReports.take(id)
		for (const id of [...board.acknowledgements.keys()]) board.acknowledgements.take(id)
		for (const id of [...board.reportRequests.keys()]) board.reportRequests.take(id)
	}

	#listWorkers(board: Board, now: number): number {
		if (this.#listInFlight) return Infinity
		if (now < this.#listAt) return this.#listAt
		this.#listAt = now + WORKER_LIST_INTERVAL_MS
		this.#listInFlight = true
		board.issue<"worker-list">({
			kind: CommandKind.workerList,
			owner: this.name,
			subject: LIST,
			target: "",
			request: null,
			timeoutMs: PLATFORM_TIMEOUT_MS,
			issuedAt: now
		})
		return this.#listAt
	}

	/** A long poll in flight would show its worker's runs only when one ends, or after its whole wait. */
	#requestReports(board: Board, now: number): number {
		let earliest = Infinity
		for (const [id, after] of [...board.reportRequests.entries()]) {
			const node = board.nodes.get(id)
			if (node === undefined) continue
			if (now <= after) {
				earliest = Math.min(earliest, after + 1)
				continue
			}
			if ((this.#sentAt.get(id) ?? -Infinity) <= after) this.#requestReport(board, node, now)
			board.reportRequests.take(id)
		}
		return earliest
	}

	#renewAll(board: Board, now: number): number {
		let earliest = Infinity
		for (const [id, node] of board.nodes.entries()) {
			if (this.#inFlight.has(id)) continue
			const dueAt = this.#computeRenewAt(board, node)
			// Each answer to a first call wakes this controller for the next one.
			if (isFirstCall(node) && !this.#firstCalls.isOpenFor(1)) continue
			if (dueAt <= now) this.#renew(board, node, now)
			else earliest = Math.min(earliest, dueAt)
		}
		return earliest
	}

	/** Due at once if an end has become durable since the last renewal, otherwise at the time set by the last answer. */
	#computeRenewAt(board: Board, node: NodeEntry): number {
		const {id} = node.registration
		const acknowledged = this.#findAcknowledged(board, node)
		if (acknowledged > (this.#acknowledgedPositions.get(id) ?? 0)) return 0
		return this.#renewAt.get(id) ?? 0
	}

	#findAcknowledged(board: Board, {registration, incarnation}: NodeEntry): number {
		const entry = board.acknowledgements.get(registration.id)
		return entry !== undefined && entry.incarnation === incarnation ? entry.position : 0
	}

	/** Neither renews nor acknowledges: the worker may have restarted since the renewal in flight was sent. */
	#requestReport(board: Board, node: NodeEntry, now: number): void {
		this.#issueRenewal(board, node, {leaseUntilMs: undefined, acknowledged: 0, waitMs: 0}, now)
	}

	#renew(board: Board, node: NodeEntry, now: number): void {
		const {id} = node.registration
		// The lease of a worker that does not answer is not renewed: it must expire before its runs can start elsewhere.
		const isRenewed =
			mayRenewLeases(board, now) && node.incarnation !== undefined && node.failures === 0
		const acknowledged = this.#findAcknowledged(board, node)
		// A worker that did not answer may have restarted since, and counts its ends from 1 again.
		const isSameIncarnation = node.failures === 0
		this.#acknowledgedPositions.set(id, acknowledged)
		const request = {
			leaseUntilMs: isRenewed ? computeLeaseEnd(board, node, now) : undefined,
			acknowledged: isSameIncarnation ? acknowledged : 0,
			waitMs: computeWait(node)
		}
		const commandId = this.#issueRenewal(board, node, request, now)
		this.#inFlight.set(id, commandId)
		if (isFirstCall(node)) {
			this.#firstCallIds.add(commandId)
			this.#firstCalls.recordSent()
		}
		if (isRenewed)
			board.nodes.setSilently(id, {
				...node,
				leaseExpiresAt: Math.max(
					node.leaseExpiresAt,
					computeLeaseExpiry(board, computeSteadyTime(board, now))
				)
			})
	}

	/** Returns the command's id. */
	#issueRenewal(
		board: Board,
		{registration: {id, address}}: NodeEntry,
		request: Pick<RenewalRequest, "leaseUntilMs" | "acknowledged" | "waitMs">,
		now: number
	): string {
		this.#sentAt.set(id, now)
		return board.issue<"node-renew">({
			kind: CommandKind.nodeRenew,
			owner: this.name,
			subject: id,
			target: address,
			request: {workerId: id, epoch: this.#epoch, ...request},
			timeoutMs: request.waitMs + NODE_ANSWER_TIMEOUT_MS,
			issuedAt: now
		})
	}

	#settle(board: Board, completion: Completion, now: number): void {
		if (completion.command.kind === CommandKind.workerList)
			this.#settleList(board, completion as Completion<"worker-list">, now)
		else this.#settleRenewal(board, completion as Completion<"node-renew">, now)
	}

	#settleList(board: Board, {command, result}: Completion<"worker-list">, now: number): void {
		this.#listInFlight = false
		if (this.#epoch === 0) return
		if (result.isErr()) {
			this.#listAt = this.#listOutage.recordFailure(board, result.error, command.issuedAt, now)
			return
		}
		if (this.#listOutage.isOngoing) this.#listRegainedAt = now
		this.#listOutage.recordSuccess(board)
		this.#recordMalformed(board, result.value.malformed)
		const listed = new Set<string>()
		for (const registration of result.value.workers) {
			listed.add(registration.id)
			this.#missingSince.delete(registration.id)
			this.#adoptRegistration(board, registration, now)
		}
		for (const [id, node] of [...board.nodes.entries()]) {
			if (listed.has(id)) continue
			if (!this.#missingSince.has(id)) this.#missingSince.set(id, now)
			if (mayHaveLostRuns(board, id, now) && board.runs.listOn(id).size === 0) {
				board.nodes.delete(id)
				this.#missingSince.delete(id)
				board.nodeReports.take(id)
				this.#renewAt.delete(id)
				this.#sentAt.delete(id)
				this.#acknowledgedPositions.delete(id)
			} else if (node.listed && !this.#mayReturn(node, now)) {
				board.nodes.set(id, {...node, listed: false})
				board.record(EventLevel.info, "worker-unlisted", {worker: id})
			}
		}
	}

	/** The entry of a worker that answers may have expired while the platform was away, and comes back soon after it. */
	#mayReturn({registration, failures}: NodeEntry, now: number): boolean {
		const missingSince = this.#missingSince.get(registration.id) ?? now
		const hasExpired = missingSince - this.#listRegainedAt < ENTRIES_BACK_MS
		return failures === 0 && hasExpired && now - missingSince < ENTRIES_BACK_MS
	}

	/** Records each problem once, not at every read of the list that shows it. */
	#recordMalformed(board: Board, problems: readonly string[]): void {
		for (const problem of problems)
			if (!this.#malformed.has(problem))
				board.record(EventLevel.warn, "worker-malformed", {detail: problem}, "malformed")
		this.#malformed = new Set(problems)
	}

	/** Workers with runs are called even if they are not listed: they may answer, or another one in their place. */
	#adoptRecorded(board: Board): void {
		for (const id of this.#recorded) {
			const registration = board.recordedNodes.get(id)
			if (registration === undefined || board.runs.listOn(id).size === 0) continue
			const {address, incarnation} = registration
			const known = board.nodes.get(id)
			if (known?.answeredFrom !== undefined) continue
			const node = known ?? {...createNodeEntry(board, registration), listed: false}
			board.nodes.set(id, {...node, answeredFrom: address, answeredAs: incarnation})
			if (known === undefined)
				board.record(EventLevel.info, "worker-recalled", {worker: id, address, incarnation})
		}
		this.#recorded.clear()
	}

	#adoptRegistration(board: Board, registration: WorkerRegistration, now: number): void {
		const known = board.nodes.get(registration.id)
		if (known === undefined) {
			const leavesAt = computeLeavesAt(registration, undefined, now)
			board.nodes.set(registration.id, {...createNodeEntry(board, registration), leavesAt})
			board.record(EventLevel.info, "worker-listed", {
				worker: registration.id,
				incarnation: registration.incarnation,
				zone: registration.zone,
				rack: registration.rack
			})
			return
		}
		const isSame =
			known.listed &&
			known.registration.isDraining === registration.isDraining &&
			known.registration.incarnation === registration.incarnation &&
			known.registration.address === registration.address
		const leavesAt = computeLeavesAt(registration, known, now)
		const entry = {...known, registration, listed: true, leavesAt}
		if (isSame) {
			board.nodes.setSilently(registration.id, entry)
			return
		}
		board.nodes.set(registration.id, entry)
		const {id, isDraining, incarnation, remainingMs} = registration
		board.record(EventLevel.info, "worker-changed", {
			worker: id,
			isDraining,
			incarnation,
			remainingMs
		})
		if (known.registration.incarnation !== incarnation) this.#renewAt.delete(id)
	}

	#settleRenewal(board: Board, {command, result}: Completion<"node-renew">, now: number): void {
		const id = command.subject
		if (this.#firstCallIds.delete(command.id))
			this.#firstCalls.recordEnd(isAnswered(result), command.issuedAt, now)
		const isRequested = this.#inFlight.get(id) !== command.id
		if (!isRequested) this.#inFlight.delete(id)
		const node = board.nodes.get(id)
		if (node === undefined || command.request.epoch !== this.#epoch) return
		// A requested report that fails says less than the long poll beside it.
		if (result.isErr() && isRequested) return
		if (result.isErr()) {
			this.#renewAt.set(id, now + NODE_RETRY_DELAY_MS)
			const isGone = isReplaced(node, command.target, result.error)
			const steadyNow = computeSteadyTime(board, now)
			const replacedAt = isGone ? (node.replacedAt ?? steadyNow) : node.replacedAt
			const failures = node.failures + 1
			board.nodes.set(id, {...node, failures, replacedAt})
			if (isGone && node.replacedAt === undefined)
				board.record(EventLevel.info, "worker-replaced", {worker: id, address: command.target})
			if (node.failures === 0) {
				const reason = result.error instanceof RefusedError ? result.error.code : "no-answer"
				const fields = {worker: id, detail: result.error.message}
				board.record(EventLevel.info, "worker-unreachable", fields, reason)
			}
			return
		}
		this.#adoptAnswer(board, node, result.value, command, now)
		if (isRequested) return
		const hasUnsaved = result.value.ends.length > 0
		this.#renewAt.set(id, hasUnsaved ? now + computeUnsavedDelay(board, now) : now)
	}

	#adoptAnswer(
		board: Board,
		node: NodeEntry,
		{incarnation, clockMs, running, ends, mayHaveMoreEnds}: LeaseAnswer,
		{issuedAt: sentAt, target}: Command<"node-renew">,
		now: number
	): void {
		const {id} = node.registration
		// A change of the incarnation shows in an answer to a later call; this one may be of the earlier incarnation.
		const isOther = node.incarnation !== undefined && node.incarnation !== incarnation
		if (isOther && sentAt <= node.answeredAt) return
		if (node.failures > 0)
			board.record(EventLevel.info, "worker-reached", {worker: id, failures: node.failures})
		if (node.incarnation !== incarnation) this.#acknowledgedPositions.set(id, 0)
		const entry = {
			...node,
			incarnation,
			clockMs,
			clockReadAt: computeSteadyTime(board, now),
			answeredAt: now,
			answeredFrom: target,
			answeredAs: incarnation,
			failures: 0,
			replacedAt: undefined
		}
		if (node.incarnation === incarnation && node.failures === 0) board.nodes.setSilently(id, entry)
		else board.nodes.set(id, entry)
		board.nodeReports.set(id, {sentAt, receivedAt: now, running, ends, mayHaveMoreEnds})
	}
}

function createNodeEntry(board: Board, registration: WorkerRegistration): NodeEntry {
	return {
		registration,
		listed: true,
		incarnation: undefined,
		clockMs: 0,
		clockReadAt: 0,
		answeredAt: 0,
		answeredFrom: undefined,
		answeredAs: undefined,
		leaseExpiresAt: computeEarlierExpiry(board),
		failures: 0,
		replacedAt: undefined,
		leavesAt: undefined
	}
}

/** A worker that lists ends answers at once. */
function computeUnsavedDelay(board: Board, now: number): number {
	return isTermConfirmed(board, now) ? NODE_UNSAVED_DELAY_MS : NODE_UNSAVED_OUTAGE_DELAY_MS
}

function isFirstCall({incarnation, failures}: NodeEntry): boolean {
	return incarnation === undefined && failures === 0
}

/**
 * How long the worker may hold a renewal open. Leases are computed from its clock, which comes with its first answer, and
 * after a failure the next answer shows whether the worker may get runs again.
 */
function computeWait({incarnation, failures}: NodeEntry): number {
	return incarnation === undefined || failures > 0 ? 0 : NODE_RENEW_WAIT_MS
}

/** The earliest estimate counts: reading the same row again would move the time of leaving to later. */
function computeLeavesAt(
	{isDraining, remainingMs, incarnation}: WorkerRegistration,
	known: NodeEntry | undefined,
	now: number
): number | undefined {
	if (!isDraining || remainingMs === undefined) return undefined
	const isSameIncarnation = known?.registration.incarnation === incarnation
	return Math.min(now + remainingMs, (isSameIncarnation ? known.leavesAt : undefined) ?? Infinity)
}
