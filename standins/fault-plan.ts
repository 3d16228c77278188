/** Faults of commands between processes that are simulated in one. */
import {type Command} from "../src/internal.js"

/** What happens to one command in transit. */
export const DeliveryAction = {
	deliver: "deliver",
	/** The command never arrives. */
	loseRequest: "lose-request",
	/** The command takes effect and its answer is lost. */
	loseAnswer: "lose-answer",
	/** The command is refused unexecuted, as by an overloaded platform; only the fleet's stand-in supports this. */
	refuse: "refuse",
	/** Nothing listens at the address; only the fleet's stand-in supports this. */
	refuseConnection: "refuse-connection"
} as const
export type DeliveryAction = (typeof DeliveryAction)[keyof typeof DeliveryAction]

export interface FaultPlan {
	decide(hostId: string, command: Command): DeliveryAction
	/** One-way delay of this command, in milliseconds. */
	computeDelay(hostId: string, command: Command): number
}

export class DefaultFaultPlan implements FaultPlan {
	readonly #latencyMs: number
	constructor(latencyMs = 1) {
		this.#latencyMs = latencyMs
	}
	decide(): DeliveryAction {
		return DeliveryAction.deliver
	}
	computeDelay(): number {
		return this.#latencyMs
	}
}
