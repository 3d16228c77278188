/** A commit of the workflow log: the rows that it writes, and the state that is durable once it has succeeded. */
import {
	type Board,
	type Occurrence,
	type RowWrite,
	type WorkflowEntry,
	EventLevel,
	WorkflowState,
	encodeOccurrence,
	formatCancelKey,
	formatPendingKey,
	formatProgressKey,
	formatStateKey,
	formatWorkflowKey,
	isFinal
} from "../internal.js"

interface SavedState {
	readonly entry: WorkflowEntry
	readonly state: WorkflowState
}
interface SavedOccurrence {
	readonly occurrence: Occurrence
	readonly revision: number
	readonly isRemoved: boolean
}
export interface CommitBatch {
	readonly writes: RowWrite[]
	readonly states: SavedState[]
	readonly occurrences: SavedOccurrence[]
	readonly removed: WorkflowEntry[]
}

export interface WorkflowStateRow {
	readonly workspace: string
	readonly state: WorkflowState
}

export function createCommitBatch(): CommitBatch {
	return {writes: [], states: [], occurrences: [], removed: []}
}

/** Adds the changes of one workflow that are not in the table yet. */
export function addChanges(batch: CommitBatch, entry: WorkflowEntry): void {
	const {record, state, stateVersion} = entry
	const isEnded = isFinal(state)
	for (const occurrence of entry.occurrences.values()) {
		const {key, rowVersion, revision, savedRevision} = occurrence
		const isRemoved = isEnded && rowVersion > 0
		if (!isRemoved && (revision === savedRevision || isEnded)) continue
		batch.writes.push({
			key: formatProgressKey(key),
			ifVersion: rowVersion,
			value: isRemoved ? null : encodeOccurrence(occurrence)
		})
		batch.occurrences.push({occurrence, revision, isRemoved})
	}
	if (state === entry.savedState && (entry.pendingRemoved || state === WorkflowState.queued)) return
	const row: WorkflowStateRow = {workspace: record.workspace, state}
	batch.writes.push({
		key: formatStateKey(record.id),
		ifVersion: stateVersion,
		value: JSON.stringify(row)
	})
	if (!entry.pendingRemoved)
		batch.writes.push({key: formatPendingKey(record.id), ifVersion: -1, value: null})
	batch.states.push({entry, state})
}

/** Adds the deletion of all rows of a workflow that ended long ago. */
export function addRemoval(batch: CommitBatch, entry: WorkflowEntry): void {
	const {id} = entry.record
	batch.removed.push(entry)
	batch.writes.push(
		{key: formatWorkflowKey(id), ifVersion: -1, value: null},
		{key: formatStateKey(id), ifVersion: -1, value: null},
		{key: formatCancelKey(id), ifVersion: -1, value: null}
	)
}

/** Records what a successful commit has made durable; `versions` holds the new row versions by key. */
export function recordSaved(
	board: Board,
	batch: CommitBatch,
	versions: ReadonlyMap<string, number>
): void {
	const touched = new Set<WorkflowEntry>()
	for (const {entry, state} of batch.states) {
		const {id} = entry.record
		entry.savedState = state
		entry.stateVersion = versions.get(formatStateKey(id)) ?? entry.stateVersion
		entry.pendingRemoved = true
		touched.add(entry)
		board.record(EventLevel.info, "workflow-state", {workflow: id, state})
	}
	for (const {occurrence, revision, isRemoved} of batch.occurrences) {
		occurrence.savedRevision = revision
		occurrence.rowVersion = isRemoved
			? 0
			: (versions.get(formatProgressKey(occurrence.key)) ?? occurrence.rowVersion)
		const [id = ""] = occurrence.key.split(".")
		const entry = board.workflows.get(id)
		if (entry !== undefined) touched.add(entry)
	}
	for (const {record} of batch.removed) board.workflows.delete(record.id)
	for (const entry of touched) board.workflows.set(entry.record.id, entry)
}

/** Adopts the row versions that a conflicting commit found, so that the next commit expects them. */
export function adoptVersions(
	{states, occurrences}: CommitBatch,
	versions: ReadonlyMap<string, number>
): void {
	for (const {entry} of states)
		entry.stateVersion = versions.get(formatStateKey(entry.record.id)) ?? entry.stateVersion
	for (const {occurrence} of occurrences)
		occurrence.rowVersion = versions.get(formatProgressKey(occurrence.key)) ?? occurrence.rowVersion
}
