/**
 * Work of several steps. A workflow is accepted whole; each of its occurrences runs every step once, a step runs
 * its tasks, and each try of a task is a run. A job of the product's own API is the special case of one step.
 */
import {type WorkerRegistration} from "../internal.js"

/** What one task takes of a worker while it runs. */
export interface ResourceDemand {
	readonly cpuMillis: number
	readonly memoryMb: number
	readonly accelerators: number
}

export interface StepSpec {
	readonly tasks: number
	readonly demand: ResourceDemand
	/** The caller's own estimate of one task; often far off. */
	readonly estimateMs: number
	/** Earlier steps, counted from 0, that must be done first. */
	readonly after: readonly number[]
	readonly checkpoints: boolean
	/** All tasks run together or none does. */
	readonly gang: boolean
	/** The tasks slow each other down when they are spread over several racks. */
	readonly tightlyCoupled: boolean
	readonly requiredLabel: string | undefined
	/** Rack that holds the step's data; tasks are slower in any other. */
	readonly dataRack: string | undefined
	readonly maxPerWorker: number | undefined
	/** Copies of a task may run at once, and the first that finishes counts. */
	readonly duplicatesAllowed: boolean
	/** Runs until the workflow is cancelled, and is started again however it ends. */
	readonly longRunning: boolean
	readonly image: string | undefined
	/** Bound on the tail of the response times of a long-running task. */
	readonly targetMs: number | undefined
	/** Takes only the processor time that other tasks leave idle. */
	readonly usesIdleCpu: boolean
	/** Tasks of a long-running step that may be down at once by the scheduler's own doing. */
	readonly maxUnavailable: number | undefined
}

/** Occurrence k is due at `firstDueWallMs` + k × `intervalMs`, in Unix milliseconds. */
export interface WorkflowSchedule {
	readonly firstDueWallMs: number
	readonly intervalMs: number
	readonly occurrences: number
}

export interface WorkflowSpec {
	/** Opaque to the scheduler; each task gets it as it is. */
	readonly payload: string
	readonly steps: readonly StepSpec[]
	readonly schedule: WorkflowSchedule | undefined
}

/** The durable record of an accepted workflow, with what its queue asked for when it was accepted. */
export interface WorkflowRecord {
	readonly id: string
	readonly workspace: string
	readonly queue: string
	readonly service: string
	/** 0 comes first. */
	readonly priority: number
	/** Failed runs of one task after which the workflow has failed. */
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
	/** No run of it is on any worker. */
	waiting: "waiting",
	/** A run is chosen and being made durable; its start has not been sent. */
	planned: "planned",
	/** Its start was sent, or an earlier holder may have sent it. */
	starting: "starting",
	running: "running",
	/** Being stopped, or ruled out after a start without an answer; it may still run. */
	stopping: "stopping",
	done: "done"
} as const
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase]

/** One task of an occurrence; `run`, `workerId` and `incarnation` name its latest run. */
export interface TaskProgress {
	phase: TaskPhase
	run: number
	workerId: string
	incarnation: string
	failures: number
	/** Latest checkpoint that a worker reported; empty for none. */
	checkpoint: string
	/** Revision of the occurrence at which this run was planned: its start waits until that is durable. */
	plannedRevision: number
	/** Monotonic time at which the latest order about this run was sent. */
	orderedAt: number
	/** Monotonic time at which the latest order was acknowledged; undefined while it is not. */
	acknowledgedAt: number | undefined
	/** Starts of this run that were sent. */
	starts: number
	percent: number
	/** Monotonic time at which `percent` last changed. */
	progressAt: number
	/** Monotonic time at which the run was first known to run. */
	startedAt: number
	/** Workers that this task failed on, latest last. */
	readonly failedOn: string[]
}

export interface StepProgress {
	readonly tasks: TaskProgress[]
	/** Failed runs of the gang as a whole; unused where tasks run alone. */
	gangFailures: number
	/** Run of the gang whose failure was counted last. */
	gangFailedRun: number
	/** No new run before this monotonic time. */
	notBefore: number
}

export interface Occurrence {
	readonly key: string
	readonly index: number
	readonly dueWallMs: number
	readonly steps: StepProgress[]
	/** Version of its row in the table; 0 before the first write. */
	rowVersion: number
	/** Counts changes that have to be durable. */
	revision: number
	/** The latest revision that the table holds. */
	savedRevision: number
}

/** A workflow as its holder follows it. */
export interface WorkflowEntry {
	readonly record: WorkflowRecord
	readonly occurrences: Map<number, Occurrence>
	/** Estimated time from the start of each step to the end of the last one that depends on it. */
	readonly chainsMs: readonly number[]
	state: WorkflowState
	savedState: WorkflowState
	stateVersion: number
	/** Occurrences that are done. */
	completedOccurrences: number
	cancelRequested: boolean
	/** Monotonic time when this holder first saw it. */
	readonly seenAt: number
	/** Monotonic time that stands for the acceptance, for the order of the queue. */
	readonly acceptedAt: number
	endedAt: number | undefined
	pendingRemoved: boolean
}

/** How a run ended, as its worker lists it. */
export const RunEnd = {
	done: "done",
	/** By its own fault or the worker's. */
	failed: "failed",
	stopped: "stopped",
	/** The worker's lease ran out. */
	lapsed: "lapsed",
	/** Another member of its gang ended. */
	memberLost: "member-lost",
	/** The other members of its gang did not come in time. */
	incomplete: "incomplete"
} as const
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd]

export interface RunningReport {
	readonly taskId: string
	readonly run: number
	readonly checkpoint: string
	readonly percent: number
	/** Rough load of the last half second: tail of response times in ms for a task with a target, else CPU millis. */
	readonly load: number | undefined
}

export interface EndReport {
	/** Position in the worker's list of ends, from 1 in each incarnation. */
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
}

/** What a worker last listed about its runs. */
export interface NodeReport {
	/** Monotonic time at which the answered renewal was sent: whatever it lists was true later than that. */
	readonly sentAt: number
	readonly receivedAt: number
	readonly running: readonly RunningReport[]
	readonly ends: readonly EndReport[]
}

/** A worker as the holder of the domain follows it. */
export interface NodeEntry {
	readonly registration: WorkerRegistration
	/** False once the worker is no longer registered. */
	readonly listed: boolean
	/** Its current incarnation as it last said itself; undefined until it has answered this holder. */
	readonly incarnation: string | undefined
	/** The worker's own clock in its last answer, and when that arrived here. */
	readonly clockMs: number
	readonly clockReadAt: number
	/** Monotonic time of the last answer. */
	readonly answeredAt: number
	/** Monotonic time by which everything that this or an earlier holder left there has lapsed, unless renewed. */
	readonly lapsesAt: number
	readonly failures: number
	/** Monotonic time until which a draining worker stays at least; undefined where it does not say. */
	readonly leavesAt: number | undefined
}

/** Up to which position the ends of an incarnation are durable here, so that the worker may forget them. */
export interface EndAcknowledgement {
	readonly incarnation: string
	readonly position: number
}

/** What a worker's runs so far speak against it. */
export interface NodeHealth {
	/** Workflows that failed on it since its last success. */
	readonly failedWorkflows: readonly string[]
	/** It gets no new runs before this monotonic time. */
	readonly closedUntil: number
	/** It gets new runs only where no other worker can, before this monotonic time. */
	readonly doubtedUntil: number
	/** Runs on it that its holder knows nothing of. */
	readonly foreignRuns: readonly {readonly taskId: string; readonly run: number}[]
}

/** A holder's term, from when it knows the domain's workflows. */
export interface TermEntry {
	readonly epoch: number
	readonly loadedAt: number
}

/** A caller's request for the number of a queue's workflows that have not begun. */
export interface CountRequest {
	readonly queue: string
	/** Monotonic time of its arrival. */
	readonly arrivedAt: number
}
