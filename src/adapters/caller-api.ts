/** The HTTP API of a host: translates requests and replies and makes no decisions. docs/API.md documents it. */
import {type Context, Hono} from "hono"
import {bodyLimit} from "hono/body-limit"
import {
	type Board,
	Lifecycle,
	MAX_BODY_BYTES,
	RanState,
	ReasonCode,
	buildRefusal
} from "../internal.js"
import {addCallerRoutes} from "./caller-routes.js"
import {type Gateway} from "./gateway.js"
import {addOperatorRoutes} from "./operator-routes.js"
import {PROBLEM_REASON, createTooLargeRefusal, sendProblem} from "./problems.js"
import {type Telemetry} from "./telemetry.js"

export function createCallerApi(board: Board, gateway: Gateway, telemetry: Telemetry): Hono {
	const app = new Hono()
	app.use(async (context: Context, next) => {
		await next()
		const reason: unknown = context.get(PROBLEM_REASON)
		if (typeof reason === "string") telemetry.countProblem(reason)
	})
	app.use(
		bodyLimit({
			maxSize: MAX_BODY_BYTES,
			onError: context => {
				// The rest of the body is not read, so the connection cannot be reused.
				context.header("connection", "close")
				return sendProblem(context, createTooLargeRefusal())
			}
		})
	)
	app.use(async (context, next) => {
		await next()
		// Keeps callers from sending another request on a connection that is about to close.
		if (board.lifecycle.get("state") !== Lifecycle.serving) context.header("connection", "close")
	})
	addHealthRoutes(app, board, telemetry)
	addCallerRoutes(app, board, gateway)
	addOperatorRoutes(app, board, gateway)
	app.notFound(context =>
		sendProblem(context, buildRefusal(ReasonCode.notFound, RanState.no, "no such route"))
	)
	return app
}

function addHealthRoutes(app: Hono, board: Board, telemetry: Telemetry): void {
	app.get("/healthz", context => context.text("ok"))
	app.get("/readyz", context => {
		const ready = board.bundle.has("current") && board.lifecycle.get("state") === Lifecycle.serving
		return context.text(ready ? "ready" : "not ready", ready ? 200 : 503)
	})
	app.get("/metrics", async context => context.text(await telemetry.formatMetrics()))
}
