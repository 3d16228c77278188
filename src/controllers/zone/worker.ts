/**
 * Renews the leases of this zone's workers. One renewal a second covers all the tasks of a worker, and its answer
 * carries their states. A renewal also carries the permit to start work, expressed in the worker's clock, so neither
 * a paused holder nor a delayed message can start a task on outdated evidence.
 */
import {
	type AuthorityEntry,
	type Board,
	type Completion,
	type Controller,
	type HostRecord,
	type WorkerEntry,
	type WorkerStatus,
	CommandKind,
	EventLevel,
	HostRole,
	RefusedError,
	SectionName,
	WORKER_LEASE_MS,
	WORKER_LOST_MS,
	WORKER_RENEW_INTERVAL_MS,
	WORKER_TIMEOUT_MS,
	computePermitUntil,
	computeSteadyTime
} from "../../internal.js"

export class WorkerController implements Controller {
	readonly name = "worker"
	readonly reads = [
		SectionName.completions,
		SectionName.hosts,
		SectionName.authority,
		SectionName.bundle
	]
	readonly #nextAt = new Map<string, number>()
	readonly #inFlight = new Set<string>()
	#generation = 0

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name))
			this.#settle(board, completion as Completion<"worker-renew">, now)
		const authority = board.authority.get(board.settings.zone)
		if (authority?.isHeldHere !== true) {
			this.#removeAll(board)
			return undefined
		}
		this.#renewAllOnNewGeneration(board)
		let earliest: number | undefined
		const listed = new Set<string>()
		for (const host of board.hosts.values()) {
			if (host.role !== HostRole.worker || host.zone !== authority.zone) continue
			listed.add(host.id)
			const dueAt = this.#renewIfDue(board, host, authority, now)
			if (earliest === undefined || dueAt < earliest) earliest = dueAt
		}
		this.#removeUnlisted(board, listed, now)
		return earliest
	}

	/** A new generation may take the zone out of service, so the workers get it without waiting for the interval. */
	#renewAllOnNewGeneration(board: Board): void {
		const generation = board.bundle.get("current")?.bundle.generation ?? 0
		if (generation === this.#generation) return
		this.#generation = generation
		this.#nextAt.clear()
	}

	#renewIfDue(board: Board, host: HostRecord, authority: AuthorityEntry, now: number): number {
		const dueAt = this.#nextAt.get(host.id) ?? now
		if (dueAt > now || this.#inFlight.has(host.id)) return Math.max(dueAt, now + 1)
		this.#nextAt.set(host.id, now + WORKER_RENEW_INTERVAL_MS)
		this.#inFlight.add(host.id)
		const known = board.workers.get(host.id)
		board.issue<"worker-renew">({
			kind: CommandKind.workerRenew,
			owner: this.name,
			subject: host.id,
			target: host.address,
			request: {
				holder: board.settings.hostId,
				epoch: authority.epoch,
				generation: this.#generation,
				leaseMs: WORKER_LEASE_MS,
				permitUntilMs: known === undefined ? 0 : computePermitUntil(board, known),
				knownRevision: known?.revision
			},
			timeoutMs: WORKER_TIMEOUT_MS,
			issuedAt: now
		})
		return now + WORKER_RENEW_INTERVAL_MS
	}

	#settle(board: Board, completion: Completion<"worker-renew">, now: number): void {
		const {command, result} = completion
		this.#inFlight.delete(command.subject)
		const host = board.hosts.get(command.subject)
		const known = board.workers.get(command.subject)
		if (result.isOk() && host !== undefined) {
			if (known === undefined) this.#nextAt.delete(command.subject)
			const state = buildState(known, result.value)
			if (state === undefined) return
			const readAt = computeSteadyTime(board, now)
			const entry = buildEntry(host, result.value, state, command.issuedAt, readAt)
			if (known !== undefined && isUnchanged(known, entry, now))
				board.workers.setSilently(host.id, entry)
			else board.workers.set(host.id, entry)
			return
		}
		if (known !== undefined)
			board.workers.set(known.host.id, {
				...known,
				consecutiveFailures: known.consecutiveFailures + 1
			})
		if (result.isErr()) {
			const reason = result.error instanceof RefusedError ? result.error.code : "no-answer"
			board.record(EventLevel.debug, "worker-renew-failed", {worker: command.subject}, reason)
		}
	}

	#removeAll(board: Board): void {
		for (const id of [...board.workers.keys()]) board.workers.delete(id)
		this.#nextAt.clear()
	}

	/** Removes unlisted workers, but only after their lease has expired, so that their tasks can be settled. */
	#removeUnlisted(board: Board, listed: ReadonlySet<string>, now: number): void {
		for (const [id, entry] of [...board.workers.entries()]) {
			const silentMs = computeSteadyTime(board, now) - entry.remoteClockReadAt
			if (listed.has(id) || silentMs < 2 * WORKER_LEASE_MS) continue
			board.workers.delete(id)
			this.#nextAt.delete(id)
		}
	}
}

/** Returns whether the renewal of a reachable worker changed nothing but its timestamps. */
function isUnchanged(known: WorkerEntry, entry: WorkerEntry, now: number): boolean {
	return (
		known.tasks === entry.tasks &&
		known.host === entry.host &&
		known.epoch === entry.epoch &&
		known.incarnation === entry.incarnation &&
		known.consecutiveFailures === 0 &&
		now - known.confirmedAt < WORKER_LOST_MS
	)
}

type WorkerState = Pick<WorkerEntry, "incarnation" | "capacity" | "tasks">

/** Returns the reported state, or the known one if the revision is unchanged; undefined if there is neither. */
function buildState(
	known: WorkerEntry | undefined,
	{revision, incarnation, capacity, tasks}: WorkerStatus
): WorkerState | undefined {
	if (tasks === undefined) return known?.revision === revision ? known : undefined
	if (incarnation === undefined || capacity === undefined) return undefined
	return {incarnation, capacity, tasks: new Map(tasks.map(task => [task.taskId, task]))}
}

function buildEntry(
	host: HostRecord,
	{epoch, revision, clockMs}: WorkerStatus,
	{incarnation, capacity, tasks}: WorkerState,
	sentAt: number,
	readAt: number
): WorkerEntry {
	return {
		host,
		capacity,
		incarnation,
		epoch,
		tasks,
		revision,
		confirmedAt: sentAt,
		remoteClockMs: clockMs,
		remoteClockReadAt: readAt,
		consecutiveFailures: 0
	}
}
