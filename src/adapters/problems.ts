/** Refusals as problem responses (RFC 9457), and the HTTP status of each reason code. */
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
/** Key of the refusal's reason in the request's context. */
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
	[ReasonCode.cancelled]: 410,
	[ReasonCode.badSignature]: 422,
	[ReasonCode.neverFits]: 422,
	[ReasonCode.guaranteesDoNotFit]: 422,
	[ReasonCode.overQuota]: 429,
	[ReasonCode.queueFull]: 429
}

export function findStatus(reason: ReasonCode): ContentfulStatusCode {
	return STATUS_OF_REASON[reason] ?? UNAVAILABLE_STATUS
}

/** Sends the refusal, and stores its reason in the request's context for the problem counter. */
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

export function createMalformedRefusal(detail: string): Refusal {
	return buildRefusal(ReasonCode.malformed, RanState.no, detail)
}

export function createTooLargeRefusal(): Refusal {
	return createMalformedRefusal(`the body has more than ${MAX_BODY_BYTES} bytes`)
}

/** Tokens are checked against the bundle; without one, neither the caller nor the request's outcome is known. */
export function createUnauthenticatedRefusal(board: Board): Refusal {
	if (!board.bundle.has("current")) return buildRefusal(ReasonCode.noBundle, RanState.unknown)
	return buildRefusal(ReasonCode.unauthenticated, RanState.no, "the token is unknown")
}

export function createOperatorsOnlyRefusal(): Refusal {
	return buildRefusal(ReasonCode.forbidden, RanState.no, "an operator's token is required")
}

export function createCallersOnlyRefusal(): Refusal {
	return buildRefusal(
		ReasonCode.forbidden,
		RanState.no,
		"the token of a workspace's caller is required"
	)
}
