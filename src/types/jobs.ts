import {type RanState, type ReasonCode} from "../internal.js"

/** A task runs on reserved accelerators of workers; a call uses one slot of an endpoint. */
export const JobKind = {task: "task", call: "call"} as const
export type JobKind = (typeof JobKind)[keyof typeof JobKind]

export const PriorityClass = {urgent: "urgent", normal: "normal", batch: "batch"} as const
export type PriorityClass = (typeof PriorityClass)[keyof typeof PriorityClass]

/** `rack` places all members of a gang in one rack. A member's accelerators are always an aligned block. */
export const Adjacency = {any: "any", rack: "rack"} as const
export type Adjacency = (typeof Adjacency)[keyof typeof Adjacency]

/** Resources of a gang: `members` workers, each with an aligned block of accelerators and the given CPUs and memory. */
export interface GangShape {
	readonly members: number
	readonly accelerators: number
	readonly adjacency: Adjacency
	readonly cpus: number
	readonly memoryMb: number
}

export interface JobSpec {
	readonly kind: JobKind
	/** The kind of work, such as `address-read`. Run time estimates are corrected per workspace and service. */
	readonly service: string
	readonly priority: PriorityClass
	readonly repeatable: boolean
	readonly checkpoint: boolean
	readonly shape: GangShape
	/** The caller's estimate; observed run times correct it. */
	readonly declaredRunMs: number
	/** Time from acceptance after which the job is no longer started; undefined for no limit. */
	readonly startWithinMs?: number | undefined
	readonly payload: string
}

export const JobState = {
	queued: "queued",
	/** The start claim is durable, so the job may have started. */
	claimed: "claimed",
	ended: "ended"
} as const
export type JobState = (typeof JobState)[keyof typeof JobState]

export const OutcomeKind = {
	completed: "completed",
	/** The job ran and did not complete. */
	failed: "failed",
	/** No part of the job ran. */
	notRun: "not-run",
	/** The job may have run. */
	unknown: "unknown"
} as const
export type OutcomeKind = (typeof OutcomeKind)[keyof typeof OutcomeKind]

export interface Outcome {
	readonly kind: OutcomeKind
	readonly reason?: ReasonCode | undefined
	readonly detail?: string | undefined
	readonly answer?: string | undefined
	/** Object store key of an answer that is too large for the row. */
	readonly answerRef?: string | undefined
}

/** Where one member of a gang runs; `incarnation` is that of the worker's process. */
export interface MemberPlacement {
	readonly workerId: string
	readonly incarnation: string
	readonly taskId: string
	readonly accelerators: readonly number[]
}

export interface StartClaim {
	readonly epoch: number
	readonly attempt: number
	readonly members: readonly MemberPlacement[]
}

/** The durable record of a job, authoritative for its state and outcome. */
export interface JobRecord {
	readonly id: string
	readonly workspace: string
	readonly caller: string
	readonly key: string
	readonly bodyHash: string
	readonly spec: JobSpec
	readonly zone: string
	readonly state: JobState
	readonly attempts: number
	readonly claim?: StartClaim | undefined
	readonly outcome?: Outcome | undefined
	/** Fraction of the work done at the last checkpoint, from which the next attempt resumes. */
	readonly checkpoint: number
	/** Whether any part of any attempt ran; a job ends as "not run" only if this is `no`. */
	readonly ran: RanState
	readonly cancelRequested: boolean
	readonly acceptedAtWallMs: number
	/** Time spent queued in zones that the job was moved from. */
	readonly waitedMs?: number | undefined
	/** The zone that the job was last moved from. */
	readonly movedFrom?: string | undefined
	/** Identifies the last write, so that a read shows whether a write without an answer was applied. */
	readonly writeId: string
}

/** A job's record with the scheduler's own state of the job. */
export interface JobEntry {
	readonly record: JobRecord
	/** Version of the table row that holds `record`. */
	readonly version: number
	/** Monotonic time at which this host first saw the job, less the time it was queued in earlier zones. */
	readonly seenAt: number
	/** Workers that this job failed on; the next attempt avoids them. */
	readonly failedOn: readonly string[]
	/** Earliest monotonic time of the next attempt. */
	readonly notBefore: number
}
