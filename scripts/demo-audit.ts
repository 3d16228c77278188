/** Checks a demo run against what callers received and what workers and endpoints executed, not the hosts' own view. */
import {type Outcome, OutcomeKind} from "../src/internal.js"
import {type RunEntry} from "../standins/worker/core.js"

/** An accepted job and the outcome that its caller received. */
export interface DemoJob {
	readonly id: string
	readonly members: number
	readonly repeatable: boolean
	/** The complete answer that this job must return. */
	readonly expectedAnswer: string
	outcome: Outcome | undefined
}

export interface DemoCounts {
	readonly accepted: number
	readonly completed: number
	readonly failed: number
	readonly notRun: number
	readonly unknown: number
	/** Non-repeatable jobs with more task starts than members. */
	readonly doubled: number
	/** Jobs whose caller received no outcome, or a completion that the back ends did not record. */
	readonly lost: number
	/** Completed jobs whose answer is incomplete or belongs to another job. */
	readonly wrongAnswers: number
	/** Jobs reported as not run of which at least one task started. */
	readonly falseNotRun: number
}

export function countJobs(jobs: readonly DemoJob[], runs: readonly RunEntry[]): DemoCounts {
	const runsByJob = groupByJob(runs)
	const count = (matches: (job: DemoJob, jobRuns: readonly RunEntry[]) => boolean): number =>
		jobs.filter(job => matches(job, runsByJob.get(job.id) ?? [])).length
	return {
		accepted: jobs.length,
		completed: count(job => job.outcome?.kind === OutcomeKind.completed),
		failed: count(job => job.outcome?.kind === OutcomeKind.failed),
		notRun: count(job => job.outcome?.kind === OutcomeKind.notRun),
		unknown: count(job => job.outcome?.kind === OutcomeKind.unknown),
		doubled: count((job, jobRuns) => !job.repeatable && jobRuns.length > job.members),
		lost: count(isLost),
		wrongAnswers: count(
			({outcome, expectedAnswer}) =>
				outcome?.kind === OutcomeKind.completed && outcome.answer !== expectedAnswer
		),
		falseNotRun: count(
			({outcome}, jobRuns) => outcome?.kind === OutcomeKind.notRun && jobRuns.length > 0
		)
	}
}

function groupByJob(runs: readonly RunEntry[]): ReadonlyMap<string, readonly RunEntry[]> {
	const groups = new Map<string, RunEntry[]>()
	for (const run of runs) groups.set(run.jobId, [...(groups.get(run.jobId) ?? []), run])
	return groups
}

function isLost(job: DemoJob, jobRuns: readonly RunEntry[]): boolean {
	if (job.outcome === undefined) return true
	if (job.outcome.kind !== OutcomeKind.completed) return false
	return jobRuns.filter(({end}) => end === "completed").length < job.members
}

/** Counts the runs that started on one of `workerIds` from `fromWallMs` until before `toWallMs`. */
export function countStartsWithin(
	runs: readonly RunEntry[],
	workerIds: ReadonlySet<string>,
	fromWallMs: number,
	toWallMs: number
): number {
	return runs.filter(
		run =>
			workerIds.has(run.workerId) && run.startedWallMs >= fromWallMs && run.startedWallMs < toWallMs
	).length
}

export function sumCounts(all: readonly DemoCounts[]): DemoCounts {
	const sum = (name: keyof DemoCounts): number =>
		all.reduce((total, counts) => total + counts[name], 0)
	return {
		accepted: sum("accepted"),
		completed: sum("completed"),
		failed: sum("failed"),
		notRun: sum("notRun"),
		unknown: sum("unknown"),
		doubled: sum("doubled"),
		lost: sum("lost"),
		wrongAnswers: sum("wrongAnswers"),
		falseNotRun: sum("falseNotRun")
	}
}

/** True if at least one job was accepted, every accepted job has an outcome and no fault was counted. */
export function isPassed(counts: DemoCounts): boolean {
	const ended = counts.completed + counts.failed + counts.notRun + counts.unknown
	const faults = counts.doubled + counts.lost + counts.wrongAnswers + counts.falseNotRun
	return counts.accepted > 0 && faults === 0 && ended === counts.accepted
}
