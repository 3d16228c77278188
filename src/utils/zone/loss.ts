/** Estimates the work lost by stopping a task, so that the tasks with the least loss are stopped first. */
import {type FleetTask, PriorityClass} from "../../internal.js"

/** Time that a stopped job needs to restart, even if it lost no work. */
const RESTART_COST_MS = 5000

const CLASS_WEIGHT: Readonly<Record<PriorityClass, number>> = {
	[PriorityClass.urgent]: 16,
	[PriorityClass.normal]: 4,
	[PriorityClass.batch]: 1
}

/**
 * In accelerator milliseconds of the whole gang, weighted by class; a checkpointed task loses only the restart time.
 */
export function computeLoss(task: FleetTask, now: number): number {
	const unsavedMs = task.checkpointable ? 0 : Math.max(0, now - task.startedAt)
	const width = task.gangMembers * Math.max(1, task.accelerators.length)
	return CLASS_WEIGHT[task.priority] * width * (unsavedMs + RESTART_COST_MS)
}
