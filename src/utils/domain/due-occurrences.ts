/**
 * Opens the occurrences of workflows that have become due. Of one workflow, only as many are open as have no more tasks
 * than the largest workflow, and at least one; the next one opens when one of them is done. So neither the holder's memory
 * nor a round of placement grows with the number of occurrences that are due.
 */
import {
	type WorkflowEntry,
	type WorkflowRecord,
	DOMAIN_TASKS_MAX,
	WORKFLOW_TASKS_MAX,
	computeDueTime,
	countOccurrences,
	countTasks,
	createOccurrence
} from "../../internal.js"

/** Added to the due time of an occurrence, because the wall clocks of hosts differ. */
const DUE_MARGIN_MS = 20

/** Tasks of all open occurrences; beyond it, a workspace opens no second one. Workspaces may overrun their shares for a moment. */
const OPEN_TASKS_MAX = 2 * DOMAIN_TASKS_MAX

/** What is open, by workspace and in all. */
class OpenTasks {
	#total = 0
	readonly #workspaces = new Set<string>()

	add({workspace}: WorkflowRecord, tasks: number): void {
		if (tasks === 0) return
		this.#total += tasks
		this.#workspaces.add(workspace)
	}

	mayAdd({workspace}: WorkflowRecord, tasks: number): boolean {
		return this.#total + tasks <= OPEN_TASKS_MAX || !this.#workspaces.has(workspace)
	}
}

/** Returns the wall time at which the next occurrence becomes due; infinite if none will, or if it has to wait for others. */
export function openDueOccurrences(workflows: readonly WorkflowEntry[], wallNow: number): number {
	const openTasks = new OpenTasks()
	for (const workflow of workflows) {
		const {record} = workflow
		openTasks.add(record, countOpen(workflow) * countTasks(record.spec))
	}
	let nextDueWallMs = Infinity
	for (const workflow of workflows)
		nextDueWallMs = Math.min(nextDueWallMs, openOccurrences(workflow, openTasks, wallNow))
	return nextDueWallMs
}

function openOccurrences(workflow: WorkflowEntry, openTasks: OpenTasks, wallNow: number): number {
	const {record, occurrences, done} = workflow
	const tasks = countTasks(record.spec)
	let left = computeOpenMax(record) - countOpen(workflow)
	for (const index of done.listMissing(countOccurrences(record))) {
		// After a failover a later occurrence may be known from its row while an earlier one had no run yet.
		if (occurrences.has(index)) continue
		if (left <= 0 || !openTasks.mayAdd(record, tasks)) return Infinity
		const dueWallMs = computeDueTime(record, index) + DUE_MARGIN_MS
		if (record.spec.schedule !== undefined && dueWallMs > wallNow) return dueWallMs
		occurrences.set(index, createOccurrence(record, index))
		openTasks.add(record, tasks)
		left--
	}
	return Infinity
}

function countOpen({occurrences, done}: WorkflowEntry): number {
	let count = 0
	for (const index of occurrences.keys()) if (!done.has(index)) count++
	return count
}

/** Number of a workflow's occurrences that may be open at a time. */
export function computeOpenMax({spec}: WorkflowRecord): number {
	return Math.max(1, Math.floor(WORKFLOW_TASKS_MAX / countTasks(spec)))
}
