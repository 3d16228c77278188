/**
 * Opens the occurrences of workflows that have become due. Of one workflow, only as many are open as have no more tasks
 * than the largest workflow, and at least one; the next one opens when one of them is done. So neither the holder's memory
 * nor a round of placement grows with the number of occurrences that are due.
 */
import {
	type WorkflowEntry,
	type WorkflowRecord,
	WORKFLOW_TASKS_MAX,
	computeDueTime,
	countOccurrences,
	countTasks,
	createOccurrence
} from "../internal.js"

/** Added to the due time of an occurrence, because the wall clocks of hosts differ. */
const DUE_MARGIN_MS = 20

/** Returns the wall time at which the next occurrence becomes due; infinite if none will, or if it has to wait for others. */
export function openDueOccurrences(workflows: readonly WorkflowEntry[], wallNow: number): number {
	let nextDueWallMs = Infinity
	for (const workflow of workflows)
		nextDueWallMs = Math.min(nextDueWallMs, openOccurrences(workflow, wallNow))
	return nextDueWallMs
}

function openOccurrences({record, occurrences, done}: WorkflowEntry, wallNow: number): number {
	const isOpen = (index: number) => !done.has(index)
	let left = computeOpenMax(record) - [...occurrences.keys()].filter(isOpen).length
	for (const index of done.listMissing(countOccurrences(record))) {
		// After a failover a later occurrence may be known from its row while an earlier one had no run yet.
		if (occurrences.has(index)) continue
		if (left <= 0) return Infinity
		const dueWallMs = computeDueTime(record, index) + DUE_MARGIN_MS
		if (record.spec.schedule !== undefined && dueWallMs > wallNow) return dueWallMs
		occurrences.set(index, createOccurrence(record, index))
		left--
	}
	return Infinity
}

function computeOpenMax({spec}: WorkflowRecord): number {
	return Math.max(1, Math.floor(WORKFLOW_TASKS_MAX / countTasks(spec)))
}
