/** Expectations of single scenarios beyond the invariants, checked against the same records. */
import {z} from "zod"
import {OutcomeKind} from "../../src/internal.js"
import {type AskedJob} from "./callers.js"
import {formatRuns, isNamed} from "./invariants.js"
import {type Run} from "./journal.js"
import {type Stage} from "./stage.js"
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
	check(stage: Stage, runs: readonly Run[], given: z.infer<typeof outcomeSchema>): string[] {
		return matchJobs(stage, given.job).flatMap(({name, id, ended}) => {
			const outcome = ended?.outcome
			const isKind = outcome !== undefined && given.in.includes(outcome.kind)
			const isReason = given.reason === undefined || outcome?.reason === given.reason
			if (isKind && isReason) return []
			const own = runs.filter(({jobId}) => jobId === id)
			const told = `${outcome?.kind ?? "no outcome"} (${outcome?.reason ?? ""}, ${outcome?.detail ?? ""})`
			return [
				`${name} ended with ${told}, expected ${given.in.join(" or ")}; runs: ${formatRuns(own)}`
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
	check(stage: Stage, runs: readonly Run[], given: z.infer<typeof runsSchema>): string[] {
		return matchJobs(stage, given.job).flatMap(({name, id}) => {
			const own = runs.filter(({jobId}) => jobId === id)
			if (own.length >= given.atLeast && own.length <= given.atMost) return []
			return [`${name} has an unexpected number of runs, ${own.length}: ${formatRuns(own)}`]
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
	check(stage: Stage, runs: readonly Run[], given: z.infer<typeof noStartSchema>): string[] {
		const after = findMark(stage, given.after) + given.withinMs
		const until = given.until === undefined ? Infinity : findMark(stage, given.until)
		const late = listAt(runs, given.at).filter(
			({startedWallMs}) => startedWallMs > after && startedWallMs < until
		)
		if (late.length === 0) return []
		const lateMs = late.map(({startedWallMs}) => startedWallMs - after + given.withinMs)
		return [
			`${late.length} started at ${given.at} after ${given.after} (up to ${Math.max(...lateMs)} ms): ${formatRuns(late.slice(0, 3))}`
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
	check(stage: Stage, runs: readonly Run[], given: z.infer<typeof startsSchema>): string[] {
		const after = findMark(stage, given.after)
		const until = given.until === undefined ? Infinity : findMark(stage, given.until)
		const found = listAt(runs, given.at).filter(
			({startedWallMs}) => startedWallMs > after && startedWallMs < until
		)
		if (found.length >= given.atLeast) return []
		return [`${found.length} of ${given.atLeast} started at ${given.at} after ${given.after}`]
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
	check(stage: Stage, runs: readonly Run[], given: z.infer<typeof startedWithinSchema>): string[] {
		const from = findMark(stage, given.after)
		return matchJobs(stage, given.job).flatMap(({name, id}) => {
			const own = runs.filter(({jobId}) => jobId === id)
			const tookMs = (own[given.members - 1]?.startedWallMs ?? Infinity) - from
			if (tookMs <= given.withinMs) return []
			const told = `${tookMs} ms after ${given.after}, expected within ${given.withinMs} ms`
			return [`${name} started ${told}; runs: ${formatRuns(own)}`]
		})
	}
}

/** A run of the job was stopped, and its last run completed in less time than a whole run takes. */
class ResumedExpectation implements Expectation<string> {
	readonly name = "resumed"
	readonly schema = z.string()
	check(stage: Stage, runs: readonly Run[], given: string): string[] {
		return matchJobs(stage, given).flatMap(({name, id, spec}) => {
			const own = runs.filter(({jobId}) => jobId === id)
			const last = own.at(-1)
			const lastMs = last === undefined ? 0 : last.untilWallMs - last.startedWallMs
			const wasStopped = own.slice(0, -1).some(({end}) => end === "stopped")
			if (wasStopped && last?.end === "completed" && lastMs < readRunMs(spec.payload)) return []
			return [`${name} did not resume from its checkpoint: ${formatRuns(own)}`]
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
	check(stage: Stage, _: readonly Run[], given: z.infer<typeof betweenSchema>): string[] {
		const tookMs = findMark(stage, given.to) - findMark(stage, given.from)
		if (tookMs <= given.atMostMs) return []
		return [
			`${given.to} came ${tookMs} ms after ${given.from}, expected within ${given.atMostMs} ms`
		]
	}
}

const exitSchema = z.strictObject({node: z.string(), code: z.int()})

/** Every incarnation of the process that received SIGTERM exited with this code. */
class ExitExpectation implements Expectation<z.infer<typeof exitSchema>> {
	readonly name = "exit"
	readonly schema = exitSchema
	check(stage: Stage, _: readonly Run[], {node, code}: z.infer<typeof exitSchema>): string[] {
		return stage.rig
			.find(node)
			.lives.filter(({wasAsked, exitCode}) => wasAsked && exitCode !== code)
			.map(({exitCode}) => `${node} exited with ${exitCode ?? "a signal"}, expected ${code}`)
	}
}

const refusedSchema = z.strictObject({job: z.string(), reason: z.string()})

class RefusedExpectation implements Expectation<z.infer<typeof refusedSchema>> {
	readonly name = "refused"
	readonly schema = refusedSchema
	check(stage: Stage, _: readonly Run[], given: z.infer<typeof refusedSchema>): string[] {
		return matchJobs(stage, given.job).flatMap(({name, replies}) => {
			if (replies.some(({reason}) => reason === given.reason)) return []
			const told = replies.map(({status, reason}) => `${status} ${reason}`)
			return [`${name} was never refused with reason ${given.reason}; replies: ${told.join(", ")}`]
		})
	}
}

/** Every request for the jobs got an HTTP reply of any status; no connection failed. */
class AnsweredExpectation implements Expectation<string> {
	readonly name = "answered"
	readonly schema = z.string()
	check(stage: Stage, _: readonly Run[], given: string): string[] {
		return matchJobs(stage, given).flatMap(({name, replies}) => {
			const broken = replies.filter(({status}) => status === 0)
			if (replies.length > 0 && broken.length === 0) return []
			const told = broken.map(({host, reason}) => `${host} ${reason}`)
			return [`${name} sent ${replies.length} requests; without a reply: ${told.join(", ")}`]
		})
	}
}

/** Exactly one of the concurrent roll-outs was accepted. */
class OneWinnerExpectation implements Expectation<boolean> {
	readonly name = "oneWinner"
	readonly schema = z.boolean()
	check({operators}: Stage): string[] {
		const won = operators.raced.filter(status => status === HTTP_OK).length
		return won === 1
			? []
			: [
					`${won} of the concurrent roll-outs were accepted, expected 1; statuses: ${operators.raced.join(", ")}`
				]
	}
}

function matchJobs(stage: Stage, pattern: string): AskedJob[] {
	return [...stage.callers.jobs.values()].filter(({name}) => isNamed(name, pattern))
}

function listAt(runs: readonly Run[], at: string): Run[] {
	return runs.filter(({node, zone}) => node === at || zone === at)
}

function findMark(stage: Stage, name: string): number {
	const mark = stage.marks.get(name)
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
