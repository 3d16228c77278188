/** Routes of a workspace's callers: submit, get, wait, list and cancel jobs. */
import {type Hono, type Context} from "hono"
import {
	type Board,
	type Identity,
	MAX_WAIT_MS,
	RequestKind,
	checkValue,
	findIdentity,
	jobSpecSchema
} from "../internal.js"
import {type Gateway} from "./gateway.js"
import {readJson, readNumber, readToken, sendReplyTo} from "./http-exchange.js"
import {
	createCallersOnlyRefusal,
	createMalformedRefusal,
	createUnauthenticatedRefusal,
	sendProblem
} from "./problems.js"

const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/

type CallerHandler = (context: Context, identity: Identity) => Response | Promise<Response>

export function addCallerRoutes(app: Hono, board: Board, gateway: Gateway): void {
	app.post(
		"/v1/jobs",
		guardCallers(board, (context, identity) => submit(context, gateway, identity))
	)
	app.get(
		"/v1/jobs",
		guardCallers(board, (context, identity) =>
			sendReplyTo(context, gateway, {kind: RequestKind.list, identity})
		)
	)
	app.get(
		"/v1/jobs/:id",
		guardCallers(board, (context, identity) => getOrWait(context, gateway, identity))
	)
	app.post(
		"/v1/jobs/:id/cancel",
		guardCallers(board, (context, identity) => {
			const jobId = context.req.param("id") ?? ""
			return sendReplyTo(context, gateway, {kind: RequestKind.cancel, identity, jobId})
		})
	)
}

function guardCallers(board: Board, handle: CallerHandler) {
	return (context: Context): Response | Promise<Response> => {
		const identity = findIdentity(board, readToken(context))
		if (identity === undefined) return sendProblem(context, createUnauthenticatedRefusal(board))
		if (identity.operator) return sendProblem(context, createCallersOnlyRefusal())
		return handle(context, identity)
	}
}

async function submit(context: Context, gateway: Gateway, identity: Identity): Promise<Response> {
	const key = context.req.header("idempotency-key") ?? ""
	if (!KEY_PATTERN.test(key)) {
		const detail = "an Idempotency-Key header of 1 to 128 visible ASCII characters is required"
		return sendProblem(context, createMalformedRefusal(detail))
	}
	const spec = checkValue("job", jobSpecSchema, await readJson(context))
	if (spec.isErr()) return sendProblem(context, createMalformedRefusal(spec.error.message))
	return sendReplyTo(context, gateway, {
		kind: RequestKind.submit,
		identity,
		key,
		spec: spec.value
	})
}

function getOrWait(
	context: Context,
	gateway: Gateway,
	identity: Identity
): Response | Promise<Response> {
	const jobId = context.req.param("id") ?? ""
	const waitMs = readNumber(context, "waitMs", 0, Number.MAX_SAFE_INTEGER)
	if (waitMs === undefined)
		return sendProblem(
			context,
			createMalformedRefusal("waitMs must be a whole number of milliseconds")
		)
	if (waitMs === 0) return sendReplyTo(context, gateway, {kind: RequestKind.get, identity, jobId})
	return sendReplyTo(context, gateway, {
		kind: RequestKind.wait,
		identity,
		jobId,
		waitMs: Math.min(MAX_WAIT_MS, waitMs)
	})
}
