/** What keeps work from starting: for the log and the metrics, and for the decisions that check the same conditions. */

/** Conditions that hold a start, in the order in which it meets them. */
export const StartGate = {
	/** The term's workflows have not been read yet. */
	termNotLoaded: "term-not-loaded",
	catalogMissing: "catalog-missing",
	hostStopping: "host-stopping",
	/** Another host may have taken over. */
	termUnconfirmed: "term-unconfirmed",
	/** The operators' configuration may have changed. */
	catalogStale: "catalog-stale",
	/** An earlier run of the step may still be active. */
	runStopping: "run-stopping",
	/** Its run counts as running on a worker that doesn't answer, until the lease has expired. */
	workerUnanswered: "worker-unanswered",
	/** A start has been sent and not answered. */
	startUnanswered: "start-unanswered",
	/** The planned run is not durable yet. */
	planUnsaved: "plan-unsaved",
	/** The planned run is durable and waits for other starts to be answered. */
	startsInFlight: "starts-in-flight",
	/** The step was released moments ago. */
	retryDelayed: "retry-delayed",
	/** No worker that may be used has room, or room is being freed. */
	noRoom: "no-room"
} as const
export type StartGate = (typeof StartGate)[keyof typeof StartGate]

/** Why a worker gets no new runs. */
export const NodeGate = {
	unlisted: "unlisted",
	draining: "draining",
	/** It has not answered this holder yet, or not the latest call. */
	unanswered: "unanswered",
	/** Its registration and its answers are of different incarnations. */
	otherIncarnation: "other-incarnation",
	zoneOut: "zone-out",
	quarantined: "quarantined",
	/** It reports runs that its holder doesn't know. */
	foreignRuns: "foreign-runs"
} as const
export type NodeGate = (typeof NodeGate)[keyof typeof NodeGate]

/** What holds a workflow: the first task of the first step whose turn has come. */
export interface HeldTask {
	readonly gate: StartGate
	readonly taskId: string
	/** Number of its latest run; 0 before the first one. */
	readonly run: number
	/** Worker of a run that has to end or start first; undefined if nothing has been sent for the task. */
	readonly workerId: string | undefined
}

/** A workflow of which nothing runs though a step's turn has come. */
export interface StandstillEntry {
	readonly held: HeldTask
	/** Monotonic time since which its gate holds the workflow. */
	readonly gateSince: number
	/** Monotonic time since which nothing of the workflow runs. */
	readonly since: number
}
