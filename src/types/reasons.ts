/** Stable codes of refusals, retries and ends, as they appear to callers and in logs and counters. */
export const ReasonCode = {
	malformed: "malformed",
	unauthenticated: "unauthenticated",
	forbidden: "forbidden",
	notFound: "not-found",
	unknownWorkflow: "unknown-workflow",
	keyConflict: "key-conflict",
	unknownWorkspace: "unknown-workspace",
	overQuota: "over-quota",
	neverFits: "never-fits",
	queueFull: "queue-full",
	noZoneInService: "no-zone-in-service",
	zoneOut: "zone-out",
	noBundle: "no-bundle",
	platformUnavailable: "platform-unavailable",
	answerLost: "answer-lost",
	stopping: "stopping",
	cancelled: "cancelled",
	deadlinePassed: "deadline-passed",
	holderLost: "holder-lost",
	workerLost: "worker-lost",
	workerRefused: "worker-refused",
	endpointLeaving: "endpoint-leaving",
	taskFailed: "task-failed",
	attemptsExhausted: "attempts-exhausted",
	reclaimed: "reclaimed",
	generationConflict: "generation-conflict",
	badSignature: "bad-signature",
	staleGeneration: "stale-generation",
	staleEpoch: "stale-epoch",
	alreadyEnded: "already-ended",
	alreadyClaimed: "already-claimed",
	permitLapsed: "permit-lapsed",
	guaranteesDoNotFit: "guarantees-do-not-fit",
	/** Not enough free capacity for the gang at present. */
	noRoom: "no-room",
	/** Capacity is free, but using it would leave a guaranteed shape without a placement. */
	guaranteeAtRisk: "guarantee-at-risk",
	/** Capacity is being reclaimed for the job. */
	awaitingReclaim: "awaiting-reclaim",
	/** Borrowers did not stop in time. */
	reclaimTimedOut: "reclaim-timed-out",
	/** Work of a lower class was stopped for urgent work. */
	preempted: "preempted",
	workerLeaving: "worker-leaving",
	/** Another member of the same gang was lost or is being stopped. */
	gangStopped: "gang-stopped",
	/** Work was moved to join free accelerators into larger blocks. */
	defragmented: "defragmented"
} as const
export type ReasonCode = (typeof ReasonCode)[keyof typeof ReasonCode]

/** Codes in refusals by workers, endpoints and the platform. */
export const RefusalCode = {
	staleEpoch: "stale-epoch",
	staleGeneration: "stale-generation",
	permitLapsed: "permit-lapsed",
	notReserved: "not-reserved",
	alreadyRan: "already-ran",
	noRoom: "no-room",
	endpointLeaving: "endpoint-leaving",
	/** The request names another incarnation of the process. */
	otherIncarnation: "other-incarnation",
	/** The receiver is overloaded or unhealthy; the request had no effect. */
	unavailable: "unavailable",
	/** The requested changes are no longer kept; the caller must read all rows again. */
	historyLost: "history-lost",
	/** The queue's policy was not consulted about this worker, or the advice has expired. */
	adviceMissing: "advice-missing",
	malformed: "malformed"
} as const
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode]

/** Refusals of a start after which the task cannot have run and will not run. */
export const NEVER_RAN_CODES: ReadonlySet<string> = new Set<string>([
	RefusalCode.permitLapsed,
	RefusalCode.notReserved,
	RefusalCode.staleGeneration
])
