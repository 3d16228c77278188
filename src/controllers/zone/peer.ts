/**
 * Exchanges status with other entry hosts: the bundle generation that each knows, and the age of its evidence for it. A
 * host that can't reach the platform depends on its peers for both. The bundle itself is sent only on request, to a
 * host that knows of a higher generation than its own.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type HostRecord,
	type PeerStatus,
	CommandKind,
	PEER_EXCHANGE_INTERVAL_MS,
	PEER_TIMEOUT_MS,
	RETRY_BASE_MS,
	SectionName,
	buildPeerStatus,
	listPeers,
	pickPeers
} from "../../internal.js"

const ROUND = "round"
const FETCH = "fetch"

export class PeerController implements Controller {
	readonly name = "peer"
	readonly reads = [
		SectionName.completions,
		SectionName.peerRequests,
		SectionName.bundle,
		SectionName.lifecycle
	]
	/** Peers with an exchange of a round in flight. */
	readonly #inFlight = new Set<string>()
	#fetching = false
	#fetchAt = 0
	#fetchCount = 0
	#nextAt = 0
	#round = 0
	#sentGeneration = 0

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name))
			this.#settle(board, completion as Completion<"peer-exchange">, now)
		for (const id of [...board.peerRequests.keys()]) this.#reply(board, id, now)
		const fetchAt = this.#fetchIfBehind(board, now)
		const generation = board.bundle.get("current")?.bundle.generation ?? 0
		if (now < this.#nextAt && generation === this.#sentGeneration)
			return Math.min(this.#nextAt, fetchAt)
		this.#sentGeneration = generation
		this.#nextAt = now + PEER_EXCHANGE_INTERVAL_MS
		this.#removeUnlisted(board)
		const ownStatus = buildPeerStatus(board, false, now)
		for (const peer of pickPeers(board, this.#round++)) this.#query(board, peer, ownStatus, now)
		return this.#nextAt
	}

	#query(board: Board, peer: HostRecord, status: PeerStatus, now: number): void {
		if (this.#inFlight.has(peer.id)) return
		this.#inFlight.add(peer.id)
		this.#issue(board, peer, ROUND, status, now)
	}

	#issue(board: Board, peer: HostRecord, purpose: string, status: PeerStatus, now: number): void {
		board.issue<"peer-exchange">({
			kind: CommandKind.peerExchange,
			owner: this.name,
			subject: `${purpose} ${peer.id}`,
			target: peer.peerAddress,
			request: {...status, wantsBundle: purpose === FETCH},
			timeoutMs: PEER_TIMEOUT_MS,
			issuedAt: now
		})
	}

	#settle(board: Board, {command, result}: Completion<"peer-exchange">, now: number): void {
		const [purpose, peerId = ""] = command.subject.split(" ")
		if (purpose === ROUND) this.#inFlight.delete(peerId)
		else {
			this.#fetching = false
			this.#fetchAt = result.isOk() ? now : now + RETRY_BASE_MS
		}
		if (result.isErr() || result.value.hostId !== peerId) return
		const status = result.value
		const known = board.peers.get(peerId)
		if (known !== undefined && known.status.generation > status.generation) return
		const evidenceAt =
			status.evidenceAgeMs === undefined ? undefined : command.issuedAt - status.evidenceAgeMs
		board.peers.set(peerId, {status, observedAt: command.issuedAt, evidenceAt})
	}

	#reply(board: Board, id: string, now: number): void {
		const request = board.peerRequests.take(id)
		if (request === undefined) return
		const {query} = request
		board.peerReplies.set(id, buildPeerStatus(board, query.wantsBundle, now))
		this.#recordQuery(board, query, now)
	}

	/** A peer's query carries its status too, but no evidence: it may have been delayed for any time. */
	#recordQuery(board: Board, status: PeerStatus, now: number): void {
		const known = board.peers.get(status.hostId)
		if (known !== undefined && known.status.generation > status.generation) return
		const isSame = known?.status.generation === status.generation
		const evidenceAt = isSame ? known.evidenceAt : undefined
		board.peers.set(status.hostId, {
			status: {...status, bundle: undefined, evidenceAgeMs: undefined},
			observedAt: now,
			evidenceAt
		})
	}

	/**
	 * Requests the bundle from a peer that knows a higher generation, from a different peer each time, and returns the
	 * time of the next check. Requests nothing while the bundle controller has a received bundle to process.
	 */
	#fetchIfBehind(board: Board, now: number): number {
		const generation = board.bundle.get("current")?.bundle.generation ?? 0
		const ahead = [...board.peers.values()].filter(({status}) => status.generation > generation)
		if (this.#fetching || ahead.length === 0) return Infinity
		if (ahead.some(({status}) => status.bundle !== undefined)) return Infinity
		if (now < this.#fetchAt) return this.#fetchAt
		const chosen = ahead[this.#fetchCount++ % ahead.length]
		const peer = board.hosts.get(chosen?.status.hostId ?? "")
		if (peer === undefined) return now + RETRY_BASE_MS
		this.#fetching = true
		this.#issue(board, peer, FETCH, buildPeerStatus(board, false, now), now)
		return Infinity
	}

	#removeUnlisted(board: Board): void {
		const listed = new Set(listPeers(board).map(({id}) => id))
		for (const id of [...board.peers.keys()]) if (!listed.has(id)) board.peers.take(id)
	}
}
