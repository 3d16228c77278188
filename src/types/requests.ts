/** What callers and operators ask of a host, and what they are told; free of any wire format. */
import {type Result} from "neverthrow"
import {
	type JobRecord,
	type JobSpec,
	type MalformedError,
	type Outcome,
	type ReasonCode,
	type SignedBundle,
	type WorkflowSpec,
	type WorkflowState
} from "../internal.js"

export const RequestKind = {
	submit: "submit",
	get: "get",
	wait: "wait",
	list: "list",
	cancel: "cancel",
	rollout: "rollout",
	bundleStatus: "bundle-status",
	bundleHistory: "bundle-history",
	clusterStatus: "cluster-status",
	workflow: "workflow"
} as const
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind]

/** Who asks: a caller of a workspace, or an operator. */
export interface Identity {
	readonly workspace: string
	readonly caller: string
	readonly operator: boolean
}

interface RequestBase {
	readonly id: string
	readonly identity: Identity
	/** Monotonic arrival time. */
	readonly arrivedAt: number
}

export interface SubmitRequest extends RequestBase {
	readonly kind: typeof RequestKind.submit
	readonly key: string
	readonly spec: JobSpec
}
export interface JobRequest extends RequestBase {
	readonly kind: typeof RequestKind.get | typeof RequestKind.cancel
	readonly jobId: string
}
export interface WaitRequest extends RequestBase {
	readonly kind: typeof RequestKind.wait
	readonly jobId: string
	readonly waitMs: number
}
export interface ListRequest extends RequestBase {
	readonly kind: typeof RequestKind.list
}
export interface RolloutRequest extends RequestBase {
	readonly kind: typeof RequestKind.rollout
	readonly bundle: SignedBundle
}
export interface StatusRequest extends RequestBase {
	readonly kind: typeof RequestKind.bundleStatus | typeof RequestKind.clusterStatus
}
export interface BundleHistoryRequest extends RequestBase {
	readonly kind: typeof RequestKind.bundleHistory
	/** Newest generation wanted; undefined for the current one. */
	readonly newest: number | undefined
	readonly limit: number
}

/** What a caller of a domain's queue asks for. */
export const WorkflowAction = {
	submit: "submit",
	get: "get",
	cancel: "cancel",
	/** How many workflows of the queue have not begun. */
	countPending: "count-pending"
} as const
export type WorkflowAction = (typeof WorkflowAction)[keyof typeof WorkflowAction]

export interface WorkflowRequest {
	readonly id: string
	/** Monotonic arrival time. */
	readonly arrivedAt: number
	readonly kind: typeof RequestKind.workflow
	/** Undefined for a method that queues do not have. */
	readonly action: WorkflowAction | undefined
	/** Host name and path select the queue; the rest of the path is the workflow's id. */
	readonly host: string
	readonly path: string
	/** Empty where the caller gave none. */
	readonly key: string
	/** How long the caller waits for the reply. */
	readonly patienceMs: number
	/** What is submitted, or why it could not be understood. */
	readonly spec: Result<WorkflowSpec, MalformedError> | undefined
}
export type HostRequest =
	| SubmitRequest
	| JobRequest
	| WaitRequest
	| ListRequest
	| RolloutRequest
	| StatusRequest
	| BundleHistoryRequest
	| WorkflowRequest

/** Whether any part of the work ran, as far as this host can tell truthfully. */
export const RanState = {no: "no", yes: "yes", unknown: "unknown"} as const
export type RanState = (typeof RanState)[keyof typeof RanState]

/** A request that was turned down: why, whether it ran, and whether asking again can help. */
export interface Refusal {
	readonly reason: ReasonCode
	readonly detail: string
	readonly ran: RanState
	readonly askAgain: boolean
	readonly jobId?: string | undefined
	/** When to ask again, where that is known. */
	readonly retryAfterMs?: number | undefined
}

export interface JobView {
	readonly id: string
	readonly workspace: string
	readonly key: string
	readonly state: JobRecord["state"]
	readonly service: string
	readonly zone: string
	readonly attempts: number
	readonly outcome?: Outcome | undefined
}

export const ReplyKind = {
	job: "job",
	jobs: "jobs",
	refused: "refused",
	bundle: "bundle",
	bundleHistory: "bundle-history",
	cluster: "cluster",
	workflow: "workflow",
	pending: "pending"
} as const
export type ReplyKind = (typeof ReplyKind)[keyof typeof ReplyKind]

/** A generation that a host is known to have adopted, and how long ago that was heard. */
export interface Adoption {
	readonly hostId: string
	readonly zone: string
	readonly generation: number
	readonly ageMs: number
}

export interface ClusterView {
	readonly hosts: readonly {
		id: string
		role: string
		zone: string
		address: string
		leaving: boolean
	}[]
	readonly workers: readonly {
		id: string
		zone: string
		accelerators: number
		inUse: number
		tasks: number
		confirmedAgeMs: number
	}[]
	readonly endpoints: readonly {
		id: string
		zone: string
		slots: number
		inUse: number
		leaving: boolean
		confirmedAgeMs: number
	}[]
	readonly zones: readonly {
		name: string
		region: string
		inService: boolean
		/** Empty where this host has not read it: a host follows the authority of its own zone only. */
		holder: string
		epoch: number
	}[]
	/** The generation this host has adopted, and what it has heard of others. */
	readonly generation: number
	readonly adopted: readonly Adoption[]
}

export interface BundleView {
	readonly generation: number
	readonly bundle: SignedBundle | undefined
	/** Per host, the generation it has adopted, as far as this host has heard. */
	readonly adopted: readonly Adoption[]
}

export type Reply =
	| {readonly kind: typeof ReplyKind.job; readonly created: boolean; readonly job: JobView}
	| {readonly kind: typeof ReplyKind.jobs; readonly jobs: readonly JobView[]}
	| {readonly kind: typeof ReplyKind.refused; readonly refusal: Refusal}
	| {readonly kind: typeof ReplyKind.bundle; readonly view: BundleView}
	| {readonly kind: typeof ReplyKind.bundleHistory; readonly bundles: readonly SignedBundle[]}
	| {readonly kind: typeof ReplyKind.cluster; readonly view: ClusterView}
	| {readonly kind: typeof ReplyKind.workflow; readonly state: WorkflowState}
	| {readonly kind: typeof ReplyKind.pending; readonly count: number}
