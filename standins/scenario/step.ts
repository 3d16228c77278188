/** Interfaces of the steps, conditions and expectations that scenario files refer to by name. */
import {type z} from "zod"
import {type Run} from "./journal.js"
import {type ScenarioContext} from "./stage.js"

export interface Step<T = unknown> {
	readonly name: string
	readonly schema: z.ZodType<T>
	run(context: ScenarioContext, input: T): Promise<void> | void
}

export interface Condition<T = unknown> {
	readonly name: string
	readonly schema: z.ZodType<T>
	isMet(context: ScenarioContext, input: T): Promise<boolean> | boolean
}

/** Checks the records of workers, endpoints, callers and operators. */
export interface Expectation<T = unknown> {
	readonly name: string
	readonly schema: z.ZodType<T>
	/** Returns the violations found; empty if the expectation holds. */
	check(context: ScenarioContext, runs: readonly Run[], input: T): string[]
}
