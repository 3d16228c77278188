import {type Result} from "neverthrow"
import {
	type JobRecord,
	type Outcome,
	type RanState,
	type RefusalError,
	type StartClaim
} from "../internal.js"

/** Durable state transitions of a job; each is one conditional commit to the platform's table. */
export const TransitionKind = {
	accept: "accept",
	claim: "claim",
	/** Withdraws the claim, if the job did not start or is repeatable. */
	requeue: "requeue",
	/** Moves a queued job to another zone. */
	rehome: "rehome",
	end: "end",
	requestCancel: "request-cancel"
} as const
export type TransitionKind = (typeof TransitionKind)[keyof typeof TransitionKind]

interface TransitionBase {
	readonly id: string
	readonly jobId: string
	/** Name of the controller that receives the result. */
	readonly owner: string
	/** Monotonic time after which the ledger stops retrying; undefined for no limit. */
	readonly giveUpAt: number | undefined
}

export type Transition =
	| (TransitionBase & {readonly kind: typeof TransitionKind.accept; readonly record: JobRecord})
	| (TransitionBase & {readonly kind: typeof TransitionKind.claim; readonly claim: StartClaim})
	| (TransitionBase & {
			readonly kind: typeof TransitionKind.requeue
			readonly checkpoint: number
			/** Whether the attempt counts towards the job's limit of attempts. */
			readonly counted: boolean
			/** Whether any part of the attempt ran. */
			readonly ran: RanState
	  })
	| (TransitionBase & {
			readonly kind: typeof TransitionKind.end
			readonly outcome: Outcome
			/** Refused unless the job is still queued, so that a claimed job never ends as "not run". */
			readonly onlyIfQueued: boolean
	  })
	| (TransitionBase & {
			readonly kind: typeof TransitionKind.rehome
			readonly zone: string
			/** Total time that the job has been queued, in this zone and in earlier ones. */
			readonly waitedMs: number
	  })
	| (TransitionBase & {readonly kind: typeof TransitionKind.requestCancel})

/** The committed record, or why the transition was refused. */
export interface TransitionResult {
	readonly transition: Transition
	readonly result: Result<{record: JobRecord; version: number; created: boolean}, RefusalError>
}

type WithoutId<T> = T extends unknown ? Omit<T, "id"> : never
/** A transition before the board assigns its id. */
export type NewTransition = WithoutId<Transition>
