import {type GangShape, type MemberPlacement, type RanState, type ReasonCode} from "../internal.js"

/** The placement chosen for a queued job. */
export interface PlacementDecision {
	readonly jobId: string
	readonly members: readonly Omit<MemberPlacement, "taskId">[]
	readonly decidedAt: number
}

/** Why a queued task was not placed at the last attempt. */
export interface WaitingEntry {
	readonly jobId: string
	readonly reason: ReasonCode
	readonly since: number
}

/** One guaranteed shape of a workspace in this zone. */
export interface GuaranteeUnit {
	readonly id: string
	readonly workspace: string
	readonly shape: GangShape
}

/** Accelerators of one worker that one member of a gang can use. */
export interface AcceleratorBlock {
	readonly workerId: string
	readonly accelerators: readonly number[]
}

/** Where a guaranteed shape could be claimed now; `members` is empty if it fits nowhere. */
export interface GuaranteePlacement {
	readonly unit: GuaranteeUnit
	readonly members: readonly AcceleratorBlock[]
}

/** Capacity held for a job until the borrowers that use it have stopped. */
export interface HoldEntry {
	readonly jobId: string
	readonly members: readonly AcceleratorBlock[]
	/** Jobs that are being stopped for it. */
	readonly victims: readonly string[]
	readonly reason: ReasonCode
	readonly since: number
}

/** Stages of a gang, from reservation to end. */
export const GangStage = {
	reserving: "reserving",
	/** The start claim is being committed. */
	claiming: "claiming",
	starting: "starting",
	running: "running",
	/** Members are being stopped or released. */
	aborting: "aborting"
} as const
export type GangStage = (typeof GangStage)[keyof typeof GangStage]

export const MemberState = {
	pending: "pending",
	reserved: "reserved",
	started: "started",
	completed: "completed",
	failed: "failed",
	/** Stopped, released, expired or never reserved: it does not run and will not. */
	clear: "clear"
} as const
export type MemberState = (typeof MemberState)[keyof typeof MemberState]

export interface GangMember extends MemberPlacement {
	readonly state: MemberState
	/** Whether any part of it ran; `unknown` unless the worker's answers prove either. */
	readonly ran: RanState
	/** Monotonic time of the last call to the worker about this member. */
	readonly calledAt: number
	readonly answer?: string | undefined
	readonly error?: string | undefined
	readonly checkpoint?: number | undefined
}

export interface GangEntry {
	readonly jobId: string
	readonly attempt: number
	readonly stage: GangStage
	readonly members: readonly GangMember[]
	readonly since: number
	/** Steady time at which this holder created the entry. */
	readonly createdAt: number
	/** True once the start claim is durable. */
	readonly claimed: boolean
	/** True while the job's end or requeue is being committed. */
	readonly settling: boolean
	/** Running members take a checkpoint before they are stopped. */
	readonly checkpointFirst: boolean
	/** Why the gang is being aborted. */
	readonly abortReason?: ReasonCode | undefined
}

export interface StopEntry {
	readonly jobId: string
	readonly reason: ReasonCode
	/** The job takes a checkpoint before it is stopped. */
	readonly checkpoint: boolean
	readonly since: number
}

export interface RunTimeEntry {
	readonly key: string
	readonly samples: number
	/** Exponentially weighted mean of observed ÷ declared run time. */
	readonly ratio: number
	readonly meanMs: number
	/** Mean absolute logarithm of the deviation of each estimate: of the corrected declaration and of the mean. */
	readonly ratioError: number
	readonly meanError: number
}

/** Stages of a call to an endpoint. */
export const CallStage = {
	claiming: "claiming",
	calling: "calling",
	inspecting: "inspecting",
	ending: "ending"
} as const
export type CallStage = (typeof CallStage)[keyof typeof CallStage]

export interface CallEntry {
	readonly jobId: string
	readonly taskId: string
	readonly endpointId: string
	/** Incarnation of the endpoint that the call was claimed for. */
	readonly incarnation: string
	readonly attempt: number
	readonly stage: CallStage
	/** Monotonic time at which this stage began, or at which the endpoint last reported the call as running. */
	readonly since: number
	/** Monotonic time of the next inspection after a lost answer. */
	readonly retryAt: number
	readonly sent: boolean
}
