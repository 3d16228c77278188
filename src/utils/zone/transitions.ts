/** Applies transitions to job records, by pure functions that can be tested individually. */
import {err, ok, type Result} from "neverthrow"
import {
	type JobRecord,
	type Outcome,
	type Transition,
	ANSWER_INLINE_MAX_BYTES,
	JobState,
	OutcomeKind,
	RanState,
	ReasonCode,
	RefusalError,
	TransitionKind
} from "../../internal.js"

/** True for transitions that only the zone's holder may make. */
export function isHolderTransition(transition: Transition): boolean {
	return (
		transition.kind !== TransitionKind.accept && transition.kind !== TransitionKind.requestCancel
	)
}

export function applyTransition(
	transition: Transition,
	record: JobRecord | undefined,
	epoch: number,
	writeId: string
): Result<JobRecord, RefusalError> {
	if (transition.kind === TransitionKind.accept) return ok({...transition.record, writeId})
	if (record === undefined) return err(new RefusalError(ReasonCode.notFound, "no such job"))
	if (record.state === JobState.ended)
		return err(new RefusalError(ReasonCode.alreadyEnded, "the job has already ended"))
	switch (transition.kind) {
		case TransitionKind.claim:
			return applyClaim(transition, record, epoch, writeId)
		case TransitionKind.requeue:
			return ok({
				...record,
				state: JobState.queued,
				claim: undefined,
				attempts: record.attempts - (transition.counted ? 0 : 1),
				ran: mergeRan(record.ran, transition.ran),
				checkpoint: Math.max(record.checkpoint, transition.checkpoint),
				writeId
			})
		case TransitionKind.end:
			if (transition.onlyIfQueued && record.state !== JobState.queued)
				return err(new RefusalError(ReasonCode.alreadyClaimed, "the job may have started"))
			return ok({
				...record,
				state: JobState.ended,
				outcome: correctOutcome(record, transition.outcome),
				writeId
			})
		case TransitionKind.rehome:
			return applyRehome(transition, record, writeId)
		case TransitionKind.requestCancel:
			return ok({...record, cancelRequested: true, writeId})
	}
}

function mergeRan(before: RanState, attempt: RanState): RanState {
	if (before === RanState.yes || attempt === RanState.yes) return RanState.yes
	return before === RanState.no ? attempt : before
}

/** A job whose earlier attempt ran is never ended as not run. */
function correctOutcome(record: JobRecord, outcome: Outcome): Outcome {
	if (outcome.kind !== OutcomeKind.notRun || record.ran === RanState.no) return outcome
	return {...outcome, kind: record.ran === RanState.yes ? OutcomeKind.failed : OutcomeKind.unknown}
}

/** The answer that has to be in the object store before the transition may be written, or undefined. */
export function findLargeAnswer(transition: Transition): string | undefined {
	if (transition.kind !== TransitionKind.end) return undefined
	const {answer} = transition.outcome
	if (answer === undefined || Buffer.byteLength(answer) <= ANSWER_INLINE_MAX_BYTES) return undefined
	return answer
}

/** Replaces the answer of an end by a reference to it. */
export function replaceAnswer(transition: Transition, answerRef: string): Transition {
	if (transition.kind !== TransitionKind.end) return transition
	return {...transition, outcome: {...transition.outcome, answer: undefined, answerRef}}
}

/** Only a job with no start claim may move: it does not run, and a claim that races this write fails. */
function applyRehome(
	transition: Extract<Transition, {kind: "rehome"}>,
	record: JobRecord,
	writeId: string
): Result<JobRecord, RefusalError> {
	if (record.state !== JobState.queued)
		return err(new RefusalError(ReasonCode.alreadyClaimed, "the job may have started"))
	const {zone, waitedMs} = transition
	return ok({
		...record,
		zone,
		movedFrom: record.zone,
		waitedMs: Math.max(0, waitedMs),
		writeId
	})
}

function applyClaim(
	transition: Extract<Transition, {kind: "claim"}>,
	record: JobRecord,
	epoch: number,
	writeId: string
): Result<JobRecord, RefusalError> {
	if (record.cancelRequested)
		return err(new RefusalError(ReasonCode.cancelled, "cancelled by its caller"))
	if (record.state !== JobState.queued || transition.claim.epoch !== epoch)
		return err(new RefusalError(ReasonCode.staleEpoch, "claimed by another holder"))
	const {claim} = transition
	return ok({...record, state: JobState.claimed, attempts: claim.attempt, claim, writeId})
}
