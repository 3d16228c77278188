/** Conditions for the `waitUntil` step. */
import {z} from "zod"
import {JobState} from "../../src/internal.js"
import {isAccepted} from "./callers.js"
import {collectGenerations} from "./journal.js"
import {NodeRole} from "./nodes.js"
import {type ScenarioContext} from "./stage.js"
import {type Condition} from "./step.js"

const HTTP_UNAUTHORIZED = 401
const jobsSchema = z.union([z.string(), z.array(z.string())])

class AcceptedCondition implements Condition<z.infer<typeof jobsSchema>> {
	readonly name = "accepted"
	readonly schema = jobsSchema
	isMet(context: ScenarioContext, input: z.infer<typeof jobsSchema>): boolean {
		return matchJobNames(context, input).every(name => isAccepted(context.callers.find(name)))
	}
}

class RepliedCondition implements Condition<z.infer<typeof jobsSchema>> {
	readonly name = "replied"
	readonly schema = jobsSchema
	isMet(context: ScenarioContext, input: z.infer<typeof jobsSchema>): boolean {
		return matchJobNames(context, input).every(
			name => context.callers.find(name).replies.length > 0
		)
	}
}

class EndedCondition implements Condition<z.infer<typeof jobsSchema>> {
	readonly name = "ended"
	readonly schema = jobsSchema
	async isMet(context: ScenarioContext, input: z.infer<typeof jobsSchema>): Promise<boolean> {
		const names = matchJobNames(context, input)
		const views = await Promise.all(names.map(name => context.callers.waitForEnd(name)))
		return views.every(({state}) => state === JobState.ended)
	}
}

const runsSchema = z.strictObject({job: z.string(), atLeast: z.int().default(1)})

/** At least `atLeast` members of the matching jobs run now. */
class RunningCondition implements Condition<z.infer<typeof runsSchema>> {
	readonly name = "running"
	readonly schema = runsSchema
	isMet(context: ScenarioContext, {job, atLeast}: z.infer<typeof runsSchema>): boolean {
		const ids = new Set(matchJobNames(context, job).map(name => context.callers.find(name).id))
		const running = context
			.listRuns()
			.filter(run => ids.has(run.jobId) && run.endedWallMs === undefined)
		return running.length >= atLeast
	}
}

/** At least `atLeast` members of the matching jobs have started, whether or not they still run. */
class StartedCondition implements Condition<z.infer<typeof runsSchema>> {
	readonly name = "started"
	readonly schema = runsSchema
	isMet(context: ScenarioContext, {job, atLeast}: z.infer<typeof runsSchema>): boolean {
		const ids = new Set(matchJobNames(context, job).map(name => context.callers.find(name).id))
		return context.listRuns().filter(run => ids.has(run.jobId)).length >= atLeast
	}
}

/** At least one member of the job has started, and none runs now. */
class StoppedCondition implements Condition<string> {
	readonly name = "stopped"
	readonly schema = z.string()
	isMet(context: ScenarioContext, job: string): boolean {
		const {id} = context.callers.find(job)
		const runs = context.listRuns().filter(({jobId}) => jobId === id)
		return runs.length > 0 && runs.every(({endedWallMs}) => endedWallMs !== undefined)
	}
}

const trappedSchema = z.union([z.string(), z.strictObject({name: z.string(), hits: z.int()})])

class TrappedCondition implements Condition<z.infer<typeof trappedSchema>> {
	readonly name = "trapped"
	readonly schema = trappedSchema
	isMet(context: ScenarioContext, input: z.infer<typeof trappedSchema>): boolean {
		const {name, hits} = typeof input === "string" ? {name: input, hits: 1} : input
		return (context.traps.get(name)?.hits ?? 0) >= hits
	}
}

const heldSchema = z.strictObject({zone: z.string(), not: z.string().default("")})

/** A live host other than `not` holds the zone. */
class HeldCondition implements Condition<z.infer<typeof heldSchema>> {
	readonly name = "held"
	readonly schema = heldSchema
	async isMet(context: ScenarioContext, {zone, not}: z.infer<typeof heldSchema>): Promise<boolean> {
		const holder = await context.rig.readHolder(zone)
		const excluded = not === "" ? "" : await context.findOne(not)
		return holder !== "" && holder !== excluded && context.rig.nodes.get(holder)?.isLive === true
	}
}

/** Every live host and worker of the given zones (`all` for every zone) has reported the latest accepted generation. */
class InForceCondition implements Condition<z.infer<typeof jobsSchema>> {
	readonly name = "inForce"
	readonly schema = jobsSchema
	isMet(context: ScenarioContext, input: z.infer<typeof jobsSchema>): boolean {
		const generation = context.operators.current?.generation ?? 0
		const zones = [input].flat()
		const workers = context.rig
			.listLive(NodeRole.worker)
			.filter(({zone}) => zones.includes("all") || zones.includes(zone))
		const hosts = context.rig
			.listLive(NodeRole.host)
			.filter(({zone}) => zones.includes("all") || zones.includes(zone))
		const isReportedByHosts = hosts.every(
			node => context.operators.findReportedGeneration(node) >= generation
		)
		return (
			isReportedByHosts &&
			workers.every(node => {
				const last = collectGenerations([node]).at(-1)
				return (last?.at(-1)?.generation ?? 0) >= generation
			})
		)
	}
}

/** Every live host refuses the token of a workspace that was removed from the bundle. */
class RefusedEverywhereCondition implements Condition<string> {
	readonly name = "refusedEverywhere"
	readonly schema = z.string()
	async isMet(context: ScenarioContext, workspace: string): Promise<boolean> {
		const hosts = context.rig.listLive(NodeRole.host)
		const statuses = await Promise.all(
			hosts.map(({name}) => context.callers.probe(name, workspace))
		)
		return statuses.every(status => status === HTTP_UNAUTHORIZED)
	}
}

function matchJobNames(context: ScenarioContext, patterns: string | readonly string[]): string[] {
	return [patterns].flat().flatMap(pattern => {
		if (!pattern.endsWith("*")) return [pattern]
		return [...context.callers.jobs.keys()].filter(name => name.startsWith(pattern.slice(0, -1)))
	})
}

export const CONDITIONS: readonly Condition[] = [
	new AcceptedCondition(),
	new RepliedCondition(),
	new EndedCondition(),
	new RunningCondition(),
	new StartedCondition(),
	new StoppedCondition(),
	new TrappedCondition(),
	new HeldCondition(),
	new InForceCondition(),
	new RefusedEverywhereCondition()
] as readonly Condition[]
