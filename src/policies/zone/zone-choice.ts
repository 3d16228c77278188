/** Chooses the zone in which an accepted job is queued. */
import {type BundleContent, type JobSpec, type PeerEntry} from "../../internal.js"

export interface ZoneChoiceContext {
	readonly jobId: string
	readonly ownZone: string
	/** Jobs queued in the host's own zone; undefined unless this host schedules the zone. */
	readonly ownQueued: number | undefined
	readonly workspace: string
	readonly spec: JobSpec
	readonly content: BundleContent
	readonly peers: readonly PeerEntry[]
}

export interface ZoneChoicePolicy {
	readonly name: string
	/** Returns the name of a zone in service, or undefined if there is none. */
	choose(context: ZoneChoiceContext): string | undefined
}

/** Baseline: the zone of the host that received the request, or else the first in service. */
export class LocalFirstZoneChoicePolicy implements ZoneChoicePolicy {
	readonly name = "local-first"

	choose({ownZone, content}: ZoneChoiceContext): string | undefined {
		const inService = content.zones.filter(zone => zone.inService).map(({name}) => name)
		return inService.includes(ownZone) ? ownZone : inService[0]
	}
}
