/**
 * Commands are the effects that controllers request. Adapters execute them and post a completion with the result.
 * Both are independent of the wire format.
 */
import {type Result} from "neverthrow"
import {
	type CallError,
	type CatalogAnswer,
	type GangShape,
	type HostRecord,
	type JobNotice,
	type LeaseAnswer,
	type PeerStatus,
	type PeerQuery,
	type TaskReport,
	type WorkerCapacity,
	type WorkerListAnswer
} from "../internal.js"

/** One row of the platform's table; version 0 means that the row is absent. */
export interface TableRow {
	readonly key: string
	readonly version: number
	readonly value: string
}

/** Used in place of a version: the write applies to any version of the row. */
export const ANY_VERSION = -1

/** Writes `value` if the row still has `ifVersion`; null deletes the row, undefined only checks the version. */
export interface RowWrite {
	readonly key: string
	readonly ifVersion: number
	readonly value: string | null | undefined
}

/** Either every write was applied, with the new version of each, or none was, with the conflicting rows. */
export type CommitAnswer =
	| {readonly committed: true; readonly versions: readonly number[]}
	| {readonly committed: false; readonly conflicts: readonly TableRow[]}

/** Rows under a prefix that changed since a version, or all of them if `isComplete`; version 0 marks a deleted row. */
export interface TableChanges {
	readonly rows: readonly TableRow[]
	/** Version to continue from. */
	readonly version: number
	readonly isComplete: boolean
}

/** Starts one run of a task on a domain's worker, which has a lease and takes no reservations. */
export interface RunStart {
	readonly taskId: string
	readonly run: number
	readonly payload: string
	/** Empty if there is none. */
	readonly checkpoint: string
	/** End of the worker's lease on the worker's clock. */
	readonly leaseUntilMs: number
	readonly epoch: number
	/** Intended worker; another worker at the same address refuses. */
	readonly workerId: string
}

export interface TaskStart {
	readonly taskId: string
	readonly jobId: string
	/** Incarnation of the worker that made the reservation; any other refuses. */
	readonly incarnation: string
	readonly epoch: number
	readonly generation: number
	readonly service: string
	readonly payload: string
	readonly declaredRunMs: number
	readonly checkpointable: boolean
	/** Checkpoint of an earlier attempt to resume from, as a fraction of the work. */
	readonly resumeFrom: number
}

export interface WorkerStatus {
	readonly epoch: number
	readonly generation: number
	readonly clockMs: number
	/** Identifies the state below. An answer to a renewal whose `knownRevision` equals it omits that state. */
	readonly revision: string
	readonly workerId?: string | undefined
	readonly incarnation?: string | undefined
	readonly capacity?: WorkerCapacity | undefined
	/** Undefined if only run times have changed since the renewal's `knownRevision`. */
	readonly tasks?: readonly TaskReport[] | undefined
}

export interface EndpointStatus {
	readonly endpointId: string
	readonly incarnation: string
	readonly slots: number
	readonly inUse: number
	readonly leaving: boolean
	readonly clockMs: number
}

export interface CallReport {
	readonly taskId: string
	readonly state: "unknown" | "running" | "completed" | "failed"
	readonly answer?: string | undefined
	readonly error?: string | undefined
}

export interface HostListAnswer {
	readonly version: number
	/** Undefined if the list still has the requested `knownVersion`. */
	readonly hosts?: readonly HostRecord[] | undefined
}

export const CommandKind = {
	tableRead: "table-read",
	tableScan: "table-scan",
	tableCommit: "table-commit",
	tableFollow: "table-follow",
	catalogFollow: "catalog-follow",
	workerList: "worker-list",
	nodeRenew: "node-renew",
	runStart: "start-run",
	runStop: "stop-run",
	objectPut: "object-put",
	objectGet: "object-get",
	hostList: "host-list",
	workerRenew: "worker-renew",
	workerReserve: "worker-reserve",
	workerStart: "worker-start",
	workerRelease: "worker-release",
	workerStop: "worker-stop",
	endpointStatus: "endpoint-status",
	endpointCall: "endpoint-call",
	endpointInspect: "endpoint-inspect",
	peerExchange: "peer-exchange",
	peerNotifyJob: "peer-notify-job"
} as const
export type CommandKind = (typeof CommandKind)[keyof typeof CommandKind]

export interface CommandTypes {
	"table-read": {request: {readonly keys: readonly string[]}; answer: readonly TableRow[]}
	"table-scan": {request: {readonly prefix: string}; answer: readonly TableRow[]}
	"table-commit": {request: {readonly writes: readonly RowWrite[]}; answer: CommitAnswer}
	"table-follow": {
		request: {
			readonly prefix: string
			/** Undefined for all rows. */
			readonly afterVersion: number | undefined
			/** How long the platform may hold the request open for a change. */
			readonly waitMs: number
		}
		answer: TableChanges
	}
	"catalog-follow": {
		request: {readonly afterVersion: number | undefined; readonly waitMs: number}
		answer: CatalogAnswer
	}
	"worker-list": {request: null; answer: WorkerListAnswer}
	"node-renew": {
		request: {
			readonly workerId: string
			readonly epoch: number
			/** End of the lease on the worker's clock; undefined reads the worker's state without renewing. */
			readonly leaseUntilMs: number | undefined
			/** Ends up to this position are durable in the table. */
			readonly acknowledged: number
			/** How long the worker may hold the request open for a run to end. */
			readonly waitMs: number
		}
		answer: LeaseAnswer
	}
	"start-run": {request: RunStart; answer: {readonly clockMs: number}}
	"stop-run": {
		request: {
			readonly taskId: string
			readonly run: number
			readonly epoch: number
			readonly workerId: string
		}
		answer: {readonly clockMs: number}
	}
	"object-put": {request: {readonly key: string; readonly body: string}; answer: null}
	"object-get": {request: {readonly key: string}; answer: string | null}
	"host-list": {
		request: {
			/** Version of the list that this host has; 0 if it has none. */
			readonly knownVersion: number
		}
		answer: HostListAnswer
	}
	"worker-renew": {
		request: {
			readonly holder: string
			readonly epoch: number
			readonly generation: number
			readonly leaseMs: number
			/** End of the start permit on the worker's clock; 0 grants none. */
			readonly permitUntilMs: number
			/** Revision that the holder has; undefined requests the whole state. */
			readonly knownRevision?: string | undefined
		}
		answer: WorkerStatus
	}
	"worker-reserve": {
		request: {
			readonly taskId: string
			readonly jobId: string
			readonly incarnation: string
			readonly epoch: number
			readonly generation: number
			readonly accelerators: readonly number[]
			readonly shape: GangShape
			readonly ttlMs: number
		}
		answer: TaskReport
	}
	"worker-start": {request: TaskStart; answer: TaskReport}
	"worker-release": {request: {readonly taskId: string; readonly epoch: number}; answer: null}
	"worker-stop": {
		request: {
			readonly taskId: string
			readonly incarnation: string
			readonly epoch: number
			readonly reason: string
			/** Takes a checkpoint before the stop if the task supports it. */
			readonly checkpointFirst: boolean
		}
		answer: TaskReport
	}
	"endpoint-status": {request: null; answer: EndpointStatus}
	"endpoint-call": {
		request: {
			readonly taskId: string
			readonly incarnation: string
			readonly epoch: number
			readonly generation: number
			readonly service: string
			readonly payload: string
			/** Latest start time on the endpoint's clock. */
			readonly startByMs: number
		}
		answer: CallReport
	}
	"endpoint-inspect": {
		request: {readonly taskId: string; readonly incarnation: string}
		answer: CallReport
	}
	"peer-exchange": {request: PeerQuery; answer: PeerStatus}
	"peer-notify-job": {request: {readonly notices: readonly JobNotice[]}; answer: null}
}

interface CommandOf<K extends CommandKind> {
	readonly id: string
	readonly kind: K
	/** Name of the controller that receives the completion. */
	readonly owner: string
	/** Chosen by the owner to identify what the command is for, such as a job id. */
	readonly subject: string
	/** Base URL of the receiver; empty for the platform. */
	readonly target: string
	readonly request: CommandTypes[K]["request"]
	readonly timeoutMs: number
	/** Monotonic time at which the command was issued. */
	readonly issuedAt: number
}
export type Command<K extends CommandKind = CommandKind> = {[P in K]: CommandOf<P>}[K]

interface CompletionOf<K extends CommandKind> {
	readonly command: CommandOf<K>
	readonly result: Result<CommandTypes[K]["answer"], CallError>
}
export type Completion<K extends CommandKind = CommandKind> = {[P in K]: CompletionOf<P>}[K]

type WithoutId<T> = T extends unknown ? Omit<T, "id"> : never
/** A command before the board assigns its id. */
export type NewCommand<K extends CommandKind = CommandKind> = WithoutId<Command<K>>
