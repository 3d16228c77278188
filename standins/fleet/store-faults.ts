/** What the store's stand-in does with a call while it is away: one class for each way to be away. */
import {type Context, type Next} from "hono"
import {type HttpBindings} from "@hono/node-server"

export type StoreContext = Context<{Bindings: HttpBindings}>

export interface StoreFault {
	readonly name: string
	/** Whether the store listens at all. */
	readonly isListening: boolean
	/** Handles a call that arrives; undefined if the route has answered it. */
	handleCall(context: StoreContext, next: Next): Promise<Response | undefined>
	/** Handles an answer to a call that arrived before the fault; undefined to send it. */
	handleAnswer(context: StoreContext): Promise<Response> | undefined
}

const SLOW_MS = 240
const LATE_MIN_MS = 1000
const LATE_SPREAD_MS = 5000
const HTTP_UNAVAILABLE = 503

export class NoFault implements StoreFault {
	readonly name: string = "none"
	readonly isListening: boolean = true

	async handleCall(_context: StoreContext, next: Next): Promise<Response | undefined> {
		await next()
		return undefined
	}

	handleAnswer(context: StoreContext): Promise<Response> | undefined {
		return undefined
	}
}

class RefusingFault extends NoFault {
	override readonly name = "refuse"

	override handleCall(context: StoreContext): Promise<Response> {
		return Promise.resolve(context.json({error: "unavailable"}, HTTP_UNAVAILABLE))
	}
}

class SilentFault extends NoFault {
	override readonly name: string = "silent"

	override handleCall(context: StoreContext, next: Next): Promise<Response> {
		return this.handleAnswer(context)
	}

	override handleAnswer(context: StoreContext): Promise<Response> {
		return new Promise(() => undefined)
	}
}

class ResettingFault extends SilentFault {
	override readonly name: string = "reset"

	override handleAnswer(context: StoreContext): Promise<Response> {
		context.env.incoming.socket.resetAndDestroy()
		return super.handleAnswer(context)
	}
}

class DownFault extends ResettingFault {
	override readonly name = "down"
	override readonly isListening = false
}

class SlowFault extends NoFault {
	override readonly name = "slow"

	override async handleCall(context: StoreContext, next: Next): Promise<undefined> {
		await pause(SLOW_MS)
		await next()
		return undefined
	}
}

/** Writes are done seconds later, and nothing is answered. */
class LateFault extends SilentFault {
	override readonly name = "late"

	override async handleCall(context: StoreContext, next: Next): Promise<Response> {
		await context.req.text()
		await pause(LATE_MIN_MS + Math.random() * LATE_SPREAD_MS)
		if (context.req.method === "POST") await next()
		return this.handleAnswer(context)
	}
}

export const STORE_FAULTS: readonly StoreFault[] = [
	new NoFault(),
	new RefusingFault(),
	new ResettingFault(),
	new SilentFault(),
	new DownFault(),
	new SlowFault(),
	new LateFault()
]

function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms)
	})
}
