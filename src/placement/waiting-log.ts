/** Log entries about groups of tasks that wait: each group at an interval, and a limited number in one round. */
import {
	type Board,
	type NodeCapacity,
	type PlacementUnit,
	type ReasonCode,
	type WorkspaceShares,
	EventLevel
} from "../internal.js"

/** Interval of log entries for a task that still waits. */
const LOG_INTERVAL_MS = 2000

/** Entries in one round; the next rounds log the others. */
const ROUND_LINES_MAX = 50

export interface UnitWait {
	readonly waitedMs: number
	/** True if it leaves capacity free for urgent work. */
	readonly leavesHeadroom: boolean
}

export class WaitingLog {
	/** Monotonic time of the last entry, by the first task's id. */
	readonly #loggedAt = new Map<string, number>()
	#lines = 0

	clear(): void {
		this.#loggedAt.clear()
	}

	beginRound(now: number): void {
		this.#lines = 0
		for (const [taskId, loggedAt] of this.#loggedAt)
			if (now - loggedAt >= LOG_INTERVAL_MS) this.#loggedAt.delete(taskId)
	}

	record(
		board: Board,
		{refs, rank, lossMax}: PlacementUnit,
		nodes: readonly NodeCapacity[],
		{waitedMs, leavesHeadroom}: UnitWait,
		{reason, shares}: {readonly reason: ReasonCode; readonly shares: WorkspaceShares | undefined},
		now: number
	): void {
		const [first] = refs
		if (first === undefined || this.#lines >= ROUND_LINES_MAX) return
		if (now - (this.#loggedAt.get(first.taskId) ?? -Infinity) < LOG_INTERVAL_MS) return
		this.#lines++
		this.#loggedAt.set(first.taskId, now)
		const fields = {
			task: first.taskId,
			tasks: refs.length,
			rank,
			...shares?.describe(first.workflow.record.workspace),
			lossMax,
			waitedMs: Math.round(waitedMs),
			leavesHeadroom,
			workers: nodes.length,
			freeAccelerators: nodes.reduce((sum, {free}) => sum + Math.max(0, free.accelerators), 0)
		}
		board.record(EventLevel.info, "run-waiting", fields, reason)
	}
}
