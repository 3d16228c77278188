/** Computes a worker's lease times and whether it may be given work. */
import {
	type Board,
	type CatalogEntry,
	type HostSettings,
	type NodeEntry,
	type NodeHealth,
	CATALOG_FRESH_MS,
	Lifecycle,
	NODE_LEASE_GRACE_MS,
	NODE_LEASE_MARGIN_MS,
	NODE_LEASE_MS,
	NodeGate,
	WORKER_CLOCK_ERROR,
	computeSteadyTime,
	findTerm,
	groupBy,
	isPlatformLost
} from "../../internal.js"

/** Share of a service's workers above which quarantine is not applied. */
const QUARANTINED_SHARE_MAX = 0.5

const NO_WORKERS: ReadonlySet<string> = new Set()

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

/** Steady time at which every lease that an earlier holder has granted has expired. */
export function computeEarlierExpiry(board: Board): number {
	const endedAt = findTerm(board)?.earlierEndedAt ?? Infinity
	return computeLeaseExpiry(board, endedAt + NODE_LEASE_GRACE_MS)
}

/** Why the worker may not be given new runs; undefined if it may. Its health matters only to placement. */
export function findNodeGate(
	{registration, listed, incarnation, failures}: NodeEntry,
	{zonesOut}: CatalogEntry,
	health: NodeHealth | undefined,
	closed: ReadonlySet<string>
): NodeGate | undefined {
	if (!listed) return NodeGate.unlisted
	if (registration.isDraining) return NodeGate.draining
	if (incarnation === undefined || failures > 0) return NodeGate.unanswered
	if (incarnation !== registration.incarnation) return NodeGate.otherIncarnation
	if (zonesOut.has(registration.zone)) return NodeGate.zoneOut
	if (health === undefined) return undefined
	if (closed.has(registration.id)) return NodeGate.quarantined
	return health.foreignRuns.length > 0 ? NodeGate.foreignRuns : undefined
}

/**
 * The quarantined workers of each service. If they are many, the work that fails is at fault rather than the workers, which
 * stay suspect.
 */
export function findClosedWorkers(board: Board, now: number): ReadonlySet<string> {
	const closed = new Set<string>()
	const byService = groupBy(board.nodes.values(), ({registration}) => registration.service)
	for (const nodes of byService.values()) {
		const quarantined = nodes.filter(
			({registration: {id}}) => (board.health.get(id)?.quarantinedUntil ?? 0) > now
		)
		if (quarantined.length > nodes.length * QUARANTINED_SHARE_MAX) continue
		for (const {registration} of quarantined) closed.add(registration.id)
	}
	return closed
}

/** True while a run that was planned for the worker may be started there. */
export function isNodeSchedulable(node: NodeEntry, catalog: CatalogEntry): boolean {
	return findNodeGate(node, catalog, undefined, NO_WORKERS) === undefined
}

/** True while this host can serve new callers: it is not stopping, and the platform is reachable. */
export function isReadyForCallers(board: Board, now: number): boolean {
	const entry = board.catalog.get("current")
	const isServing = board.lifecycle.get("state") === Lifecycle.serving
	if (!isServing || entry === undefined || isPlatformLost(entry)) return false
	return now - entry.evidenceAt < CATALOG_FRESH_MS
}
