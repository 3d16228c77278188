/**
 * Commands are the effects that controllers ask for; adapters carry them out and post a completion. Neither
 * side knows the wire: a command names what is wanted, a completion what came of it.
 */
import {type Result} from "neverthrow"
import {
	type CallError,
	type CatalogAnswer,
	type GangShape,
	type HostRecord,
	type JobNotice,
	type LeaseAnswer,
	type PeerNews,
	type PeerQuestion,
	type TaskReport,
	type WorkerCapacity,
	type WorkerListAnswer
} from "../internal.js"

/** One row of the platform's table; a version of 0 means the row is absent. */
export interface TableRow {
	readonly key: string
	readonly version: number
	readonly value: string
}

/** In place of a version: the write holds whatever the row's version is. */
export const ANY_VERSION = -1

/** Writes `value` where the row still has `ifVersion`; null deletes the row, undefined only checks its version. */
export interface RowWrite {
	readonly key: string
	readonly ifVersion: number
	readonly value: string | null | undefined
}

/** Either every write took effect, with the new version of each, or none did and the conflicting rows are given. */
export type CommitAnswer =
	| {readonly committed: true; readonly versions: readonly number[]}
	| {readonly committed: false; readonly conflicts: readonly TableRow[]}

/** Rows under a prefix that changed since a version, or all of them; a version of 0 marks a deleted row. */
export interface TableChanges {
	readonly rows: readonly TableRow[]
	/** Version from which to follow on. */
	readonly version: number
	readonly isComplete: boolean
}

/** One start of one task on a worker that keeps a lease and takes no reservations. */
export interface RunStart {
	readonly taskId: string
	readonly run: number
	readonly payload: string
	/** Empty for none. */
	readonly checkpoint: string
	/** End of the worker's lease in its own clock. */
	readonly leaseUntilMs: number
	readonly epoch: number
	/** The worker that is meant; any other at the same address refuses. */
	readonly workerId: string
}

export interface TaskStart {
	readonly taskId: string
	readonly jobId: string
	/** Life of the worker that the reservation was made in; any other refuses. */
	readonly incarnation: string
	readonly epoch: number
	readonly generation: number
	readonly service: string
	readonly payload: string
	readonly declaredRunMs: number
	readonly checkpointable: boolean
	/** Checkpoint of an earlier attempt to go on from, as a fraction done. */
	readonly resumeFrom: number
}

export interface WorkerStatus {
	readonly epoch: number
	readonly generation: number
	readonly clockMs: number
	/** Names this state of all that follows; a renewal that names it in turn is answered without that. */
	readonly revision: string
	readonly workerId?: string | undefined
	readonly incarnation?: string | undefined
	readonly capacity?: WorkerCapacity | undefined
	/** Undefined where nothing but run times has changed since the revision that the holder named. */
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
	/** Undefined where the list still has the version that the host named. */
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
			/** How long the answer may wait for a change. */
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
			/** End of the lease in the worker's own clock; undefined to look without renewing. */
			readonly leaseUntilMs: number | undefined
			/** Ends up to this position are durable here. */
			readonly acknowledged: number
			/** How long the answer may wait for a run to end. */
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
			/** Version of the list that the host has; 0 for none. */
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
			/** End of the start permit in the worker's own clock; 0 gives none. */
			readonly permitUntilMs: number
			/** Revision of the tasks that the holder has; undefined to be told of all. */
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
			/** Take a checkpoint first, if the task can. */
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
			/** Last moment to start, in the endpoint's own clock. */
			readonly startByMs: number
		}
		answer: CallReport
	}
	"endpoint-inspect": {
		request: {readonly taskId: string; readonly incarnation: string}
		answer: CallReport
	}
	"peer-exchange": {request: PeerQuestion; answer: PeerNews}
	"peer-notify-job": {request: {readonly notices: readonly JobNotice[]}; answer: null}
}

interface CommandOf<K extends CommandKind> {
	readonly id: string
	readonly kind: K
	/** Name of the controller that takes the completion. */
	readonly owner: string
	/** What the owner wants this for, such as a job id. */
	readonly subject: string
	/** Base URL of the target; empty for the platform. */
	readonly target: string
	readonly request: CommandTypes[K]["request"]
	readonly timeoutMs: number
	/** Monotonic time when the command was issued. */
	readonly issuedAt: number
}
export type Command<K extends CommandKind = CommandKind> = {[P in K]: CommandOf<P>}[K]

interface CompletionOf<K extends CommandKind> {
	readonly command: CommandOf<K>
	readonly result: Result<CommandTypes[K]["answer"], CallError>
}
export type Completion<K extends CommandKind = CommandKind> = {[P in K]: CompletionOf<P>}[K]

type WithoutId<T> = T extends unknown ? Omit<T, "id"> : never
/** A command before the board gives it an id. */
export type NewCommand<K extends CommandKind = CommandKind> = WithoutId<Command<K>>
