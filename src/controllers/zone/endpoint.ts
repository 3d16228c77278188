/**
 * Polls this zone's endpoints for the slots in use and whether they are leaving. An endpoint's own report that it is
 * leaving applies at once, since the host list lags.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type HostRecord,
	CallStage,
	CommandKind,
	ENDPOINT_POLL_INTERVAL_MS,
	ENDPOINT_STATUS_TIMEOUT_MS,
	HostRole,
	SectionName,
	computeSteadyTime
} from "../../internal.js"

export class EndpointController implements Controller {
	readonly name = "endpoint"
	readonly reads = [SectionName.completions, SectionName.hosts, SectionName.authority]
	readonly #nextAt = new Map<string, number>()
	readonly #inFlight = new Set<string>()

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name))
			this.#settle(board, completion as Completion<"endpoint-status">, now)
		const authority = board.authority.get(board.settings.zone)
		const listed = new Set<string>()
		let earliest: number | undefined
		for (const host of authority?.isHeldHere === true ? board.hosts.values() : []) {
			if (host.role !== HostRole.endpoint || host.zone !== board.settings.zone) continue
			listed.add(host.id)
			const dueAt = this.#pollIfDue(board, host, now)
			if (earliest === undefined || dueAt < earliest) earliest = dueAt
		}
		for (const id of [...board.endpoints.keys()]) if (!listed.has(id)) board.endpoints.delete(id)
		return earliest
	}

	#pollIfDue(board: Board, host: HostRecord, now: number): number {
		const dueAt = this.#nextAt.get(host.id) ?? now
		if (dueAt > now || this.#inFlight.has(host.id)) return Math.max(dueAt, now + 1)
		this.#nextAt.set(host.id, now + ENDPOINT_POLL_INTERVAL_MS)
		this.#inFlight.add(host.id)
		board.issue<"endpoint-status">({
			kind: CommandKind.endpointStatus,
			owner: this.name,
			subject: host.id,
			target: host.address,
			request: null,
			timeoutMs: ENDPOINT_STATUS_TIMEOUT_MS,
			issuedAt: now
		})
		return now + ENDPOINT_POLL_INTERVAL_MS
	}

	#settle(board: Board, {command, result}: Completion<"endpoint-status">, now: number): void {
		this.#inFlight.delete(command.subject)
		const host = board.hosts.get(command.subject)
		if (host === undefined || result.isErr()) return
		const {incarnation, slots, inUse, leaving, clockMs} = result.value
		board.endpoints.set(host.id, {
			host,
			incarnation,
			slots,
			foreignInUse: Math.max(0, inUse - countOwnCalls(board, host.id)),
			leaving: leaving || host.leaving,
			confirmedAt: command.issuedAt,
			remoteClockMs: clockMs,
			remoteClockReadAt: computeSteadyTime(board, now)
		})
	}
}

function countOwnCalls(board: Board, endpointId: string): number {
	let own = 0
	for (const call of board.calls.values())
		if (call.endpointId === endpointId && call.stage !== CallStage.claiming) own++
	return own
}
