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
	/** Handles the end of a call that arrived before the fault; undefined to send its answer. */
	handleAnswer(context: StoreContext): Promise<Response> | undefined
}

const SLOW_MS = 240
const LATE_MIN_MS = 1000
const LATE_SPREAD_MS = 5000
const HTTP_UNAVAILABLE = 503
const NEVER = new Promise<Response>(() => undefined)

class NoFault implements StoreFault {
	readonly name = "none"
	readonly isListening = true

	async handleCall(_: StoreContext, next: Next): Promise<Response | undefined> {
		await next()
		return undefined
	}

	handleAnswer(): undefined {
		return undefined
	}
}

class RefusingFault implements StoreFault {
	readonly name = "refuse"
	readonly isListening = true

	handleCall(context: StoreContext): Promise<Response> {
		return Promise.resolve(context.json({error: "unavailable"}, HTTP_UNAVAILABLE))
	}

	handleAnswer(): undefined {
		return undefined
	}
}

class SilentFault implements StoreFault {
	readonly name = "silent"
	readonly isListening = true

	handleCall(): Promise<Response> {
		return NEVER
	}

	handleAnswer(): Promise<Response> {
		return NEVER
	}
}

/** Resets connections, and refuses new ones unless it listens. */
class ResettingFault implements StoreFault {
	readonly name: string
	readonly isListening: boolean

	constructor(name: string, isListening: boolean) {
		this.name = name
		this.isListening = isListening
	}

	handleCall(context: StoreContext): Promise<Response> {
		return this.handleAnswer(context)
	}

	handleAnswer(context: StoreContext): Promise<Response> {
		context.env.incoming.socket.resetAndDestroy()
		return NEVER
	}
}

class SlowFault implements StoreFault {
	readonly name = "slow"
	readonly isListening = true

	async handleCall(_: StoreContext, next: Next): Promise<Response | undefined> {
		await pause(SLOW_MS)
		await next()
		return undefined
	}

	handleAnswer(): undefined {
		return undefined
	}
}

/** Writes are done seconds later, and nothing is answered. */
class LateFault implements StoreFault {
	readonly name = "late"
	readonly isListening = true

	async handleCall(context: StoreContext, next: Next): Promise<Response> {
		await context.req.text()
		await pause(LATE_MIN_MS + Math.random() * LATE_SPREAD_MS)
		if (context.req.method === "POST") await next()
		return NEVER
	}

	handleAnswer(): Promise<Response> {
		return NEVER
	}
}

export const STORE_FAULTS: readonly StoreFault[] = [
	new NoFault(),
	new RefusingFault(),
	new ResettingFault("reset", true),
	new SilentFault(),
	new ResettingFault("down", false),
	new SlowFault(),
	new LateFault()
]

function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms)
	})
}
