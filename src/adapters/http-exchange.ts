/** Helpers of the caller and operator routes: reading a request and sending its reply. */
import {type Context} from "hono"
import {type Reply, InvariantError, ReplyKind} from "../internal.js"
import {type Gateway, type NewRequest} from "./gateway.js"
import {sendProblem} from "./problems.js"

export function readToken(context: Context): string {
	return (context.req.header("authorization") ?? "").replace(/^Bearer /, "")
}

/** The body as JSON; undefined, which no schema accepts, if it is not JSON. */
export async function readJson(context: Context): Promise<unknown> {
	try {
		return await context.req.json()
	} catch {
		return undefined
	}
}

/** A whole number from the query string: `fallback` if it is absent, undefined if it is invalid or above `max`. */
export function readNumber(
	context: Context,
	name: string,
	fallback: number,
	max: number
): number | undefined {
	const text = context.req.query(name)
	if (text === undefined) return fallback
	const value = Number(text)
	return Number.isInteger(value) && value >= 0 && value <= max ? value : undefined
}

export async function sendReplyTo(
	context: Context,
	gateway: Gateway,
	request: NewRequest
): Promise<Response> {
	return sendReply(context, await gateway.ask(request))
}

function sendReply(context: Context, reply: Reply): Response {
	switch (reply.kind) {
		case ReplyKind.job:
			return context.json(reply.job, reply.created ? 201 : 200)
		case ReplyKind.jobs:
			return context.json({jobs: reply.jobs})
		case ReplyKind.bundle:
		case ReplyKind.cluster:
			return context.json(reply.view)
		case ReplyKind.bundleHistory:
			return context.json({bundles: reply.bundles})
		case ReplyKind.refused:
			return sendProblem(context, reply.refusal)
		case ReplyKind.workflow:
		case ReplyKind.pending:
			throw new InvariantError(`not a reply to a job request: ${reply.kind}`)
	}
}
