import {type GangShape, type PriorityClass} from "../internal.js"

export const HostRole = {daemon: "daemon", worker: "worker", endpoint: "endpoint"} as const
export type HostRole = (typeof HostRole)[keyof typeof HostRole]

/** One line of the platform's host list. */
export interface HostRecord {
	readonly id: string
	readonly role: HostRole
	readonly zone: string
	readonly rack: string
	/** Base URL, such as `http://127.0.0.1:7001`; for a daemon, the one that callers use. */
	readonly address: string
	/** Base URL for peers; daemons only. */
	readonly peerAddress: string
	readonly leaving: boolean
}

/** Total resources of a worker. */
export interface WorkerCapacity {
	readonly accelerators: number
	readonly cpus: number
	readonly memoryMb: number
}

export const TaskState = {
	reserved: "reserved",
	running: "running",
	completed: "completed",
	failed: "failed",
	stopped: "stopped"
} as const
export type TaskState = (typeof TaskState)[keyof typeof TaskState]

export interface TaskReport {
	readonly taskId: string
	readonly jobId: string
	readonly state: TaskState
	/** True once any part of the task has run. */
	readonly started: boolean
	readonly accelerators: readonly number[]
	readonly cpus: number
	readonly memoryMb: number
	readonly answer?: string | undefined
	readonly error?: string | undefined
	/** Fraction of the work done at the last checkpoint. */
	readonly checkpoint?: number | undefined
	readonly ranMs: number
}

/** The state of a worker as the zone's holder knows it. */
export interface WorkerEntry {
	readonly host: HostRecord
	readonly capacity: WorkerCapacity
	readonly incarnation: string
	/** Epoch under which the worker last confirmed this host as its holder; 0 before. */
	readonly epoch: number
	readonly tasks: ReadonlyMap<string, TaskReport>
	/** Revision that the worker gave to this state of its tasks. */
	readonly revision?: string | undefined
	/** Monotonic time at which the last answered renewal was sent. */
	readonly confirmedAt: number
	/** The worker's clock in that answer, and the steady time at which the answer arrived here. */
	readonly remoteClockMs: number
	readonly remoteClockReadAt: number
	readonly consecutiveFailures: number
}

export interface EndpointEntry {
	readonly host: HostRecord
	/** Changes at every restart of the endpoint's process. */
	readonly incarnation: string
	readonly slots: number
	/** Slots in use by calls that this host did not make, such as an earlier holder's. */
	readonly foreignInUse: number
	readonly leaving: boolean
	readonly confirmedAt: number
	/** The endpoint's clock in its last answer, and the steady time at which the answer arrived here. */
	readonly remoteClockMs: number
	readonly remoteClockReadAt: number
}

/** The holder of a zone, as last read from the platform's table. */
export interface AuthorityEntry {
	readonly zone: string
	readonly holder: string
	readonly address: string
	readonly epoch: number
	/** Version of the holder row, which changes only with the holder; 0 if the row is absent. */
	readonly holderVersion: number
	/** Version of the lease row, which changes at every renewal. */
	readonly leaseVersion: number
	/** Steady time at which this lease version was first read, or at which this host sent its write. */
	readonly observedAt: number
	/** Time from `observedAt` without a renewal after which another host may take over, as the holder chose it. */
	readonly leaseMs: number
	readonly isHeldHere: boolean
	/** Monotonic time until which no other host can have taken over; meaningful while `isHeldHere`. */
	readonly confirmedUntil: number
	/** Steady time by which the confirmed terms of all earlier holders had ended; meaningful while `isHeldHere`. */
	readonly earlierEndedAt: number
}

export interface Guarantee {
	readonly zone: string
	readonly shape: GangShape
	readonly count: number
}

export interface WorkspaceConfig {
	readonly name: string
	readonly guarantees: readonly Guarantee[]
	readonly maxQueued: number
	readonly maxAccelerators: number
	readonly defaultPriority: PriorityClass
	/** Maps a caller's name to the SHA-256 of its token, in hexadecimal. */
	readonly callers: Readonly<Record<string, string>>
}

/** Workers of equal capacity in one rack, as the bundle declares them. */
export interface RackCapacity extends WorkerCapacity {
	readonly rack: string
	readonly workers: number
}

export interface ZoneConfig {
	readonly name: string
	readonly region: string
	readonly inService: boolean
	/** While the zone is out of service: true moves running work that can resume elsewhere, false lets it finish. */
	readonly moveRunning: boolean
	/** How long a zone that gets no evidence may continue to start work; at least `START_PERMIT_MS`. */
	readonly cutOffStartMs: number
	/** Capacity that the zone's guarantees must fit into before a bundle is rolled out. */
	readonly capacity?: readonly RackCapacity[] | undefined
	/** Most jobs moved per hour to join free accelerators; undefined moves none. */
	readonly defragmentMovesPerHour?: number | undefined
}

export interface BundleContent {
	readonly workspaces: readonly WorkspaceConfig[]
	readonly zones: readonly ZoneConfig[]
	readonly policies: {
		readonly queue: string
		readonly placement: string
		readonly zoneChoice: string
	}
}

/** A signed bundle. `generation` only increases; `signature` covers the canonical bytes of generation and content. */
export interface SignedBundle {
	readonly generation: number
	readonly content: BundleContent
	readonly keyId: string
	readonly signature: string
	readonly note: string
}

export interface BundleEntry {
	readonly bundle: SignedBundle
	/** Latest monotonic time at which this generation was known to be current. */
	readonly evidenceAt: number
}
