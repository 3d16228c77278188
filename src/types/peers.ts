/** Messages between hosts, independent of the wire format. */

/** Status that a host reports to a peer. It carries ages instead of times, since clocks are not compared. */
export interface PeerStatus {
	readonly hostId: string
	readonly zone: string
	/** The signed bundle as JSON, only in an answer to a query with `wantsBundle`. */
	readonly bundle: string | undefined
	readonly generation: number
	/** Age of the latest evidence that `generation` was current; undefined if there is none. */
	readonly evidenceAgeMs: number | undefined
	/** True while the host schedules its zone; otherwise `queued` and `freeAccelerators` have no meaning. */
	readonly holding: boolean
	readonly queued: number
	readonly freeAccelerators: number
	readonly stopping: boolean
}

export interface PeerQuery extends PeerStatus {
	readonly wantsBundle: boolean
}

export interface PeerEntry {
	readonly status: PeerStatus
	readonly observedAt: number
	/**
	 * Latest monotonic time at which the reported generation was known to be current. Set only by an answer, relative
	 * to the time at which its query was issued: the transit time of an incoming query is unbounded.
	 */
	readonly evidenceAt?: number | undefined
}

/** A query from a peer; the reply is posted to the board under the same id. */
export interface PeerRequest {
	readonly id: string
	readonly query: PeerQuery
	readonly arrivedAt: number
}

export const NoticeKind = {
	/** A host that does not schedule the job's zone wrote the job's row. */
	changed: "changed",
	/** A caller of the sending host waits for the job. */
	watched: "watched",
	ended: "ended"
} as const
export type NoticeKind = (typeof NoticeKind)[keyof typeof NoticeKind]

/** A hint to read a job's row again; only the row is authoritative. */
export interface JobNotice {
	readonly kind: NoticeKind
	readonly jobId: string
	readonly zone: string
	/** The host that sent it. */
	readonly hostId: string
}

/** Hosts whose callers wait for a job, each with the monotonic time at which the wait ends. */
export interface WatchEntry {
	readonly jobId: string
	readonly untilByHost: ReadonlyMap<string, number>
}
