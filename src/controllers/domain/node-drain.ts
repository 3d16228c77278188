/**
 * Moves runs off workers that are about to leave. A run that can't end in time is stopped and starts elsewhere at
 * once, rather than after the lease of the worker has expired. A run with checkpoints is stopped shortly before the
 * worker leaves; other runs that can't end in time are stopped as early as possible.
 */
import {
	type Board,
	type Controller,
	type NodeEntry,
	type TaskRef,
	NODE_DRAIN_CHECK_INTERVAL_MS,
	NODE_DRAIN_GRACE_MS,
	NODE_DRAIN_MARGIN_MS,
	ReasonCode,
	SectionName,
	TaskPhase,
	estimateRemaining,
	isTermConfirmed,
	stopRun
} from "../../internal.js"

export class NodeDrainController implements Controller {
	readonly name = "node-drain"
	readonly reads = [SectionName.nodes, SectionName.terms]

	step(board: Board, now: number): number | undefined {
		if (!board.terms.has("loaded")) return undefined
		const leaving = [...board.nodes.values()].filter(({leavesAt}) => leavesAt !== undefined)
		if (leaving.length === 0) return undefined
		if (isTermConfirmed(board, now)) for (const node of leaving) this.#moveRuns(board, node, now)
		return now + NODE_DRAIN_CHECK_INTERVAL_MS
	}

	#moveRuns(board: Board, {registration, leavesAt = Infinity}: NodeEntry, now: number): void {
		const stopMs = board.settings.domain?.stopMs ?? 0
		for (const ref of [...board.runs.listOn(registration.id).values()]) {
			if (ref.task.phase !== TaskPhase.running) continue
			if (isMoveDue(ref, leavesAt, stopMs, now)) stopRun(board, ref, ReasonCode.workerLeaving, now)
		}
	}
}

/** Returns whether the run must be stopped now; its worker leaves at `leavesAt` at the earliest. */
function isMoveDue(ref: TaskRef, leavesAt: number, stopMs: number, now: number): boolean {
	const {checkpoints, longRunning} = ref.spec
	const endsAt = longRunning ? Infinity : now + estimateRemaining(ref, now)
	if (checkpoints || longRunning)
		return endsAt > leavesAt && now >= leavesAt - stopMs - NODE_DRAIN_MARGIN_MS
	return endsAt > leavesAt + NODE_DRAIN_GRACE_MS
}
