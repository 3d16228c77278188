/** Interfaces of the steps, conditions and expectations that scenario files refer to by name. */
import {type z} from "zod"
import {type Run} from "./journal.js"
import {type Stage} from "./stage.js"

export interface Step<T = unknown> {
	readonly name: string
	readonly schema: z.ZodType<T>
	run(stage: Stage, given: T): Promise<void> | void
}

export interface Condition<T = unknown> {
	readonly name: string
	readonly schema: z.ZodType<T>
	isMet(stage: Stage, given: T): Promise<boolean> | boolean
}

/** Checks the records of workers, endpoints, callers and operators. */
export interface Expectation<T = unknown> {
	readonly name: string
	readonly schema: z.ZodType<T>
	/** Returns the violations found; empty if the expectation holds. */
	check(stage: Stage, runs: readonly Run[], given: T): string[]
}
