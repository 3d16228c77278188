/** Exit codes of the tool, as listed in docs/OPERATIONS.md. */
import {
	MalformedError,
	OutcomeKind,
	type JobView,
	JobState,
	RanState,
	ReasonCode
} from "../internal.js"
import {HostUnreachableError, ProblemError} from "./client.js"

export const ExitCode = {
	ok: 0,
	/** A host refused; nothing was changed. */
	refused: 1,
	/** An argument, a file or a key is invalid; nothing was changed. */
	usage: 2,
	unreachable: 3,
	/** The generation is taken, or the idempotency key was used for another job. */
	conflict: 4,
	/** The job ended without completing. */
	notCompleted: 5,
	/** The request may have taken effect: retry with the same key or bundle. */
	unknown: 6,
	/** Rolled out, but not yet in force in every zone. */
	notAdopted: 7
} as const
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]

const CONFLICTS: readonly unknown[] = [ReasonCode.generationConflict, ReasonCode.keyConflict]

export function findExitCode(error: Error): ExitCode {
	if (error instanceof MalformedError) return ExitCode.usage
	if (error instanceof HostUnreachableError) return ExitCode.unreachable
	if (!(error instanceof ProblemError)) return ExitCode.refused
	const {reason, ran} = error.problem
	if (CONFLICTS.includes(reason)) return ExitCode.conflict
	if (reason === ReasonCode.answerLost && ran === RanState.unknown) return ExitCode.unknown
	return ExitCode.refused
}

export function findJobExitCode({state, outcome}: JobView): ExitCode {
	if (state !== JobState.ended) return ExitCode.ok
	return outcome?.kind === OutcomeKind.completed ? ExitCode.ok : ExitCode.notCompleted
}
