/** Invariants of every scenario, checked against the records of workers, endpoints, callers and operators. */
import {JobState, OutcomeKind, RanState} from "../../src/internal.js"
import {type AskedJob, isAccepted} from "./callers.js"
import {type Run, collectGenerations} from "./journal.js"
import {type Stage} from "./stage.js"

const NOT_FOUND = 404

export function checkInvariants(stage: Stage, runs: readonly Run[]): string[] {
	const byJob = groupRuns(runs, ({jobId}) => jobId)
	const findings: string[] = []
	for (const job of stage.callers.jobs.values()) {
		const own = byJob.get(job.id) ?? []
		findings.push(
			...checkAtMostOnce(job, own),
			...checkGangWhole(job, own, stage.scenario.partialGangMs),
			...checkAnswer(job),
			...checkNotRun(job, own),
			...checkKnown(stage, job)
		)
	}
	return [...findings, ...checkWorkerGenerations(stage), ...checkToldGenerations(stage)]
}

/** A job that is neither repeatable nor checkpointed has at most one run of each member. */
function checkAtMostOnce({name, spec}: AskedJob, runs: readonly Run[]): string[] {
	if (spec.repeatable || spec.checkpoint) return []
	const byMember = groupRuns(runs, ({taskId}) => taskId.split(".").at(-1) ?? "")
	return [...byMember.values()]
		.filter(({length}) => length > 1)
		.map(again => `${name} is not repeatable and ran ${again.length} times: ${formatRuns(again)}`)
}

/** No member of a gang runs for longer than `boundMs` while another doesn't. */
function checkGangWhole({name, spec}: AskedJob, runs: readonly Run[], boundMs: number): string[] {
	const {members} = spec.shape
	if (members === 1) return []
	const byTry = groupRuns(runs, ({taskId}) => taskId.split(".")[1] ?? "")
	return [...byTry.values()].flatMap(tries => {
		const partialMs = computePartialMs(tries, members)
		if (partialMs <= boundMs) return []
		return [`${name} ran with only some of its members for ${partialMs} ms: ${formatRuns(tries)}`]
	})
}

/** Computes the longest time in which some members ran, others didn't, and none had completed. */
function computePartialMs(runs: readonly Run[], members: number): number {
	const firstStart = Math.min(...runs.map(({startedWallMs}) => startedWallMs))
	const lastStart = Math.max(...runs.map(({startedWallMs}) => startedWallMs))
	const skewMs = runs.length < members ? 0 : lastStart - firstStart
	const broken = runs.filter(({end}) => end !== "completed")
	if (runs.length === members && broken.length === 0) return skewMs
	const brokenAt =
		runs.length < members ? firstStart : Math.min(...broken.map(({untilWallMs}) => untilWallMs))
	const overruns = runs.map(
		run => run.untilWallMs - Math.max(brokenAt, run.startedWallMs) - run.frozenMs
	)
	return Math.max(skewMs, ...overruns)
}

/** The answer is complete and belongs to this job; callers of other workspaces get status 404. */
function checkAnswer({name, spec, answer, ended, foreignReplies, replies}: AskedJob): string[] {
	const findings: string[] = []
	const members = spec.kind === "task" ? spec.shape.members : 1
	const expected =
		members === 1 ? answer : JSON.stringify(Array.from({length: members}, () => answer))
	const given = ended?.outcome
	if (given?.kind === OutcomeKind.completed && given.answer !== expected)
		findings.push(`${name} has the wrong answer: ${describeText(given.answer)}`)
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
function checkNotRun(job: AskedJob, runs: readonly Run[]): string[] {
	const last = job.replies.at(-1)
	const refused = !isAccepted(job) && last?.ran === RanState.no
	const toldNotRun = refused || job.ended?.outcome?.kind === OutcomeKind.notRun
	if (!toldNotRun || runs.length === 0) return []
	const reason = refused ? last.reason : (job.ended?.outcome?.reason ?? "")
	return [`${job.name} was reported as not run (${reason}), but ran: ${formatRuns(runs)}`]
}

/** An accepted job has ended, unless the scenario allows it to stay queued. */
function checkKnown(stage: Stage, job: AskedJob): string[] {
	if (!isAccepted(job) || job.ended?.state === JobState.ended) return []
	if (stage.scenario.mayStayQueued.some(pattern => isNamed(job.name, pattern))) return []
	return [`${job.name} was accepted and has not ended`]
}

function checkWorkerGenerations(stage: Stage): string[] {
	return collectGenerations(stage.rig.nodes.values()).flatMap(entries =>
		entries.flatMap((entry, at) => {
			const before = entries[at - 1]
			if (before === undefined || before.generation <= entry.generation) return []
			return [`${entry.node} went from generation ${before.generation} to ${entry.generation}`]
		})
	)
}

/** No incarnation of a host reports a lower generation than before. */
function checkToldGenerations(stage: Stage): string[] {
	const highest = new Map<string, number>()
	const findings: string[] = []
	for (const {host, life, generation} of stage.operators.told) {
		const name = `${host} (incarnation ${life})`
		const before = highest.get(name) ?? 0
		if (generation < before)
			findings.push(`${name} went from generation ${before} to ${generation}`)
		highest.set(name, Math.max(before, generation))
	}
	return findings
}

export function isNamed(name: string, pattern: string): boolean {
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
