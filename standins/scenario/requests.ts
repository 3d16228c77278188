/** Steps that send requests of callers and operators, bind processes to names, set marks, and wait for conditions. */
import {z} from "zod"
import {CONDITIONS} from "./conditions.js"
import {type ScenarioContext} from "./stage.js"
import {type Condition, type Step} from "./step.js"
import {ScenarioError, checkInput} from "./schema.js"
import {waitUntil} from "./wait.js"

const DEFAULT_TIMEOUT_MS = 45000

const submitSchema = z.strictObject({
	job: z.string(),
	workspace: z.string().default("posta"),
	spec: z.record(z.string(), z.unknown()).default({}),
	runMs: z.number().default(100),
	answerBytes: z.int().default(0),
	hosts: z.array(z.string()).default([]),
	everywhere: z.boolean().default(false),
	once: z.boolean().default(false)
})

class SubmitStep implements Step<z.infer<typeof submitSchema>> {
	readonly name = "submit"
	readonly schema = submitSchema
	async run(
		context: ScenarioContext,
		{hosts, ...input}: z.infer<typeof submitSchema>
	): Promise<void> {
		context.callers.submit({...input, hosts: await findHosts(context, hosts)})
	}
}

const submitManySchema = submitSchema
	.omit({job: true})
	.extend({prefix: z.string(), count: z.int().min(1)})

/** Submits jobs of one kind, named `PREFIX-1` and up. Their run times vary with the seed. */
class SubmitManyStep implements Step<z.infer<typeof submitManySchema>> {
	readonly name = "submitMany"
	readonly schema = submitManySchema
	async run(context: ScenarioContext, input: z.infer<typeof submitManySchema>): Promise<void> {
		const {prefix, count, hosts, runMs, ...rest} = input
		const hostNames = await findHosts(context, hosts)
		for (let number = 1; number <= count; number++) {
			const variedRunMs = Math.round(runMs / 2) + context.pickNumber(runMs + 1)
			context.callers.submit({
				...rest,
				job: `${prefix}-${number}`,
				runMs: variedRunMs,
				hosts: hostNames
			})
		}
	}
}

const cancelSchema = z.union([z.string(), z.array(z.string())])

class CancelStep implements Step<z.infer<typeof cancelSchema>> {
	readonly name = "cancel"
	readonly schema = cancelSchema
	async run(context: ScenarioContext, input: z.infer<typeof cancelSchema>): Promise<void> {
		const names = [input].flat().flatMap(pattern => matchJobNames(context, pattern))
		await Promise.all(names.map(name => context.callers.cancel(name)))
	}
}

const askAsSchema = z.strictObject({job: z.string(), workspace: z.string()})

class AskAsStep implements Step<z.infer<typeof askAsSchema>> {
	readonly name = "askAs"
	readonly schema = askAsSchema
	run(context: ScenarioContext, {job, workspace}: z.infer<typeof askAsSchema>): Promise<void> {
		return context.callers.askAs(job, workspace)
	}
}

const rollOutSchema = z.strictObject({
	zonesOut: z.array(z.string()).default([]),
	workspacesOut: z.array(z.string()).default([]),
	hosts: z.array(z.string()).default([]),
	/** Name of a mark to set when the roll-out is accepted. */
	mark: z.string().optional()
})

class RollOutStep implements Step<z.infer<typeof rollOutSchema>> {
	readonly name = "rollOut"
	readonly schema = rollOutSchema
	async run(context: ScenarioContext, input: z.infer<typeof rollOutSchema>): Promise<void> {
		const state = {
			zonesOut: new Set(input.zonesOut),
			workspacesOut: new Set(input.workspacesOut)
		}
		await context.operators.rollOut(state, await findHosts(context, input.hosts))
		if (input.mark !== undefined) context.marks.set(input.mark, Date.now())
	}
}

const raceSchema = z.strictObject({
	hosts: z.array(z.string()).length(2),
	zonesOut: z.array(z.array(z.string())).length(2)
})

class RaceRollOutsStep implements Step<z.infer<typeof raceSchema>> {
	readonly name = "raceRollOuts"
	readonly schema = raceSchema
	async run(
		context: ScenarioContext,
		{hosts, zonesOut}: z.infer<typeof raceSchema>
	): Promise<void> {
		const states = zonesOut.map(zones => ({
			zonesOut: new Set(zones),
			workspacesOut: new Set<string>()
		}))
		await context.operators.race(states, await findHosts(context, hosts))
	}
}

class BindStep implements Step<Record<string, string>> {
	readonly name = "bind"
	readonly schema = z.record(z.string(), z.string())
	async run(context: ScenarioContext, input: Record<string, string>): Promise<void> {
		for (const [name, pattern] of Object.entries(input)) {
			const node = await context.findOne(pattern)
			context.bind(name, node)
			context.log(`  ${name} is ${node}`)
		}
	}
}

class MarkStep implements Step<string> {
	readonly name = "mark"
	readonly schema = z.string()
	run(context: ScenarioContext, input: string): void {
		context.marks.set(input, Date.now())
	}
}

const waitSchema = z.object({limitMs: z.number().default(DEFAULT_TIMEOUT_MS)}).catchall(z.unknown())

class WaitUntilStep implements Step<z.infer<typeof waitSchema>> {
	readonly name = "waitUntil"
	readonly schema = waitSchema
	async run(
		context: ScenarioContext,
		{limitMs, ...rest}: z.infer<typeof waitSchema>
	): Promise<void> {
		for (const [name, value] of Object.entries(rest)) {
			const condition = findCondition(name)
			const input = checkInput(name, condition.schema, value)
			await waitUntil(`${name} ${JSON.stringify(value)}`, limitMs, async () =>
				(await condition.isMet(context, input)) ? true : undefined
			)
		}
	}
}

function findCondition(name: string): Condition {
	const condition = CONDITIONS.find(candidate => candidate.name === name)
	if (condition === undefined) throw new ScenarioError(`unknown condition ${name}`)
	return condition
}

async function findHosts(context: ScenarioContext, patterns: readonly string[]): Promise<string[]> {
	const found = await Promise.all(patterns.map(pattern => context.findAll(pattern)))
	return found.flatMap(set => [...set])
}

/** Lists the names of the jobs that match a name, or a prefix that ends in `*`. */
export function matchJobNames(context: ScenarioContext, pattern: string): string[] {
	if (!pattern.endsWith("*")) return [pattern]
	return [...context.callers.jobs.keys()].filter(name => name.startsWith(pattern.slice(0, -1)))
}

export const REQUEST_STEPS: readonly Step[] = [
	new SubmitStep(),
	new SubmitManyStep(),
	new CancelStep(),
	new AskAsStep(),
	new RollOutStep(),
	new RaceRollOutsStep(),
	new BindStep(),
	new MarkStep(),
	new WaitUntilStep()
] as readonly Step[]
