/** Computes a worker's lease times and whether it may be given work. */
import {
	type Board,
	type CatalogEntry,
	type HostSettings,
	type NodeEntry,
	CATALOG_FRESH_MS,
	Lifecycle,
	NODE_LEASE_MARGIN_MS,
	NODE_LEASE_MS,
	WORKER_CLOCK_ERROR,
	computeSteadyTime,
	isPlatformLost
} from "../internal.js"

function computeNodeLease({domain}: HostSettings): number {
	return Math.min(NODE_LEASE_MS, domain?.workerLeaseMaxMs ?? Infinity)
}

/** End of a lease that is granted now, in the worker's own clock as estimated. */
export function computeLeaseEnd(
	board: Board,
	{clockMs, clockReadAt}: NodeEntry,
	now: number
): number {
	const elapsedMs = computeSteadyTime(board, now) - clockReadAt
	return Math.floor(clockMs + elapsedMs + computeNodeLease(board.settings))
}

/** Steady time at which a lease granted at `grantedAt` has certainly expired on the worker, however slow its clock is. */
export function computeLeaseExpiry({settings}: Board, grantedAt: number): number {
	return grantedAt + computeNodeLease(settings) / (1 - WORKER_CLOCK_ERROR) + NODE_LEASE_MARGIN_MS
}

/** True while the worker may be given new runs. */
export function isNodeSchedulable(node: NodeEntry, {zonesOut}: CatalogEntry): boolean {
	const {registration, listed, incarnation, failures} = node
	return (
		listed &&
		!registration.isDraining &&
		incarnation !== undefined &&
		incarnation === registration.incarnation &&
		failures === 0 &&
		!zonesOut.has(registration.zone)
	)
}

/** True while this host can serve new callers: it is not stopping, and the platform is reachable. */
export function isReadyForCallers(board: Board, now: number): boolean {
	const entry = board.catalog.get("current")
	const isServing = board.lifecycle.get("state") === Lifecycle.serving
	if (!isServing || entry === undefined || isPlatformLost(entry)) return false
	return now - entry.evidenceAt < CATALOG_FRESH_MS
}
