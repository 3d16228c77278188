/** Middleware that injects faults into a stand-in's routes; they are set at `/control/faults`. */
import {type HttpBindings} from "@hono/node-server"
import {type Context, type MiddlewareHandler} from "hono"
import {z} from "zod"
import {checkValue} from "../src/internal.js"

export const faultsSchema = z.strictObject({
	/** Every request is refused with status 503, unprocessed. */
	outage: z.boolean().default(false),
	/** Delay before each request is processed. */
	slowMs: z.number().min(0).default(0),
	/** This many requests take effect and then lose their answer. */
	loseAnswers: z.int().min(0).default(0),
	/** Path suffix of the requests that lose their answer; empty for all. */
	losePath: z.string().default(""),
	/** Requests are accepted, but neither processed nor answered. */
	silent: z.boolean().default(false)
})
export type Faults = z.infer<typeof faultsSchema>

export class FaultSwitch {
	#faults: Faults = faultsSchema.parse({})

	get faults(): Faults {
		return this.#faults
	}

	set(faults: Partial<Faults>): void {
		this.#faults = faultsSchema.parse({...this.#faults, ...faults})
	}

	/** Control routes are exempt from faults. */
	buildMiddleware(): MiddlewareHandler<{Bindings: HttpBindings}> {
		return async (context, next) => {
			if (context.req.path.startsWith("/control/")) {
				await next()
				return undefined
			}
			if (this.#faults.silent) return new Promise<Response>(() => undefined)
			if (this.#faults.slowMs > 0) await pause(this.#faults.slowMs)
			if (this.#faults.outage) return context.json({code: "outage"}, 503)
			await next()
			if (this.#consumeLostAnswer(context.req.path)) context.env.incoming.socket.destroy()
			return undefined
		}
	}

	async handleControl(context: Context): Promise<Response> {
		const checked = checkValue("faults", faultsSchema.partial(), await context.req.json())
		if (checked.isErr())
			return context.json({code: "malformed", detail: checked.error.message}, 400)
		const definedEntries = Object.entries(checked.value).filter(([, value]) => value !== undefined)
		this.set(Object.fromEntries(definedEntries))
		return context.json(this.#faults)
	}

	#consumeLostAnswer(path: string): boolean {
		if (this.#faults.loseAnswers === 0 || !path.endsWith(this.#faults.losePath)) return false
		this.set({loseAnswers: this.#faults.loseAnswers - 1})
		return true
	}
}

function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms)
	})
}
