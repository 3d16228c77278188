/** Refusals as problem responses (RFC 9457); the status of every reason code in one place. */
import {type Context} from "hono"
import {type ContentfulStatusCode} from "hono/utils/http-status"
import {
	type Board,
	type Refusal,
	MAX_BODY_BYTES,
	RanState,
	ReasonCode,
	buildRefusal
} from "../internal.js"

const UNAVAILABLE_STATUS = 503
/** Name under which a request's context holds the reason of its refusal. */
export const PROBLEM_REASON = "problemReason"

const PROBLEM_TYPE_PREFIX = "urn:cardamomhook:problem:"

/** Status of a refusal; a reason that is not listed here is answered with 503. */
const STATUS_OF_REASON: Partial<Record<ReasonCode, ContentfulStatusCode>> = {
	[ReasonCode.malformed]: 400,
	[ReasonCode.unauthenticated]: 401,
	[ReasonCode.forbidden]: 403,
	[ReasonCode.unknownWorkspace]: 403,
	[ReasonCode.notFound]: 404,
	[ReasonCode.keyConflict]: 409,
	[ReasonCode.generationConflict]: 409,
	[ReasonCode.alreadyEnded]: 409,
	[ReasonCode.unknownWorkflow]: 410,
	[ReasonCode.badSignature]: 422,
	[ReasonCode.neverFits]: 422,
	[ReasonCode.guaranteesDoNotFit]: 422,
	[ReasonCode.overQuota]: 429,
	[ReasonCode.queueFull]: 429
}

export function findStatus(reason: ReasonCode): ContentfulStatusCode {
	return STATUS_OF_REASON[reason] ?? UNAVAILABLE_STATUS
}

/** Sends the refusal, and leaves its reason with the request for the counters. */
export function sendProblem(context: Context, refusal: Refusal): Response {
	const {reason, detail, ran, askAgain, jobId} = refusal
	context.set(PROBLEM_REASON, reason)
	const status = findStatus(reason)
	const type = `${PROBLEM_TYPE_PREFIX}${reason}`
	const problem = {type, title: reason, status, detail, reason, ran, askAgain, jobId}
	return context.body(JSON.stringify(problem), status, {
		"content-type": "application/problem+json"
	})
}

export function createMalformed(detail: string): Refusal {
	return buildRefusal(ReasonCode.malformed, RanState.no, detail)
}

export function createTooLarge(): Refusal {
	return createMalformed(`a body of more than ${MAX_BODY_BYTES} bytes`)
}

/** Callers are known from the bundle: without one, nobody can be told apart, nor told what became of a request. */
export function createUnauthenticated(board: Board): Refusal {
	if (!board.bundle.has("current")) return buildRefusal(ReasonCode.noBundle, RanState.unknown)
	return buildRefusal(ReasonCode.unauthenticated, RanState.no, "the token is not known")
}

export function createOperatorsOnly(): Refusal {
	return buildRefusal(ReasonCode.forbidden, RanState.no, "an operator's token is needed")
}

export function createCallersOnly(): Refusal {
	return buildRefusal(
		ReasonCode.forbidden,
		RanState.no,
		"the token of a workspace's caller is needed"
	)
}
