/**
 * Estimates run times per workspace and service from the completed tasks that workers report. A task is counted once
 * while its worker reports it. The estimates are kept in memory only and are rebuilt after a restart.
 */
import {
	type Board,
	type Controller,
	type TaskReport,
	RUN_TIMES_KEPT,
	SectionName,
	TaskState,
	formatRunTimeKey,
	updateRunTime
} from "../../internal.js"

export class RunTimesController implements Controller {
	readonly name = "run-times"
	readonly reads = [SectionName.workers]
	#counted = new Set<string>()

	step(board: Board): number | undefined {
		const reported = new Set<string>()
		for (const worker of board.workers.values())
			for (const task of worker.tasks.values()) {
				if (task.state !== TaskState.completed) continue
				reported.add(task.taskId)
				if (!this.#counted.has(task.taskId)) this.#observe(board, task)
			}
		this.#counted = reported
		return undefined
	}

	#observe(board: Board, {jobId, ranMs}: TaskReport): void {
		const record = board.jobs.get(jobId)?.record
		if (record === undefined) return
		const key = formatRunTimeKey(record.workspace, record.spec.service)
		// An attempt that resumed from a checkpoint ran only the remaining part.
		const wholeMs = ranMs / (1 - Math.min(record.checkpoint, 0.99))
		const known = board.runTimes.get(key)
		board.runTimes.set(key, updateRunTime(key, known, record.spec.declaredRunMs, wholeMs))
		if (board.runTimes.size <= RUN_TIMES_KEPT) return
		const [oldest] = board.runTimes.keys()
		if (oldest !== undefined) board.runTimes.take(oldest)
	}
}
