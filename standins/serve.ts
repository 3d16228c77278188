/** Starts a stand-in's server and prints its port as one JSON line. */
import {type HttpBindings, serve} from "@hono/node-server"
import {type Hono, type Context} from "hono"
import {type z} from "zod"
import {checkValue} from "../src/internal.js"

export type StandInApp = Hono<{Bindings: HttpBindings}>

/** A stand-in's refusal of a request, with its reason code. */
export class StandInRefusal extends Error {
	readonly code: string
	constructor(code: string, detail = "") {
		super(detail)
		this.code = code
	}
}

export interface RunningServer {
	readonly port: number
	/** Accepts no new connections and closes the open ones. */
	close(): void
}

/** Listens on loopback until it is closed. */
export function startServer(app: StandInApp, port: number): Promise<RunningServer> {
	return new Promise(resolve => {
		const server = serve({fetch: app.fetch, hostname: "127.0.0.1", port}, info => {
			const close = () => {
				server.close()
				if ("closeAllConnections" in server) server.closeAllConnections()
			}
			resolve({port: info.port, close})
		})
	})
}

/** Listens on loopback; resolves with the port. */
export async function listen(app: StandInApp, port: number): Promise<number> {
	return (await startServer(app, port)).port
}

/** Prints one JSON line, which the parent process receives even if this process is killed right after. */
export function printLine(fields: Readonly<Record<string, unknown>>): void {
	process.stdout.write(`${JSON.stringify(fields)}\n`)
}

export function announce(fields: Readonly<Record<string, unknown>>): void {
	printLine({ready: true, ...fields})
}

/** Adds a route that checks its body and answers with the result of `handle`; a refusal becomes status 409. */
export function addRoute<T>(
	app: StandInApp,
	path: string,
	schema: z.ZodType<T>,
	handle: (body: T, context: Context) => unknown
): void {
	app.post(path, async (context: Context) => {
		const body: unknown = await context.req.json().catch(() => undefined)
		const checked = checkValue("request", schema, body)
		if (checked.isErr())
			return context.json({code: "malformed", detail: checked.error.message}, 400)
		try {
			return context.json((await handle(checked.value, context)) ?? null)
		} catch (error) {
			if (!(error instanceof StandInRefusal)) throw error
			return context.json({code: error.code, detail: error.message}, 409)
		}
	})
}
