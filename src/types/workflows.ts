/**
 * Work of several steps. A workflow is accepted as a whole. Each of its occurrences runs every step once, a step
 * consists of tasks, and each attempt of a task is a run. A job of the caller API is the special case of one step.
 */
import {
	type IndexRanges,
	type ReleasedRun,
	type WorkerRegistration,
	type WorkflowForecast
} from "../internal.js"

/** Resources of a worker that one task uses while it runs. */
export interface ResourceDemand {
	readonly cpuMillis: number
	readonly memoryMb: number
	readonly accelerators: number
}

export interface StepSpec {
	readonly tasks: number
	readonly demand: ResourceDemand
	/** The caller's estimate of the run time of one task; often off by factors. Decisions read the workflow's forecast. */
	readonly estimateMs: number
	/** Indices, from 0, of the earlier steps that must be done first. */
	readonly after: readonly number[]
	readonly checkpoints: boolean
	/** Either all tasks run together or none runs. */
	readonly gang: boolean
	/** The tasks run slower if they are spread over several racks. */
	readonly tightlyCoupled: boolean
	readonly requiredLabel: string | undefined
	/** Rack that holds the step's data; tasks run slower in any other. */
	readonly dataRack: string | undefined
	readonly maxPerWorker: number | undefined
	/** Copies of a task may run at the same time; the first one to finish counts. */
	readonly duplicatesAllowed: boolean
	/** Runs until the workflow is cancelled, and is restarted whenever it ends. */
	readonly longRunning: boolean
	readonly image: string | undefined
	/** Upper bound of the tail latency of a long-running task. */
	readonly targetMs: number | undefined
	/** Uses only CPU time that other tasks leave idle. */
	readonly usesIdleCpu: boolean
	/** Most tasks of a long-running step that the scheduler may stop at the same time. */
	readonly maxUnavailable: number | undefined
}

/** Occurrence k is due at `firstDueWallMs` + k × `intervalMs`, in Unix milliseconds. */
export interface WorkflowSchedule {
	readonly firstDueWallMs: number
	readonly intervalMs: number
	readonly occurrences: number
}

export interface WorkflowSpec {
	/** Opaque to the scheduler; passed unchanged to each task. */
	readonly payload: string
	readonly steps: readonly StepSpec[]
	readonly schedule: WorkflowSchedule | undefined
}

/** The durable record of an accepted workflow, with its queue's configuration at acceptance. */
export interface WorkflowRecord {
	readonly id: string
	readonly workspace: string
	readonly queue: string
	/** True if its queue needed no key at acceptance; absent in records of earlier versions. */
	readonly isPublic?: boolean
	readonly service: string
	/** 0 is the highest. */
	readonly priority: number
	/** Number of failed runs of one task after which the workflow fails. */
	readonly maxAttempts: number
	readonly acceptedAtWallMs: number
	readonly spec: WorkflowSpec
}

export const WorkflowState = {
	queued: "queued",
	running: "running",
	completed: "completed",
	failed: "failed",
	cancelled: "cancelled"
} as const
export type WorkflowState = (typeof WorkflowState)[keyof typeof WorkflowState]

export function isFinal(state: WorkflowState): boolean {
	return state !== WorkflowState.queued && state !== WorkflowState.running
}

export const TaskPhase = {
	/** No run is on a worker. */
	waiting: "waiting",
	/** A run is placed and its record is being committed; its start has not been sent. */
	planned: "planned",
	/** The start was sent, or an earlier holder may have sent it. */
	starting: "starting",
	running: "running",
	/** The run is being stopped, or was given up after an unanswered start; it may still run. */
	stopping: "stopping",
	done: "done"
} as const
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase]

/** The state of one task of an occurrence; `run`, `workerId` and `incarnation` identify its latest run. */
export interface TaskProgress {
	phase: TaskPhase
	run: number
	workerId: string
	incarnation: string
	failures: number
	/** Latest checkpoint that a worker reported; empty if there is none. */
	checkpoint: string
	/** Revision of the occurrence that planned this run; the start is sent once that revision is durable. */
	plannedRevision: number
	/** Monotonic time at which the latest start or stop of this run was sent. */
	orderedAt: number
	/** Monotonic time at which that start or stop was acknowledged; undefined until then. */
	acknowledgedAt: number | undefined
	/** Number of starts sent for this run. */
	starts: number
	/** Number of those without an answer, which a worker may still carry out. */
	openStarts: number
	percent: number
	/** Monotonic time at which `percent` last changed. */
	progressAt: number
	/** Monotonic time at which this holder first saw the run as running, and its progress then: 0 if it had just begun. */
	startedAt: number
	startPercent: number
	/** Monotonic time at which this holder first saw its latest checkpoint; 0 without one of this term. */
	savedAt: number
	/** Core-seconds of work that earlier runs of the task have lost in this holder's term. */
	lostWork: number
	/** Why the scheduler stopped this run or, for a member of a gang, the run that it had to stop with. */
	stopCause: string | undefined
	/** The latest workers that this task failed on, oldest first. */
	readonly failedOn: string[]
	/** The run before the current one; undefined if there is none. */
	released: ReleasedRun | undefined
}

export interface StepProgress {
	readonly tasks: TaskProgress[]
	/** Number of failed runs of the gang; unused if the step is not a gang. */
	gangFailures: number
	/** Latest run of the gang that was counted as failed. */
	gangFailedRun: number
	/** Earliest monotonic time of a new run. */
	notBefore: number
}

export interface Occurrence {
	readonly key: string
	readonly index: number
	readonly dueWallMs: number
	readonly steps: StepProgress[]
	/** Versions of the occurrence's rows in the table, in their order; 0 for a row that is absent. */
	readonly rowVersions: number[]
	/** Incremented at each change that must become durable. */
	revision: number
	/** Latest revision written to the table. */
	savedRevision: number
}

/** A workflow's record with its state at the holder. */
export interface WorkflowEntry {
	readonly record: WorkflowRecord
	readonly occurrences: Map<number, Occurrence>
	/** Size of its record in the table. */
	readonly recordBytes: number
	/** What its steps are expected to take. */
	forecast: WorkflowForecast
	state: WorkflowState
	savedState: WorkflowState
	stateVersion: number
	/** Occurrences that are done, and how many of them the table has as done. */
	readonly done: IndexRanges
	savedDone: number
	cancelRequested: boolean
	/** Monotonic time at which this holder first saw the workflow. */
	readonly seenAt: number
	/** The acceptance time as monotonic time, for the order of the queue. */
	readonly acceptedAt: number
	endedAt: number | undefined
	pendingRemoved: boolean
}

/** How a run ended, as its worker reports it. */
export const RunEnd = {
	done: "done",
	/** The run or its worker failed. */
	failed: "failed",
	stopped: "stopped",
	/** The worker's lease expired. */
	lapsed: "lapsed",
	/** Another member of its gang ended. */
	memberLost: "member-lost",
	/** The other members of its gang did not start in time. */
	incomplete: "incomplete"
} as const
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd]

export interface RunningReport {
	readonly taskId: string
	readonly run: number
	readonly checkpoint: string
	readonly percent: number
	/** Approximate load of the last 0.5 s: tail latency in ms for a task with a target, otherwise CPU millis. */
	readonly load: number | undefined
}

export interface EndReport {
	/** Position in the worker's list of ended runs, from 1 in each incarnation. */
	readonly position: number
	readonly taskId: string
	readonly run: number
	readonly end: RunEnd
	readonly checkpoint: string
}

export interface LeaseAnswer {
	readonly incarnation: string
	readonly clockMs: number
	readonly running: readonly RunningReport[]
	readonly ends: readonly EndReport[]
	/** True if the list of ends may be cut short, so that a run that is not in the answer may have ended. */
	readonly mayHaveMoreEnds: boolean
}

/** The latest report of a worker about its runs. */
export interface NodeReport {
	/** Monotonic time at which the renewal was sent; the report describes a later state. */
	readonly sentAt: number
	readonly receivedAt: number
	readonly running: readonly RunningReport[]
	readonly ends: readonly EndReport[]
	readonly mayHaveMoreEnds: boolean
}

/** The state of a worker as the domain's holder knows it. */
export interface NodeEntry {
	readonly registration: WorkerRegistration
	/** False once the worker is no longer registered. */
	readonly listed: boolean
	/** The incarnation in the worker's last answer; undefined until it has answered this holder. */
	readonly incarnation: string | undefined
	/** The worker's clock in its last answer, and the steady time at which the answer arrived here. */
	readonly clockMs: number
	readonly clockReadAt: number
	/** Monotonic time of the last answer, and the address that it came from; undefined before the first one. */
	readonly answeredAt: number
	readonly answeredFrom: string | undefined
	/** The incarnation that answered from there, to this holder or to an earlier one. */
	readonly answeredAs: string | undefined
	/** Steady time by which, unless renewed, every lease granted by this or an earlier holder has expired. */
	readonly leaseExpiresAt: number
	readonly failures: number
	/** Steady time at which another worker answered at that address; undefined unless it has since the last answer. */
	readonly replacedAt: number | undefined
	/** Earliest monotonic time at which a draining worker leaves; undefined if the worker does not announce it. */
	readonly leavesAt: number | undefined
}

/** Position up to which the ends of an incarnation's runs are durable, so that the worker may delete them. */
export interface EndAcknowledgement {
	readonly incarnation: string
	readonly position: number
}

/** Failures of runs on a worker, and the placement restrictions that follow. */
export interface NodeHealth {
	/** Workflows whose runs failed on the worker, until a run that started after those failures succeeds there. */
	readonly failedWorkflows: readonly string[]
	/** Monotonic time at which the latest of those failures was reported. */
	readonly failedAt: number
	/** The worker gets no new runs before this monotonic time. */
	readonly quarantinedUntil: number
	/** Before this monotonic time, the worker gets new runs only if no other worker fits. */
	readonly suspectUntil: number
	/** Before this monotonic time the worker is known to be much slower than before, and is chosen last as well. */
	readonly slowUntil: number
	/** Time that the worker takes for a task, relative to other workers; 1 if it is not known. */
	readonly pace: number
	/** Runs on the worker that its holder has no record of. */
	readonly foreignRuns: readonly {readonly taskId: string; readonly run: number}[]
}

/** The holder's term, from the steady time at which it has loaded the domain's workflows. */
export interface TermEntry {
	readonly epoch: number
	readonly loadedAt: number
}

/** A caller's request for the number of a queue's workflows that have not started. */
export interface CountRequest {
	readonly queue: string
	/** Only public workflows are counted. */
	readonly isPublicOnly: boolean
	/** Monotonic arrival time. */
	readonly arrivedAt: number
}
