/**
 * Which workspaces may hand in no more work to a queue for now, because the holder keeps as much of it as it can. A queue is
 * closed to a workspace once the workspace's work in it takes more than what is left for all: one that hands in without end
 * gets half of the whole, two of them a third each, and the others always find room.
 */
import {z} from "zod"
import {
	type Board,
	type TableRow,
	type WorkflowEntry,
	DOMAIN_RECORD_BYTES_MAX,
	DOMAIN_TASKS_MAX,
	computeOpenMax,
	countOccurrences,
	countTasks,
	decodeJson,
	findAuthorityScope,
	formatHolderPrefix,
	isFinal
} from "../internal.js"

/** None is closed below this part of the whole, and one opens again a little below where it was closed. */
const FLOOR_SHARE = 1 / 64
const REOPEN_SHARE = 0.9
/** Number of pairs that a row names; each name takes up to 200 bytes. */
const CLOSED_MAX = 100

export interface IntakeLimits {
	/** Pairs of workspace and queue, see `formatIntakePair`. */
	readonly closed: ReadonlySet<string>
}

export function formatIntakePair(workspace: string, queue: string): string {
	return JSON.stringify([workspace, queue])
}

interface Load {
	tasks: number
	bytes: number
}

const limitsSchema = z.object({closed: z.array(z.string())})

export function formatIntakeLimitsKey(zone: string): string {
	return `${formatHolderPrefix(zone)}intake`
}

export function encodeIntakeLimits({closed}: IntakeLimits): string {
	return JSON.stringify({closed: [...closed].sort().slice(0, CLOSED_MAX)})
}

/** Adopts what the holder has written, if it differs from what is known. */
export function adoptIntakeLimits(board: Board, rows: readonly TableRow[]): void {
	const key = formatIntakeLimitsKey(findAuthorityScope(board.settings))
	const row = rows.find(candidate => candidate.key === key && candidate.version > 0)
	const {closed} = decodeJson("intake limits", limitsSchema, row?.value ?? "").unwrapOr({
		closed: []
	})
	updateIntakeLimits(board, {closed: new Set(closed)})
}

/** Returns true if they differ from what is known. */
export function updateIntakeLimits(board: Board, limits: IntakeLimits): boolean {
	const known = board.intakeLimits.get("current")
	const isSame = encodeIntakeLimits(known ?? {closed: new Set()}) === encodeIntakeLimits(limits)
	if (!isSame) board.intakeLimits.set("current", limits)
	return !isSame
}

/** `closed` has the pairs of workspace and queue that are closed now. */
export function findClosedPairs(
	workflows: Iterable<WorkflowEntry>,
	closed: ReadonlySet<string>
): ReadonlySet<string> {
	const total: Load = {tasks: 0, bytes: 0}
	const loads = new Map<string, Load>()
	for (const workflow of workflows) {
		const {workspace, queue} = workflow.record
		const pair = formatIntakePair(workspace, queue)
		const load = loads.get(pair) ?? {tasks: 0, bytes: 0}
		loads.set(pair, load)
		addLoad(load, workflow)
		addLoad(total, workflow)
	}
	const isOver = (used: number, sum: number, max: number, share: number) =>
		used > Math.max(max * FLOOR_SHARE, (max - sum) * share)
	const over = [...loads].filter(([pair, {tasks, bytes}]) => {
		const share = closed.has(pair) ? REOPEN_SHARE : 1
		return (
			isOver(tasks, total.tasks, DOMAIN_TASKS_MAX, share) ||
			isOver(bytes, total.bytes, DOMAIN_RECORD_BYTES_MAX, share)
		)
	})
	return new Set(over.map(([pair]) => pair))
}

/** The records of ended workflows are kept for a while. */
function addLoad(load: Load, {record, recordBytes, state}: WorkflowEntry): void {
	load.bytes += recordBytes
	if (isFinal(state)) return
	load.tasks += countTasks(record.spec) * Math.min(countOccurrences(record), computeOpenMax(record))
}
