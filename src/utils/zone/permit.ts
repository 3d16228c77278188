import {type Board, START_PERMIT_MS, computeSteadyTime} from "../../internal.js"

/** A reading of another process's clock, and the steady time at which it arrived at this host. */
export interface ClockReading {
	readonly remoteClockMs: number
	readonly remoteClockReadAt: number
}

/** Time after its last evidence in which this host's zone may start work; 0 if the zone is out of service. */
export function computePermitMs(board: Board): number {
	const current = board.bundle.get("current")
	const zone = current?.bundle.content.zones.find(({name}) => name === board.settings.zone)
	if (zone?.inService !== true) return 0
	return Math.max(START_PERMIT_MS, zone.cutOffStartMs)
}

/**
 * The end of the start permit in the remote clock, or 0 for none. The reading was taken before it arrived here, so the
 * result is never later than the evidence allows, whatever the delay of either message.
 */
export function computePermitUntil(board: Board, reading: ClockReading): number {
	const permitMs = computePermitMs(board)
	const evidenceAt = board.bundle.get("current")?.evidenceAt
	if (permitMs === 0 || evidenceAt === undefined) return 0
	const elapsedMs = computeSteadyTime(board, evidenceAt) - reading.remoteClockReadAt
	return Math.max(0, reading.remoteClockMs + elapsedMs + permitMs)
}

/** True while this host's own evidence is recent enough to start work in its zone. */
export function isStartPermitted(board: Board, now: number): boolean {
	const permitMs = computePermitMs(board)
	const evidenceAt = board.bundle.get("current")?.evidenceAt
	return permitMs > 0 && evidenceAt !== undefined && now - evidenceAt < permitMs
}
