/**
 * A commit of the workflow log: the rows that it writes, and the state that is durable once it has succeeded. The platform
 * limits the size of a commit, so a workflow with more changes than fit is written in several; its state goes first, and
 * the row of each occurrence stands for itself. The state names the occurrences that are done, whose rows are deleted.
 */
import {
	ANY_VERSION,
	COMMIT_BYTES_MAX,
	COMMIT_ENTRIES_MAX,
	type Board,
	type Occurrence,
	type RowWrite,
	type StepProgress,
	type WorkflowEntry,
	EventLevel,
	TaskPhase,
	WorkflowState,
	encodeOccurrence,
	encodeWorkflowState,
	formatCancelKey,
	formatPendingKey,
	formatProgressKey,
	formatStateKey,
	formatWorkflowKey,
	isFinal
} from "../../internal.js"

interface SavedState {
	readonly entry: WorkflowEntry
	readonly state: WorkflowState
	/** Number of occurrences that it names as done. */
	readonly done: number
}
interface SavedOccurrence {
	readonly occurrence: Occurrence
	readonly revision: number
	/** Number of its rows before or after the commit, whichever is larger. */
	readonly rows: number
}

/** Bytes that the names of a row and the encoding of one entry take at most. */
const ENTRY_OVERHEAD_BYTES = 1000
const BASE64_GROUP_BYTES = 3
const BASE64_GROUP_CHARACTERS = 4

export class CommitBatch {
	readonly writes: RowWrite[] = []
	readonly states: SavedState[] = []
	readonly occurrences: SavedOccurrence[] = []
	readonly removed: WorkflowEntry[] = []
	#entries: number
	#bytes: number

	/** The batch contains `conditions` in any case. */
	constructor(conditions: readonly RowWrite[] = []) {
		this.#entries = sumEntries(conditions)
		this.#bytes = sumBytes(conditions)
	}

	/** Adds all of the writes, or none if the commit would become too large. */
	add(writes: readonly RowWrite[]): boolean {
		const entries = this.#entries + sumEntries(writes)
		const bytes = this.#bytes + sumBytes(writes)
		if (entries > COMMIT_ENTRIES_MAX || bytes > COMMIT_BYTES_MAX) return false
		this.#entries = entries
		this.#bytes = bytes
		this.writes.push(...writes)
		return true
	}

	/** Ids of the workflows whose rows it changes. */
	listWorkflows(): string[] {
		const ids = [
			...this.states.map(({entry}) => entry.record.id),
			...this.occurrences.map(({occurrence}) => occurrence.key.split(".")[0] ?? ""),
			...this.removed.map(({record}) => record.id)
		]
		return [...new Set(ids)]
	}
}

/** The check of a row's version and its change are two entries. */
function sumEntries(writes: readonly RowWrite[]): number {
	return writes.reduce(
		(sum, {ifVersion, value}) =>
			sum + Number(ifVersion !== ANY_VERSION) + Number(value !== undefined),
		0
	)
}

function sumBytes(writes: readonly RowWrite[]): number {
	return writes.reduce((sum, {value}) => sum + ENTRY_OVERHEAD_BYTES + computeBase64(value), 0)
}

function computeBase64(value: RowWrite["value"]): number {
	return Math.ceil(Buffer.byteLength(value ?? "") / BASE64_GROUP_BYTES) * BASE64_GROUP_CHARACTERS
}

/** Adds the changes of one workflow that are not in the table yet. Returns false if not all of them fit. */
export function addChanges(batch: CommitBatch, entry: WorkflowEntry): boolean {
	if (!addState(batch, entry)) return false
	const isEnded = isFinal(entry.state)
	for (const occurrence of entry.occurrences.values()) {
		const {index, revision, savedRevision, rowVersions} = occurrence
		const isOver = isEnded || entry.done.has(index)
		if (!isOver && revision === savedRevision) continue
		const values = isOver ? [] : encodeOccurrence(occurrence)
		const writes = buildProgressWrites(occurrence, values)
		if (writes.length === 0) continue
		if (!batch.add(writes)) return false
		const rows = Math.max(values.length, rowVersions.length)
		batch.occurrences.push({occurrence, revision, rows})
	}
	return true
}

/** Replaces the occurrence's rows by rows with these values. */
function buildProgressWrites({key, rowVersions}: Occurrence, values: readonly string[]) {
	const writes: RowWrite[] = []
	for (let part = 0; part < Math.max(values.length, rowVersions.length); part++) {
		const ifVersion = rowVersions[part] ?? 0
		const value = values[part] ?? null
		if (value !== null || ifVersion > 0)
			writes.push({key: formatProgressKey(key, part), ifVersion, value})
	}
	return writes
}

function addState(batch: CommitBatch, entry: WorkflowEntry): boolean {
	const {record, state, stateVersion, done} = entry
	const isDoneSaved = isFinal(state) || done.size === entry.savedDone
	const isPendingSaved = entry.pendingRemoved || state === WorkflowState.queued
	if (state === entry.savedState && isDoneSaved && isPendingSaved) return true
	const writes: RowWrite[] = [
		{key: formatStateKey(record.id), ifVersion: stateVersion, value: encodeWorkflowState(entry)}
	]
	if (!entry.pendingRemoved)
		writes.push({key: formatPendingKey(record.id), ifVersion: ANY_VERSION, value: null})
	if (!batch.add(writes)) return false
	batch.states.push({entry, state, done: done.size})
	return true
}

/** Adds the deletion of all rows of a workflow that ended long ago. Returns false if they don't fit. */
export function addRemoval(batch: CommitBatch, entry: WorkflowEntry): boolean {
	const {id} = entry.record
	const keys = [formatWorkflowKey(id), formatStateKey(id), formatCancelKey(id)]
	if (!batch.add(keys.map(key => ({key, ifVersion: ANY_VERSION, value: null})))) return false
	batch.removed.push(entry)
	return true
}

/** Records what a successful commit has made durable; `versions` holds the new row versions by key. */
export function recordSaved(
	board: Board,
	batch: CommitBatch,
	versions: ReadonlyMap<string, number>
): void {
	const touched = new Set<WorkflowEntry>()
	for (const {entry, state, done} of batch.states) {
		const {id} = entry.record
		const isNews = state !== entry.savedState
		entry.savedState = state
		entry.savedDone = done
		entry.stateVersion = versions.get(formatStateKey(id)) ?? entry.stateVersion
		entry.pendingRemoved = true
		touched.add(entry)
		if (isNews) board.record(EventLevel.info, "workflow-state", {workflow: id, state})
	}
	for (const saved of batch.occurrences) {
		const {occurrence, revision} = saved
		occurrence.savedRevision = revision
		recordRowVersions(saved, versions)
		const [id = ""] = occurrence.key.split(".")
		const entry = board.workflows.get(id)
		if (entry !== undefined) touched.add(entry)
	}
	for (const {record} of batch.removed) board.workflows.delete(record.id)
	for (const entry of touched) {
		removeFinished(entry)
		board.workflows.set(entry.record.id, entry)
	}
}

/** Removes occurrences of which nothing is left on a worker or in the table, and nothing remains to be done. */
function removeFinished({savedState, occurrences, done}: WorkflowEntry): void {
	for (const [index, occurrence] of occurrences) {
		const {revision, savedRevision, rowVersions, steps} = occurrence
		const isOver = isFinal(savedState) || (done.has(index) && savedRevision >= revision)
		const hasRows = rowVersions.some(version => version > 0)
		if (isOver && !hasRows && !steps.some(hasRuns)) occurrences.delete(index)
	}
}

function hasRuns({tasks}: StepProgress): boolean {
	return tasks.some(({phase}) => phase !== TaskPhase.waiting && phase !== TaskPhase.done)
}

/** Adopts the row versions that a conflicting commit found, so that the next commit expects them. */
export function adoptVersions(
	{states, occurrences}: CommitBatch,
	versions: ReadonlyMap<string, number>
): void {
	for (const {entry} of states)
		entry.stateVersion = versions.get(formatStateKey(entry.record.id)) ?? entry.stateVersion
	for (const saved of occurrences) recordRowVersions(saved, versions)
}

function recordRowVersions(
	{occurrence: {key, rowVersions}, rows}: SavedOccurrence,
	versions: ReadonlyMap<string, number>
): void {
	for (let part = 0; part < rows; part++)
		rowVersions[part] = versions.get(formatProgressKey(key, part)) ?? rowVersions[part] ?? 0
}
