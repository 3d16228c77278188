/** Invariants of every scenario, checked against the records of workers, endpoints, callers and operators. */
import {JobState, OutcomeKind, RanState} from "../../src/internal.js"
import {type SubmittedJob, isAccepted} from "./callers.js"
import {type Run, collectGenerations} from "./journal.js"
import {type ScenarioContext} from "./stage.js"

const NOT_FOUND = 404

export function checkInvariants(context: ScenarioContext, runs: readonly Run[]): string[] {
	const runsByJob = groupRuns(runs, ({jobId}) => jobId)
	const findings: string[] = []
	for (const job of context.callers.jobs.values()) {
		const jobRuns = runsByJob.get(job.id) ?? []
		findings.push(
			...checkAtMostOnce(job, jobRuns),
			...checkPartialGang(job, jobRuns, context.scenario.partialGangMs),
			...checkAnswer(job),
			...checkNotRun(job, jobRuns),
			...checkEnded(context, job)
		)
	}
	return [...findings, ...checkWorkerGenerations(context), ...checkHostGenerations(context)]
}

/** A job that is neither repeatable nor checkpointed has at most one run of each member. */
function checkAtMostOnce({name, spec}: SubmittedJob, runs: readonly Run[]): string[] {
	if (spec.repeatable || spec.checkpoint) return []
	const runsByMember = groupRuns(runs, ({taskId}) => taskId.split(".").at(-1) ?? "")
	return [...runsByMember.values()]
		.filter(({length}) => length > 1)
		.map(
			repeats => `${name} is not repeatable and ran ${repeats.length} times: ${formatRuns(repeats)}`
		)
}

/** No member of a gang runs for longer than `boundMs` while another doesn't. */
function checkPartialGang(
	{name, spec}: SubmittedJob,
	runs: readonly Run[],
	boundMs: number
): string[] {
	const {members} = spec.shape
	if (members === 1) return []
	const runsByAttempt = groupRuns(runs, ({taskId}) => taskId.split(".")[1] ?? "")
	return [...runsByAttempt.values()].flatMap(attemptRuns => {
		const partialMs = computePartialMs(attemptRuns, members)
		if (partialMs <= boundMs) return []
		return [
			`${name} ran with only some of its members for ${partialMs} ms: ${formatRuns(attemptRuns)}`
		]
	})
}

/** Computes the longest time in which some members ran, others didn't, and none had completed. */
function computePartialMs(runs: readonly Run[], members: number): number {
	const firstStart = Math.min(...runs.map(({startedWallMs}) => startedWallMs))
	const lastStart = Math.max(...runs.map(({startedWallMs}) => startedWallMs))
	const skewMs = runs.length < members ? 0 : lastStart - firstStart
	const incomplete = runs.filter(({end}) => end !== "completed")
	if (runs.length === members && incomplete.length === 0) return skewMs
	const incompleteAt =
		runs.length < members ? firstStart : Math.min(...incomplete.map(({untilWallMs}) => untilWallMs))
	const overruns = runs.map(
		run => run.untilWallMs - Math.max(incompleteAt, run.startedWallMs) - run.frozenMs
	)
	return Math.max(skewMs, ...overruns)
}

/** The answer is complete and belongs to this job; callers of other workspaces get status 404. */
function checkAnswer({name, spec, answer, ended, foreignReplies, replies}: SubmittedJob): string[] {
	const findings: string[] = []
	const members = spec.kind === "task" ? spec.shape.members : 1
	const expected =
		members === 1 ? answer : JSON.stringify(Array.from({length: members}, () => answer))
	const outcome = ended?.outcome
	if (outcome?.kind === OutcomeKind.completed && outcome.answer !== expected)
		findings.push(`${name} has the wrong answer: ${describeText(outcome.answer)}`)
	for (const reply of foreignReplies)
		if (reply.status !== NOT_FOUND)
			findings.push(
				`${reply.host} answered another workspace's request for ${name} with status ${reply.status}, expected 404`
			)
	const ids = new Set(replies.flatMap(({job}) => (job === undefined ? [] : [job.id])))
	if (ids.size > 1) findings.push(`${name} has ${ids.size} job ids, expected 1`)
	return findings
}

/** A job that its outcome or its last refusal reports as not run has no runs. */
function checkNotRun(job: SubmittedJob, runs: readonly Run[]): string[] {
	const last = job.replies.at(-1)
	const isRefused = !isAccepted(job) && last?.ran === RanState.no
	const isReportedNotRun = isRefused || job.ended?.outcome?.kind === OutcomeKind.notRun
	if (!isReportedNotRun || runs.length === 0) return []
	const reason = isRefused ? last.reason : (job.ended?.outcome?.reason ?? "")
	return [`${job.name} was reported as not run (${reason}), but ran: ${formatRuns(runs)}`]
}

/** An accepted job has ended, unless the scenario allows it to stay queued. */
function checkEnded(context: ScenarioContext, job: SubmittedJob): string[] {
	if (!isAccepted(job) || job.ended?.state === JobState.ended) return []
	if (context.scenario.mayStayQueued.some(pattern => isMatch(job.name, pattern))) return []
	return [`${job.name} was accepted and has not ended`]
}

function checkWorkerGenerations(context: ScenarioContext): string[] {
	return collectGenerations(context.rig.nodes.values()).flatMap(entries =>
		entries.flatMap((entry, index) => {
			const before = entries[index - 1]
			if (before === undefined || before.generation <= entry.generation) return []
			return [`${entry.node} went from generation ${before.generation} to ${entry.generation}`]
		})
	)
}

/** No incarnation of a host reports a lower generation than before. */
function checkHostGenerations(context: ScenarioContext): string[] {
	const highest = new Map<string, number>()
	const findings: string[] = []
	for (const {host, incarnationNumber, generation} of context.operators.reportedGenerations) {
		const name = `${host} (incarnation ${incarnationNumber})`
		const before = highest.get(name) ?? 0
		if (generation < before)
			findings.push(`${name} went from generation ${before} to ${generation}`)
		highest.set(name, Math.max(before, generation))
	}
	return findings
}

export function isMatch(name: string, pattern: string): boolean {
	return pattern.endsWith("*") ? name.startsWith(pattern.slice(0, -1)) : name === pattern
}

export function formatRuns(runs: readonly Run[]): string {
	return runs
		.map(({node, taskId, epoch, startedWallMs, untilWallMs, end}) => {
			const task = taskId.split(".").slice(1).join(".")
			return `${node} task ${task} epoch ${epoch} at ${startedWallMs % 1000000} for ${untilWallMs - startedWallMs} ms, ${end ?? "no end"}`
		})
		.join("; ")
}

function describeText(text: string | undefined): string {
	if (text === undefined) return "nothing"
	return text.length > 60 ? `${text.slice(0, 60)}… (${text.length} characters)` : text
}

function groupRuns(runs: readonly Run[], pickKey: (run: Run) => string): Map<string, Run[]> {
	const groups = new Map<string, Run[]>()
	for (const run of runs) {
		const key = pickKey(run)
		groups.set(key, [...(groups.get(key) ?? []), run])
	}
	return groups
}
