/**
 * Measures finished runs, so that what is learned from them holds for a run from the beginning, on an average worker and
 * near its data. What differs from that is corrected where its effect is known; else the run is left out.
 */
import {
	type Board,
	type StepProgress,
	type TaskRef,
	type WorkflowEntry,
	ReasonCode,
	TaskPhase
} from "../internal.js"

export interface FinishedRun {
	readonly workflow: WorkflowEntry
	readonly occurrenceKey: string
	readonly stepIndex: number
	readonly step: StepProgress
	readonly durationMs: number
}

/** Most of a run that may be missing if an earlier holder saw it begin. */
const UNSEEN_PERCENT_MAX = 50
const PERCENT_DONE = 100

/** Why a run is stopped that was well. */
const STOPPED_WELL: ReadonlySet<ReasonCode> = new Set([
	ReasonCode.preempted,
	ReasonCode.cancelled,
	ReasonCode.gangStopped,
	ReasonCode.workerLeaving
])

/** Records the end of a run, or of a gang, whose members count as one run. */
export function recordFinishedRun(board: Board, refs: readonly TaskRef[], now: number): void {
	const [first] = refs
	if (first === undefined) return
	const durationMs = measureDuration(board, refs, now)
	if (durationMs !== undefined) addFinishedRun(board, first, durationMs)
}

/** Records a run that is stopped, if it has gone on for longer than runs of its step are expected to. */
export function recordLongRun(board: Board, ref: TaskRef, reason: ReasonCode, now: number): void {
	if (ref.task.phase !== TaskPhase.running || !STOPPED_WELL.has(reason)) return
	const durationMs = measureDuration(board, [ref], now)
	const {highMs = Infinity} = ref.workflow.forecast.steps[ref.stepIndex] ?? {}
	if (durationMs !== undefined && durationMs > highMs) addFinishedRun(board, ref, durationMs)
}

function addFinishedRun(board: Board, ref: TaskRef, durationMs: number): void {
	const {taskId, workflow, occurrence, stepIndex, step, spec} = ref
	const occurrenceKey = occurrence.key
	const key = spec.gang ? `${occurrenceKey}.${stepIndex}` : taskId
	board.finishedRuns.set(key, {workflow, occurrenceKey, stepIndex, step, durationMs})
}

/** Undefined if it can't be told how long the run would have taken by itself. */
function measureDuration(board: Board, refs: readonly TaskRef[], now: number): number | undefined {
	let latest: TaskRef["task"] | undefined
	let slowest = 0
	for (const {spec, task} of refs) {
		const isMeasurable = task.phase === TaskPhase.running && !spec.longRunning && !spec.usesIdleCpu
		// A run after another one may have gone on from that one's checkpoint.
		if (!isMeasurable || (task.run > 1 && task.checkpoint !== "")) return undefined
		const {slowUntil = 0, suspectUntil = 0, pace = 1} = board.health.get(task.workerId) ?? {}
		if (slowUntil > now || suspectUntil > now) return undefined
		if (latest === undefined || task.startedAt > latest.startedAt) latest = task
		slowest = Math.max(slowest, pace)
	}
	const remoteFactor = findRemoteFactor(board, refs)
	const seenShare = latest === undefined ? undefined : findSeenShare(latest)
	if (latest === undefined || seenShare === undefined || remoteFactor === undefined)
		return undefined
	return (now - latest.startedAt) / seenShare / slowest / remoteFactor
}

/** Part of the run that this holder has seen; undefined if it is too little or not known. */
function findSeenShare({starts, startPercent}: TaskRef["task"]): number | undefined {
	const isOfThisTerm = starts > 0
	if (isOfThisTerm && startPercent === 0) return 1
	return startPercent > 0 && startPercent <= UNSEEN_PERCENT_MAX
		? 1 - startPercent / PERCENT_DONE
		: undefined
}

/** Undefined if it is not known in which rack the run was. */
function findRemoteFactor(board: Board, refs: readonly TaskRef[]): number | undefined {
	const [first] = refs
	if (first === undefined) return undefined
	const {dataRack, tightlyCoupled} = first.spec
	if (dataRack === undefined && !tightlyCoupled) return 1
	const racks = new Set(refs.map(({task}) => board.nodes.get(task.workerId)?.registration.rack))
	if (racks.has(undefined)) return undefined
	if (dataRack !== undefined) racks.add(dataRack)
	return racks.size > 1 ? (board.settings.domain?.remoteFactor ?? 1) : 1
}
