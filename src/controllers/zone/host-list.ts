/**
 * Copies the platform's host list to the board. The list lags, so EndpointController and CallController treat an
 * endpoint that reports it is leaving, or refuses a call for that reason, as leaving before the list shows it. While
 * the platform can't be reached, the last list stays in use.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type HostRecord,
	CommandKind,
	HOST_LIST_POLL_INTERVAL_MS,
	PLATFORM_TIMEOUT_MS,
	SectionName,
	encodeCanonical
} from "../../internal.js"

export class HostListController implements Controller {
	readonly name = "host-list"
	readonly reads = [SectionName.completions]
	#inFlight = false
	#version = 0
	#nextAt = 0

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) {
			this.#inFlight = false
			if (completion.command.kind !== CommandKind.hostList) continue
			;(completion as Completion<"host-list">).result.map(({version, hosts}) => {
				if (hosts === undefined) return
				this.#version = version
				this.#merge(board, hosts)
			})
		}
		if (this.#inFlight) return undefined
		if (now < this.#nextAt) return this.#nextAt
		this.#nextAt = now + HOST_LIST_POLL_INTERVAL_MS
		this.#inFlight = true
		board.issue({
			kind: CommandKind.hostList,
			owner: this.name,
			subject: "",
			target: "",
			request: {knownVersion: this.#version},
			timeoutMs: PLATFORM_TIMEOUT_MS,
			issuedAt: now
		})
		return this.#nextAt
	}

	#merge(board: Board, hosts: readonly HostRecord[]): void {
		const listed = new Set(hosts.map(host => host.id))
		for (const id of [...board.hosts.keys()]) if (!listed.has(id)) board.hosts.delete(id)
		for (const host of hosts) {
			const known = board.hosts.get(host.id)
			if (known === undefined || encodeCanonical(known) !== encodeCanonical(host))
				board.hosts.set(host.id, host)
		}
	}
}
