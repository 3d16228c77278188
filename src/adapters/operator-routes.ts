/** The administration API: the bundle, its history and roll-out, and this host's view of the cluster. */
import {type Hono, type Context} from "hono"
import {
	type Board,
	type Identity,
	BUNDLE_HISTORY_MAX,
	RequestKind,
	checkSignedBundle,
	findIdentity
} from "../internal.js"
import {type Gateway} from "./gateway.js"
import {readJson, readNumber, readToken, sendReplyTo} from "./http-exchange.js"
import {
	createMalformedRefusal,
	createOperatorsOnlyRefusal,
	createUnauthenticatedRefusal,
	sendProblem
} from "./problems.js"

type OperatorHandler = (context: Context, identity: Identity) => Response | Promise<Response>

export function addOperatorRoutes(app: Hono, board: Board, gateway: Gateway): void {
	app.get(
		"/v1/bundle",
		guardOperators(board, (context, identity) =>
			sendReplyTo(context, gateway, {kind: RequestKind.bundleStatus, identity})
		)
	)
	app.put(
		"/v1/bundle",
		guardOperators(board, (context, identity) => rollOut(context, gateway, identity))
	)
	app.get(
		"/v1/bundle/history",
		guardOperators(board, (context, identity) => getHistory(context, gateway, identity))
	)
	app.get(
		"/v1/cluster",
		guardOperators(board, (context, identity) =>
			sendReplyTo(context, gateway, {kind: RequestKind.clusterStatus, identity})
		)
	)
}

function guardOperators(board: Board, handle: OperatorHandler) {
	return (context: Context): Response | Promise<Response> => {
		const identity = findIdentity(board, readToken(context))
		if (identity === undefined) return sendProblem(context, createUnauthenticatedRefusal(board))
		if (!identity.operator) return sendProblem(context, createOperatorsOnlyRefusal())
		return handle(context, identity)
	}
}

async function rollOut(context: Context, gateway: Gateway, identity: Identity): Promise<Response> {
	const bundle = checkSignedBundle(await readJson(context))
	if (bundle.isErr()) return sendProblem(context, createMalformedRefusal(bundle.error.message))
	return sendReplyTo(context, gateway, {
		kind: RequestKind.rollout,
		identity,
		bundle: bundle.value
	})
}

function getHistory(
	context: Context,
	gateway: Gateway,
	identity: Identity
): Response | Promise<Response> {
	const newest = readNumber(context, "newest", 0, Number.MAX_SAFE_INTEGER)
	const limit = readNumber(context, "limit", BUNDLE_HISTORY_MAX, BUNDLE_HISTORY_MAX)
	if (newest === undefined || limit === undefined || limit === 0) {
		const detail = `newest must be a generation, and limit a number from 1 to ${BUNDLE_HISTORY_MAX}`
		return sendProblem(context, createMalformedRefusal(detail))
	}
	return sendReplyTo(context, gateway, {
		kind: RequestKind.bundleHistory,
		identity,
		newest: newest === 0 ? undefined : newest,
		limit
	})
}
