/** Stable codes of every refusal, retry and end, as callers, logs and counters show them. */
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
	/** No free room for the gang now. */
	noRoom: "no-room",
	/** There is room, but taking it would leave a guaranteed shape without a place. */
	guaranteeAtRisk: "guarantee-at-risk",
	/** Room is being freed for the job. */
	awaitingReclaim: "awaiting-reclaim",
	/** Borrowers did not give the room back in time. */
	reclaimTimedOut: "reclaim-timed-out",
	/** Lower-class work made way for urgent work. */
	preempted: "preempted",
	workerLeaving: "worker-leaving",
	/** Another member of the same gang is gone or being stopped. */
	gangStopped: "gang-stopped",
	/** Work was moved so that free accelerators join into larger blocks. */
	defragmented: "defragmented"
} as const
export type ReasonCode = (typeof ReasonCode)[keyof typeof ReasonCode]

/** Codes with which workers and endpoints refuse. */
export const RefusalCode = {
	staleEpoch: "stale-epoch",
	staleGeneration: "stale-generation",
	permitLapsed: "permit-lapsed",
	notReserved: "not-reserved",
	alreadyRan: "already-ran",
	noRoom: "no-room",
	endpointLeaving: "endpoint-leaving",
	/** Meant for an earlier life of the process. */
	otherIncarnation: "other-incarnation",
	/** The other side is overloaded or unhealthy; nothing was done. */
	unavailable: "unavailable",
	/** The changes that were asked for are no longer kept: everything has to be read again. */
	historyLost: "history-lost",
	/** The queue's policy was not asked about this worker, or too long ago. */
	adviceMissing: "advice-missing",
	malformed: "malformed"
} as const
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode]

/** Refusals of a start that prove that the task never ran and never will. */
export const NEVER_RAN_CODES: ReadonlySet<string> = new Set<string>([
	RefusalCode.permitLapsed,
	RefusalCode.notReserved,
	RefusalCode.staleGeneration
])
