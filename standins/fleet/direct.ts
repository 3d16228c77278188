/** Calls the platform's stand-in without a network, under any clock and plan of faults. */
import {err, ok, type Result} from "neverthrow"
import {
	type HttpAnswer,
	type HttpExchange,
	type HttpRequest
} from "../../src/adapters/http-client.js"
import {type CallError, type Clock, TransportError} from "../../src/internal.js"
import {DeliveryAction} from "../fault-plan.js"
import {type FleetCall, type FleetStandIn} from "./fleet.js"

const HTTP_TOO_MANY = 429

/** Decides what happens to each call, from the calling host and the call itself. */
export interface CallPlan {
	decide(hostId: string, call: FleetCall): DeliveryAction
	/** One-way delay in milliseconds. */
	computeDelay(hostId: string, call: FleetCall): number
	/** Delay of the answer; by default that of the request. */
	computeAnswerDelay?(hostId: string, call: FleetCall): number
}

export class DirectExchange implements HttpExchange {
	readonly #hostId: string
	readonly #fleet: FleetStandIn
	readonly #clock: Clock
	readonly #plan: CallPlan
	readonly #transitClock: Clock

	/** A call that is under way arrives by `transitClock`, also if its host has been stopped meanwhile. */
	constructor(
		hostId: string,
		fleet: FleetStandIn,
		clock: Clock,
		plan: CallPlan,
		transitClock = clock
	) {
		this.#hostId = hostId
		this.#fleet = fleet
		this.#clock = clock
		this.#plan = plan
		this.#transitClock = transitClock
	}

	exchange(request: HttpRequest): Promise<Result<HttpAnswer, CallError>> {
		const url = new URL(request.url)
		const call: FleetCall = {
			method: request.method,
			target: url.hostname,
			path: url.pathname,
			query: url.searchParams,
			headers: request.headers ?? {},
			body: request.body === undefined ? undefined : JSON.parse(JSON.stringify(request.body))
		}
		const action = this.#plan.decide(this.#hostId, call)
		const delayMs = this.#plan.computeDelay(this.#hostId, call)
		const answerDelayMs = this.#plan.computeAnswerDelay?.(this.#hostId, call) ?? delayMs
		return new Promise(resolve => {
			const cancel = this.#clock.schedule(request.timeoutMs, () => {
				resolve(err(new TransportError(request.url, "no answer in time", true)))
			})
			if (action === DeliveryAction.loseRequest) return
			if (action === DeliveryAction.refuseConnection) {
				cancel()
				resolve(err(new TransportError(request.url, "nothing listens", false)))
				return
			}
			if (action === DeliveryAction.refuse) {
				cancel()
				resolve(ok({status: HTTP_TOO_MANY, body: undefined}))
				return
			}
			this.#transitClock.schedule(delayMs, () => {
				void this.#fleet.handle(call).then(answer => {
					if (action === DeliveryAction.loseAnswer) return
					this.#clock.schedule(answerDelayMs, () => {
						cancel()
						resolve(ok(answer))
					})
				})
			})
		})
	}
}
