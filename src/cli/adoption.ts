/**
 * Checks whether a generation is in force in a zone: either all known hosts of the zone have adopted it, or the last
 * permit issued there under an earlier generation has expired, so that no work can start under the earlier one.
 */
import {
	type BundleContent,
	type ClusterView,
	type SignedBundle,
	HostRole,
	LEASE_MARGIN_MS,
	START_PERMIT_MS
} from "../internal.js"
import {getClusterView} from "./cluster-view.js"
import {type ApiClient} from "./client.js"
import {ExitCode} from "./exit-code.js"

const ADOPTION_TIMEOUT_MS = 30000
const ADOPTION_GRACE_MS = 4000
const ADOPTION_POLL_INTERVAL_MS = 200

export const AdoptionState = {
	/** Every known host of the zone has adopted it. */
	adopted: "adopted",
	/** Some host has not reported its adoption, but all earlier permits have expired. */
	permitsRanOut: "permits-ran-out",
	/** Some host may still start work under an earlier generation. */
	pending: "pending"
} as const
export type AdoptionState = (typeof AdoptionState)[keyof typeof AdoptionState]

export interface ZoneAdoption {
	readonly zone: string
	readonly force: AdoptionState
	readonly hosts: number
	readonly adopted: number
	/** How long work may still start there under an earlier generation; 0 if it can't. */
	readonly pendingMs: number
}

export interface RolloutResult {
	readonly generation: number
	readonly zones: readonly ZoneAdoption[]
}

const EMPTY_VIEW: ClusterView = {
	generation: 0,
	adopted: [],
	hosts: [],
	workers: [],
	endpoints: [],
	zones: []
}

/** Polls the given hosts until the bundle is in force in every zone or a time limit has passed. */
export async function waitForAdoption(
	client: ApiClient,
	{generation, content}: SignedBundle,
	earlier: SignedBundle | undefined
): Promise<RolloutResult> {
	const rolledOutAt = performance.now()
	const permits = computePermitDurations(content, earlier?.content)
	for (;;) {
		const view = await getClusterView(client)
		const elapsedMs = performance.now() - rolledOutAt
		const zones = checkZones(view.unwrapOr(EMPTY_VIEW), generation, permits, elapsedMs)
		if (isSettled(zones, elapsedMs)) return {generation, zones}
		await new Promise(resolve => setTimeout(resolve, ADOPTION_POLL_INTERVAL_MS))
	}
}

/** Gives hosts time to adopt the generation even if no work can start under an earlier one. */
function isSettled(zones: readonly ZoneAdoption[], elapsedMs: number): boolean {
	if (zones.every(({force}) => force === AdoptionState.adopted)) return true
	if (zones.some(({force}) => force === AdoptionState.pending))
		return elapsedMs > ADOPTION_TIMEOUT_MS
	return elapsedMs > ADOPTION_GRACE_MS
}

/** For each zone, how long after a roll-out a disconnected host may still start work under the generation before. */
export function computePermitDurations(
	content: BundleContent,
	earlier: BundleContent | undefined
): ReadonlyMap<string, number> {
	const permits = new Map(content.zones.map(({name}) => [name, 0]))
	for (const {name, cutOffStartMs, inService} of earlier?.zones ?? []) {
		const permitMs = Math.max(START_PERMIT_MS, cutOffStartMs) + LEASE_MARGIN_MS
		permits.set(name, inService ? permitMs : 0)
	}
	return permits
}

export function checkZones(
	view: ClusterView,
	generation: number,
	permits: ReadonlyMap<string, number>,
	elapsedMs: number
): ZoneAdoption[] {
	return [...permits].map(([zone, permitMs]) => {
		const reports = view.adopted.filter(host => host.zone === zone)
		const listed = view.hosts.filter(host => host.role === HostRole.daemon && host.zone === zone)
		const hosts = new Set([...reports.map(({hostId}) => hostId), ...listed.map(({id}) => id)]).size
		const adopted = reports.filter(host => host.generation >= generation).length
		const isAdoptedByAll = hosts > 0 && adopted === hosts
		const pendingMs = isAdoptedByAll ? 0 : Math.max(0, Math.round(permitMs - elapsedMs))
		let force: AdoptionState = pendingMs === 0 ? AdoptionState.permitsRanOut : AdoptionState.pending
		if (isAdoptedByAll) force = AdoptionState.adopted
		return {zone, force, hosts, adopted, pendingMs}
	})
}

const ADOPTION_LABELS: Readonly<Record<AdoptionState, string>> = {
	[AdoptionState.adopted]: "in force",
	[AdoptionState.permitsRanOut]: "in force: all earlier permits have expired",
	[AdoptionState.pending]: "NOT YET IN FORCE"
}

export function formatRolloutResult({generation, zones}: RolloutResult): string {
	const lines = zones.map(({zone, force, hosts, adopted, pendingMs}) => {
		const remaining = pendingMs === 0 ? "" : `, work may start there for ${pendingMs} ms more`
		return `  ${zone}: ${ADOPTION_LABELS[force]}${remaining} (adopted by ${adopted} of ${hosts} hosts)`
	})
	return [`generation ${generation} is rolled out`, ...lines].join("\n")
}

export function findAdoptionExitCode({zones}: RolloutResult): ExitCode {
	return zones.some(({force}) => force === AdoptionState.pending)
		? ExitCode.notAdopted
		: ExitCode.ok
}
