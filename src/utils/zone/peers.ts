/** Picks the peers that a host contacts, and builds the status that it sends them. */
import {
	type Board,
	type HostRecord,
	type PeerStatus,
	HostRole,
	JobState,
	Lifecycle,
	PEER_FANOUT_OTHERS,
	PEER_FANOUT_OWN_ZONE
} from "../../internal.js"

/** Every other daemon that has a peer address, in a stable order. */
export function listPeers(board: Board): HostRecord[] {
	return [...board.hosts.values()]
		.filter(
			({id, role, peerAddress}) =>
				role === HostRole.daemon && id !== board.settings.hostId && peerAddress !== ""
		)
		.sort((a, b) => (a.id < b.id ? -1 : 1))
}

/**
 * The peers of one round, in rotation: some of the host's own zone and a few others. The number of messages does not
 * grow with the number of hosts.
 */
export function pickPeers(board: Board, round: number): HostRecord[] {
	const peers = listPeers(board)
	const own = peers.filter(({zone}) => zone === board.settings.zone)
	const others = peers.filter(({zone}) => zone !== board.settings.zone)
	return [
		...pickInRotation(own, PEER_FANOUT_OWN_ZONE, round),
		...pickInRotation(others, PEER_FANOUT_OTHERS, round)
	]
}

function pickInRotation(peers: readonly HostRecord[], count: number, round: number): HostRecord[] {
	if (peers.length <= count) return [...peers]
	const from = (round * count) % peers.length
	return [...peers, ...peers].slice(from, from + count)
}

export function buildPeerStatus(board: Board, withBundle: boolean, now: number): PeerStatus {
	const {hostId, zone} = board.settings
	const current = board.bundle.get("current")
	const known = current !== undefined && Number.isFinite(current.evidenceAt)
	const holding = board.authority.get(zone)?.isHeldHere === true
	return {
		hostId,
		zone,
		bundle: withBundle && current !== undefined ? JSON.stringify(current.bundle) : undefined,
		generation: current?.bundle.generation ?? 0,
		evidenceAgeMs: known ? now - current.evidenceAt : undefined,
		holding,
		queued: holding ? countQueued(board) : 0,
		freeAccelerators: holding ? (board.fleet.get("current")?.freeAccelerators ?? 0) : 0,
		stopping: board.lifecycle.get("state") !== Lifecycle.serving
	}
}

function countQueued(board: Board): number {
	let queued = 0
	for (const {record} of board.jobs.values()) if (record.state === JobState.queued) queued++
	return queued
}
