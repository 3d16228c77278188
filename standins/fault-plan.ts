/** What happens to commands on their way between processes that are played in one. */
import {type Command} from "../src/internal.js"

/** What happens to one command on its way. */
export const Fate = {
	deliver: "deliver",
	/** It never arrives. */
	loseRequest: "lose-request",
	/** It takes effect and its answer is lost. */
	loseAnswer: "lose-answer",
	/** It is turned away unexecuted, as by an overloaded platform; only the fleet's stand-in does so. */
	refuse: "refuse"
} as const
export type Fate = (typeof Fate)[keyof typeof Fate]

export interface FaultPlan {
	decide(hostId: string, command: Command): Fate
	/** One-way delay of this command, in milliseconds. */
	computeDelay(hostId: string, command: Command): number
}

export class CalmPlan implements FaultPlan {
	readonly #latencyMs: number
	constructor(latencyMs = 1) {
		this.#latencyMs = latencyMs
	}
	decide(): Fate {
		return Fate.deliver
	}
	computeDelay(): number {
		return this.#latencyMs
	}
}
