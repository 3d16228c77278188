/** Requests of callers and operators and the replies to them, independent of the wire format. */
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

/** The authenticated sender of a request: a caller of a workspace, or an operator. */
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
	/** Newest generation to return; undefined for the current one. */
	readonly newest: number | undefined
	readonly limit: number
}

/** Actions on the workflows of a domain's queue. */
export const WorkflowAction = {
	submit: "submit",
	get: "get",
	cancel: "cancel",
	/** Counts the queue's workflows that have not started. */
	countPending: "count-pending"
} as const
export type WorkflowAction = (typeof WorkflowAction)[keyof typeof WorkflowAction]

export interface WorkflowRequest {
	readonly id: string
	/** Monotonic arrival time. */
	readonly arrivedAt: number
	readonly kind: typeof RequestKind.workflow
	/** Undefined for an unsupported HTTP method. */
	readonly action: WorkflowAction | undefined
	/** The host name and the path select the queue; the rest of the path is the workflow's id. */
	readonly host: string
	readonly path: string
	/** Empty if the caller sent none. */
	readonly key: string
	/** Time from arrival for which the caller waits for the reply. */
	readonly replyTimeoutMs: number
	/** The submitted specification, or why it is malformed; undefined if none was sent. */
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

/** Whether any part of the work ran; `unknown` unless this host can prove either. */
export const RanState = {no: "no", yes: "yes", unknown: "unknown"} as const
export type RanState = (typeof RanState)[keyof typeof RanState]

/** The refusal of a request: the reason, whether any work ran, and whether a retry can succeed. */
export interface Refusal {
	readonly reason: ReasonCode
	readonly detail: string
	readonly ran: RanState
	readonly askAgain: boolean
	readonly jobId?: string | undefined
	/** Delay before a retry, if known. */
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

/** The generation that a host last reported to have adopted, and the age of that report. */
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
		/** Empty if this host has not read it: a host reads only the authority of its own zone. */
		holder: string
		epoch: number
	}[]
	/** The generation that this host has adopted; `adopted` lists what other hosts reported. */
	readonly generation: number
	readonly adopted: readonly Adoption[]
}

export interface BundleView {
	readonly generation: number
	readonly bundle: SignedBundle | undefined
	/** The generation that each host last reported to this host. */
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
