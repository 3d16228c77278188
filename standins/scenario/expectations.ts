/** Expectations of single scenarios beyond the invariants, checked against the same records. */
import {z} from "zod"
import {OutcomeKind} from "../../src/internal.js"
import {type SubmittedJob} from "./callers.js"
import {formatRuns, isMatch} from "./invariants.js"
import {type Run} from "./journal.js"
import {type ScenarioContext} from "./stage.js"
import {type Expectation} from "./step.js"

const HTTP_OK = 200

const outcomeSchema = z.strictObject({
	job: z.string(),
	in: z.array(z.enum(Object.values(OutcomeKind))).min(1),
	reason: z.string().optional()
})

class OutcomeExpectation implements Expectation<z.infer<typeof outcomeSchema>> {
	readonly name = "outcome"
	readonly schema = outcomeSchema
	check(
		context: ScenarioContext,
		runs: readonly Run[],
		input: z.infer<typeof outcomeSchema>
	): string[] {
		return matchJobs(context, input.job).flatMap(({name, id, ended}) => {
			const outcome = ended?.outcome
			const isKind = outcome !== undefined && input.in.includes(outcome.kind)
			const isReason = input.reason === undefined || outcome?.reason === input.reason
			if (isKind && isReason) return []
			const jobRuns = runs.filter(({jobId}) => jobId === id)
			const actual = `${outcome?.kind ?? "no outcome"} (${outcome?.reason ?? ""}, ${outcome?.detail ?? ""})`
			return [
				`${name} ended with ${actual}, expected ${input.in.join(" or ")}; runs: ${formatRuns(jobRuns)}`
			]
		})
	}
}

const runsSchema = z.strictObject({
	job: z.string(),
	atLeast: z.int().default(0),
	atMost: z.int().default(Number.MAX_SAFE_INTEGER)
})

class RunsExpectation implements Expectation<z.infer<typeof runsSchema>> {
	readonly name = "runs"
	readonly schema = runsSchema
	check(
		context: ScenarioContext,
		runs: readonly Run[],
		input: z.infer<typeof runsSchema>
	): string[] {
		return matchJobs(context, input.job).flatMap(({name, id}) => {
			const jobRuns = runs.filter(({jobId}) => jobId === id)
			if (jobRuns.length >= input.atLeast && jobRuns.length <= input.atMost) return []
			return [`${name} has an unexpected number of runs, ${jobRuns.length}: ${formatRuns(jobRuns)}`]
		})
	}
}

const noStartSchema = z.strictObject({
	/** Name of a process or a zone. */
	at: z.string(),
	after: z.string(),
	until: z.string().optional(),
	withinMs: z.int()
})

/** No run starts at the process or zone later than `withinMs` after a mark. */
class NoStartExpectation implements Expectation<z.infer<typeof noStartSchema>> {
	readonly name = "noStart"
	readonly schema = noStartSchema
	check(
		context: ScenarioContext,
		runs: readonly Run[],
		input: z.infer<typeof noStartSchema>
	): string[] {
		const after = findMark(context, input.after) + input.withinMs
		const until = input.until === undefined ? Infinity : findMark(context, input.until)
		const late = listRunsAt(runs, input.at).filter(
			({startedWallMs}) => startedWallMs > after && startedWallMs < until
		)
		if (late.length === 0) return []
		const lateMs = late.map(({startedWallMs}) => startedWallMs - after + input.withinMs)
		return [
			`${late.length} started at ${input.at} after ${input.after} (up to ${Math.max(...lateMs)} ms): ${formatRuns(late.slice(0, 3))}`
		]
	}
}

const startsSchema = z.strictObject({
	at: z.string(),
	after: z.string(),
	until: z.string().optional(),
	atLeast: z.int()
})

class StartsExpectation implements Expectation<z.infer<typeof startsSchema>> {
	readonly name = "starts"
	readonly schema = startsSchema
	check(
		context: ScenarioContext,
		runs: readonly Run[],
		input: z.infer<typeof startsSchema>
	): string[] {
		const after = findMark(context, input.after)
		const until = input.until === undefined ? Infinity : findMark(context, input.until)
		const found = listRunsAt(runs, input.at).filter(
			({startedWallMs}) => startedWallMs > after && startedWallMs < until
		)
		if (found.length >= input.atLeast) return []
		return [`${found.length} of ${input.atLeast} started at ${input.at} after ${input.after}`]
	}
}

const startedWithinSchema = z.strictObject({
	job: z.string(),
	/** How many members must have started. */
	members: z.int().min(1).default(1),
	after: z.string(),
	withinMs: z.int()
})

/** The job's members have started no later than `withinMs` after a mark. */
class StartedWithinExpectation implements Expectation<z.infer<typeof startedWithinSchema>> {
	readonly name = "startedWithin"
	readonly schema = startedWithinSchema
	check(
		context: ScenarioContext,
		runs: readonly Run[],
		input: z.infer<typeof startedWithinSchema>
	): string[] {
		const from = findMark(context, input.after)
		return matchJobs(context, input.job).flatMap(({name, id}) => {
			const jobRuns = runs.filter(({jobId}) => jobId === id)
			const tookMs = (jobRuns[input.members - 1]?.startedWallMs ?? Infinity) - from
			if (tookMs <= input.withinMs) return []
			const timing = `${tookMs} ms after ${input.after}, expected within ${input.withinMs} ms`
			return [`${name} started ${timing}; runs: ${formatRuns(jobRuns)}`]
		})
	}
}

/** A run of the job was stopped, and its last run completed in less time than a whole run takes. */
class ResumedExpectation implements Expectation<string> {
	readonly name = "resumed"
	readonly schema = z.string()
	check(context: ScenarioContext, runs: readonly Run[], input: string): string[] {
		return matchJobs(context, input).flatMap(({name, id, spec}) => {
			const jobRuns = runs.filter(({jobId}) => jobId === id)
			const last = jobRuns.at(-1)
			const lastMs = last === undefined ? 0 : last.untilWallMs - last.startedWallMs
			const wasStopped = jobRuns.slice(0, -1).some(({end}) => end === "stopped")
			if (wasStopped && last?.end === "completed" && lastMs < readRunMs(spec.payload)) return []
			return [`${name} did not resume from its checkpoint: ${formatRuns(jobRuns)}`]
		})
	}
}

function readRunMs(payload: string): number {
	return (JSON.parse(payload) as {runMs: number}).runMs
}

const betweenSchema = z.strictObject({from: z.string(), to: z.string(), atMostMs: z.int()})

class BetweenExpectation implements Expectation<z.infer<typeof betweenSchema>> {
	readonly name = "between"
	readonly schema = betweenSchema
	check(
		context: ScenarioContext,
		_: readonly Run[],
		input: z.infer<typeof betweenSchema>
	): string[] {
		const tookMs = findMark(context, input.to) - findMark(context, input.from)
		if (tookMs <= input.atMostMs) return []
		return [
			`${input.to} came ${tookMs} ms after ${input.from}, expected within ${input.atMostMs} ms`
		]
	}
}

const exitSchema = z.strictObject({node: z.string(), code: z.int()})

/** Every incarnation of the process that received SIGTERM exited with this code. */
class ExitExpectation implements Expectation<z.infer<typeof exitSchema>> {
	readonly name = "exit"
	readonly schema = exitSchema
	check(
		context: ScenarioContext,
		_: readonly Run[],
		{node, code}: z.infer<typeof exitSchema>
	): string[] {
		return context.rig
			.find(node)
			.incarnations.filter(({wasAskedToStop, exitCode}) => wasAskedToStop && exitCode !== code)
			.map(({exitCode}) => `${node} exited with ${exitCode ?? "a signal"}, expected ${code}`)
	}
}

const refusedSchema = z.strictObject({job: z.string(), reason: z.string()})

class RefusedExpectation implements Expectation<z.infer<typeof refusedSchema>> {
	readonly name = "refused"
	readonly schema = refusedSchema
	check(
		context: ScenarioContext,
		_: readonly Run[],
		input: z.infer<typeof refusedSchema>
	): string[] {
		return matchJobs(context, input.job).flatMap(({name, replies}) => {
			if (replies.some(({reason}) => reason === input.reason)) return []
			const replyTexts = replies.map(({status, reason}) => `${status} ${reason}`)
			return [
				`${name} was never refused with reason ${input.reason}; replies: ${replyTexts.join(", ")}`
			]
		})
	}
}

/** Every request for the jobs got an HTTP reply of any status; no connection failed. */
class AnsweredExpectation implements Expectation<string> {
	readonly name = "answered"
	readonly schema = z.string()
	check(context: ScenarioContext, _: readonly Run[], input: string): string[] {
		return matchJobs(context, input).flatMap(({name, replies}) => {
			const unanswered = replies.filter(({status}) => status === 0)
			if (replies.length > 0 && unanswered.length === 0) return []
			const failures = unanswered.map(({host, reason}) => `${host} ${reason}`)
			return [`${name} sent ${replies.length} requests; without a reply: ${failures.join(", ")}`]
		})
	}
}

/** Exactly one of the concurrent roll-outs was accepted. */
class OneWinnerExpectation implements Expectation<boolean> {
	readonly name = "oneWinner"
	readonly schema = z.boolean()
	check({operators}: ScenarioContext): string[] {
		const acceptedCount = operators.raceStatuses.filter(status => status === HTTP_OK).length
		return acceptedCount === 1
			? []
			: [
					`${acceptedCount} of the concurrent roll-outs were accepted, expected 1; statuses: ${operators.raceStatuses.join(", ")}`
				]
	}
}

function matchJobs(context: ScenarioContext, pattern: string): SubmittedJob[] {
	return [...context.callers.jobs.values()].filter(({name}) => isMatch(name, pattern))
}

function listRunsAt(runs: readonly Run[], at: string): Run[] {
	return runs.filter(({node, zone}) => node === at || zone === at)
}

function findMark(context: ScenarioContext, name: string): number {
	const mark = context.marks.get(name)
	if (mark === undefined) throw new Error(`unknown mark ${name}`)
	return mark
}

export const EXPECTATIONS: readonly Expectation[] = [
	new OutcomeExpectation(),
	new RunsExpectation(),
	new NoStartExpectation(),
	new StartsExpectation(),
	new StartedWithinExpectation(),
	new ResumedExpectation(),
	new BetweenExpectation(),
	new ExitExpectation(),
	new RefusedExpectation(),
	new AnsweredExpectation(),
	new OneWinnerExpectation()
] as readonly Expectation[]
