/** Steps that send requests of callers and operators, name processes and moments, and wait for conditions. */
import {z} from "zod"
import {CONDITIONS} from "./conditions.js"
import {type Stage} from "./stage.js"
import {type Condition, type Step} from "./step.js"
import {ScenarioError, checkGiven} from "./schema.js"
import {waitUntil} from "./wait.js"

const DEFAULT_LIMIT_MS = 45000

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
	async run(stage: Stage, {hosts, ...given}: z.infer<typeof submitSchema>): Promise<void> {
		stage.callers.submit({...given, hosts: await findHosts(stage, hosts)})
	}
}

const submitManySchema = submitSchema
	.omit({job: true})
	.extend({prefix: z.string(), count: z.int().min(1)})

/** Submits jobs of one kind, named `PREFIX-1` and up. Their run times vary with the seed. */
class SubmitManyStep implements Step<z.infer<typeof submitManySchema>> {
	readonly name = "submitMany"
	readonly schema = submitManySchema
	async run(stage: Stage, given: z.infer<typeof submitManySchema>): Promise<void> {
		const {prefix, count, hosts, runMs, ...rest} = given
		const listed = await findHosts(stage, hosts)
		for (let at = 1; at <= count; at++) {
			const varied = Math.round(runMs / 2) + stage.pickNumber(runMs + 1)
			stage.callers.submit({...rest, job: `${prefix}-${at}`, runMs: varied, hosts: listed})
		}
	}
}

const cancelSchema = z.union([z.string(), z.array(z.string())])

class CancelStep implements Step<z.infer<typeof cancelSchema>> {
	readonly name = "cancel"
	readonly schema = cancelSchema
	async run(stage: Stage, given: z.infer<typeof cancelSchema>): Promise<void> {
		const names = [given].flat().flatMap(pattern => listJobs(stage, pattern))
		await Promise.all(names.map(name => stage.callers.cancel(name)))
	}
}

const askAsSchema = z.strictObject({job: z.string(), workspace: z.string()})

class AskAsStep implements Step<z.infer<typeof askAsSchema>> {
	readonly name = "askAs"
	readonly schema = askAsSchema
	run(stage: Stage, {job, workspace}: z.infer<typeof askAsSchema>): Promise<void> {
		return stage.callers.askAs(job, workspace)
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
	async run(stage: Stage, given: z.infer<typeof rollOutSchema>): Promise<void> {
		const state = {
			zonesOut: new Set(given.zonesOut),
			workspacesOut: new Set(given.workspacesOut)
		}
		await stage.operators.rollOut(state, await findHosts(stage, given.hosts))
		if (given.mark !== undefined) stage.marks.set(given.mark, Date.now())
	}
}

const raceSchema = z.strictObject({
	hosts: z.array(z.string()).length(2),
	zonesOut: z.array(z.array(z.string())).length(2)
})

class RaceRollOutsStep implements Step<z.infer<typeof raceSchema>> {
	readonly name = "raceRollOuts"
	readonly schema = raceSchema
	async run(stage: Stage, {hosts, zonesOut}: z.infer<typeof raceSchema>): Promise<void> {
		const states = zonesOut.map(out => ({
			zonesOut: new Set(out),
			workspacesOut: new Set<string>()
		}))
		await stage.operators.race(states, await findHosts(stage, hosts))
	}
}

class BindStep implements Step<Record<string, string>> {
	readonly name = "bind"
	readonly schema = z.record(z.string(), z.string())
	async run(stage: Stage, given: Record<string, string>): Promise<void> {
		for (const [name, pattern] of Object.entries(given)) {
			const node = await stage.findOne(pattern)
			stage.bind(name, node)
			stage.note(`  ${name} is ${node}`)
		}
	}
}

class MarkStep implements Step<string> {
	readonly name = "mark"
	readonly schema = z.string()
	run(stage: Stage, given: string): void {
		stage.marks.set(given, Date.now())
	}
}

const waitSchema = z.object({limitMs: z.number().default(DEFAULT_LIMIT_MS)}).catchall(z.unknown())

class WaitUntilStep implements Step<z.infer<typeof waitSchema>> {
	readonly name = "waitUntil"
	readonly schema = waitSchema
	async run(stage: Stage, {limitMs, ...rest}: z.infer<typeof waitSchema>): Promise<void> {
		for (const [name, value] of Object.entries(rest)) {
			const condition = findCondition(name)
			const given = checkGiven(name, condition.schema, value)
			await waitUntil(`${name} ${JSON.stringify(value)}`, limitMs, async () =>
				(await condition.isMet(stage, given)) ? true : undefined
			)
		}
	}
}

function findCondition(name: string): Condition {
	const condition = CONDITIONS.find(candidate => candidate.name === name)
	if (condition === undefined) throw new ScenarioError(`unknown condition ${name}`)
	return condition
}

async function findHosts(stage: Stage, patterns: readonly string[]): Promise<string[]> {
	const found = await Promise.all(patterns.map(pattern => stage.findAll(pattern)))
	return found.flatMap(set => [...set])
}

/** Lists the names of the jobs that match a name, or a prefix that ends in `*`. */
export function listJobs(stage: Stage, pattern: string): string[] {
	if (!pattern.endsWith("*")) return [pattern]
	return [...stage.callers.jobs.keys()].filter(name => name.startsWith(pattern.slice(0, -1)))
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
