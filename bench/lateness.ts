/**
 * Splits the age of each workflow into named parts, and the work that was lost by its cause, from the daemons' logs
 * alone. The parts are those of the task that ended last: what held it up held up the workflow.
 */
import {type DayLog, type HolderGap, type RunLog, type WorkflowLog} from "./day-log.js"

export const AgePart = {
	untilAccepted: "until accepted",
	withoutHolder: "without a holder",
	noRoom: "no room",
	roomHeld: "waiting for others to stop",
	placing: "placing and starting",
	lost: "run again after a loss",
	earlierSteps: "earlier steps",
	running: "running",
	endNotShown: "end not shown"
} as const
export type AgePart = (typeof AgePart)[keyof typeof AgePart]

export interface WorkflowAge {
	readonly workflow: WorkflowLog
	readonly totalMs: number
	/** Undefined if the objective is unknown. */
	readonly isLate: boolean | undefined
	readonly parts: ReadonlyMap<AgePart, number>
}

export interface LostWork {
	readonly queue: string
	readonly cause: string
	readonly runs: number
	readonly coreSeconds: number
}

const MS_PER_S = 1000
const DONE = "done"
/** A wait is for room if the log names a wait of the workflow at most this long before its end. */
const WAIT_LOG_AGE_MS = 2500

/** Ages of the workflows that ended as completed or failed. */
export function measureAges({workflows, gaps}: DayLog): WorkflowAge[] {
	return workflows.flatMap(workflow =>
		workflow.endedAt === undefined || workflow.state === "cancelled"
			? []
			: [measureAge(workflow, workflow.endedAt, gaps)]
	)
}

function measureAge(
	workflow: WorkflowLog,
	endedAt: number,
	gaps: readonly HolderGap[]
): WorkflowAge {
	const parts = new Map<AgePart, number>()
	const add = (part: AgePart, ms: number) => {
		if (ms > 0) parts.set(part, (parts.get(part) ?? 0) + ms)
	}
	const acceptedAt = workflow.acceptedAt ?? workflow.firstAnsweredAt
	const shownAt = workflow.shownAt ?? endedAt
	add(AgePart.untilAccepted, acceptedAt - workflow.firstAnsweredAt)
	let cursor = acceptedAt
	const last = findLastTask(workflow)
	const runs = workflow.runs.filter(({task}) => task === last)
	const firstStepStart = Math.min(...workflow.runs.map(({startedAt}) => startedAt))
	for (const run of runs) {
		const isLaterStep = cursor === acceptedAt && run.startedAt - firstStepStart > MS_PER_S
		const waitedMs = Math.max(0, run.startedAt - cursor)
		const withoutMs = sumOverlap(gaps, cursor, run.startedAt)
		add(AgePart.withoutHolder, withoutMs)
		add(isLaterStep ? AgePart.earlierSteps : findWait(workflow, run), waitedMs - withoutMs)
		const runEndedAt = run.endedAt ?? endedAt
		add(run.end === DONE ? AgePart.running : AgePart.lost, runEndedAt - run.startedAt)
		cursor = Math.max(cursor, runEndedAt)
	}
	add(AgePart.endNotShown, shownAt - Math.max(cursor, acceptedAt))
	const totalMs = shownAt - workflow.firstAnsweredAt
	const {objectiveMs} = workflow
	const isLate = objectiveMs === undefined ? undefined : totalMs > objectiveMs
	return {workflow, totalMs, isLate, parts}
}

/** The task whose last run ended last. */
function findLastTask({runs}: WorkflowLog): string | undefined {
	let last: RunLog | undefined
	for (const run of runs)
		if (run.end === DONE && (last === undefined || (run.endedAt ?? 0) >= (last.endedAt ?? 0)))
			last = run
	return (last ?? runs.at(-1))?.task
}

function findWait({roomHeldAt, noRoomAt}: WorkflowLog, {startedAt}: RunLog): AgePart {
	const isRecent = (time: number) => time <= startedAt && startedAt - time < WAIT_LOG_AGE_MS
	if (roomHeldAt.some(isRecent)) return AgePart.roomHeld
	return noRoomAt.some(isRecent) ? AgePart.noRoom : AgePart.placing
}

function sumOverlap(gaps: readonly HolderGap[], from: number, to: number): number {
	return gaps.reduce(
		(sum, gap) => sum + Math.max(0, Math.min(to, gap.to) - Math.max(from, gap.from)),
		0
	)
}

/**
 * Core-seconds of runs that did not end as done, by queue and cause. A gang's members are counted under what stopped
 * or ended the first of them. A run with checkpoints that was stopped loses only its restart.
 */
export function listLostWork({workflows}: DayLog): LostWork[] {
	const sums = new Map<string, {queue: string; cause: string; runs: number; coreSeconds: number}>()
	for (const {queue, runs} of workflows)
		for (const run of runs) {
			if (run.end === DONE || run.endedAt === undefined) continue
			const first = findFirstLoss(run, runs)
			const cause = describeCause(first) + (first === run ? "" : ", of its gang")
			const isSaved = run.checkpoints && run.stopReason !== undefined
			const lostMs = isSaved ? 0 : run.endedAt - run.startedAt
			const key = `${queue} ${cause}`
			const sum = sums.get(key) ?? {queue, cause, runs: 0, coreSeconds: 0}
			sum.runs++
			sum.coreSeconds += (lostMs / MS_PER_S) * run.cores
			sums.set(key, sum)
		}
	return [...sums.values()].sort((a, b) => b.coreSeconds - a.coreSeconds)
}

/** The member of the run's gang whose loss came first; runs of one step with one number are a gang or independent. */
function findFirstLoss(run: RunLog, runs: readonly RunLog[]): RunLog {
	if (run.stopReason !== "gang-stopped" && run.end !== "member-lost") return run
	const step = run.task.slice(0, run.task.lastIndexOf("."))
	const members = runs.filter(other => other.run === run.run && other.task.startsWith(`${step}.`))
	const own = members.filter(
		({stopReason, end}) => stopReason !== "gang-stopped" && end !== "member-lost"
	)
	return own.sort((a, b) => findLossTime(a) - findLossTime(b))[0] ?? run
}

function findLossTime({stopAskedAt, endedAt}: RunLog): number {
	return Math.min(stopAskedAt ?? Infinity, endedAt ?? Infinity)
}

function describeCause({stopReason, end}: RunLog): string {
	return stopReason ?? end ?? "unknown"
}
