/**
 * Chooses a zone from data that this host already has, without asking other zones: guarantees in the bundle, queue
 * lengths in the status of peers and the size of the payload. Peer status is about a second old, so hosts that all
 * chose the shortest queue would overload it. Instead, each job draws its zone by weight; the job id seeds the draw,
 * so that a retry gets the same zone.
 */
import {
	type PeerStatus,
	type ZoneChoiceContext,
	type ZoneChoicePolicy,
	type ZoneConfig,
	JobKind,
	LOCAL_QUEUE_THRESHOLD,
	REGION_PAYLOAD_BYTES,
	computeFraction
} from "../../internal.js"

export class LoadAwareZoneChoicePolicy implements ZoneChoicePolicy {
	readonly name = "load-aware"

	choose(context: ZoneChoiceContext): string | undefined {
		const candidates = listCandidates(context)
		const queued = new Map(candidates.map(({name}) => [name, findQueued(context, name)]))
		const own = candidates.find(({name}) => name === context.ownZone)
		if (own !== undefined && !isOverloaded(own, queued)) return own.name
		return drawZone(context, candidates, queued)
	}
}

/** Zones in service; for work with accelerators those where its workspace has a guarantee, if there are any. */
function listCandidates({content, workspace, spec}: ZoneChoiceContext): readonly ZoneConfig[] {
	const inService = content.zones.filter(zone => zone.inService)
	if (spec.kind === JobKind.call || spec.shape.accelerators === 0) return inService
	const guarantees = content.workspaces.find(({name}) => name === workspace)?.guarantees ?? []
	const guaranteedZones = new Set(guarantees.map(({zone}) => zone))
	const guaranteed = inService.filter(({name}) => guaranteedZones.has(name))
	return guaranteed.length > 0 ? guaranteed : inService
}

function findQueued({ownZone, ownQueued, peers}: ZoneChoiceContext, zone: string): number {
	if (zone === ownZone && ownQueued !== undefined) return ownQueued
	let latest: {status: PeerStatus; observedAt: number} | undefined
	for (const peer of peers) {
		if (peer.status.zone !== zone || !peer.status.holding) continue
		if (latest === undefined || peer.observedAt > latest.observedAt) latest = peer
	}
	return latest?.status.queued ?? 0
}

/** True if the zone's queue is long and that of another zone is less than half as long. */
function isOverloaded({name}: ZoneConfig, queued: ReadonlyMap<string, number>): boolean {
	const here = queued.get(name) ?? 0
	return here > LOCAL_QUEUE_THRESHOLD && Math.min(...queued.values()) * 2 < here
}

function drawZone(
	context: ZoneChoiceContext,
	candidates: readonly ZoneConfig[],
	queued: ReadonlyMap<string, number>
): string | undefined {
	const weights = candidates.map(zone => computeWeight(context, zone, queued.get(zone.name) ?? 0))
	let left = computeFraction(context.jobId) * weights.reduce((sum, weight) => sum + weight, 0)
	for (const [at, zone] of candidates.entries()) {
		left -= weights[at] ?? 0
		if (left < 0) return zone.name
	}
	return candidates.at(-1)?.name
}

/**
 * Favours short queues and, for large payloads, the host's own region, since traffic between regions is billed by
 * volume.
 */
function computeWeight(
	{ownZone, content, spec}: ZoneChoiceContext,
	zone: ZoneConfig,
	queued: number
): number {
	const region = content.zones.find(({name}) => name === ownZone)?.region
	const crossing = zone.region === region ? 0 : Buffer.byteLength(spec.payload)
	return 1 / ((1 + queued) * (1 + crossing / REGION_PAYLOAD_BYTES))
}
