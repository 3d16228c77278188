/**
 * Adopts the rows of workflows: those that a term begins with, and those that callers add later. The first ones are
 * adopted a part at a time, so that the holder renews its lease in between, however many there are.
 */
import {
	type Board,
	type ProgressRows,
	type TableRow,
	type WorkflowEntry,
	type WorkflowLoad,
	EventLevel,
	TaskPhase,
	Tombstones,
	WorkflowRowKind,
	WorkflowState,
	countOccurrences,
	createOccurrence,
	createTaskRef,
	createWorkflowEntry,
	decodeWorkflowRecord,
	decodeWorkflowState,
	endWorkflow,
	findObjective,
	groupProgressRows,
	isFinal,
	isOccurrenceDone,
	isTombstone,
	parseWorkflowKey,
	recordMalformedRow,
	restoreOccurrence
} from "../../internal.js"

/** Size of the rows that are adopted at a time, each with an allowance for what doesn't grow with its value. */
const PART_CHARACTERS = 1_500_000
const ROW_ALLOWANCE = 500

interface Part {
	readonly characters: number
	readonly adopt: (now: number) => void
}

export class WorkflowAdoption {
	/** Ended workflows, oldest first, until their rows are deleted. */
	readonly ended = new Set<string>()
	/** Rows of cancellations by callers who had no workflow of the id. */
	readonly tombstones = new Tombstones()
	/** Workflows with a malformed row, which are not scheduled in this term. */
	readonly #excluded = new Set<string>()
	readonly #board: Board
	readonly #readWallClock: () => number
	#parts: Part[] = []

	constructor(board: Board, readWallClock: () => number) {
		this.#board = board
		this.#readWallClock = readWallClock
	}

	/** True while parts of a term's first rows are left. */
	get isPending(): boolean {
		return this.#parts.length > 0
	}

	clear(): void {
		this.ended.clear()
		this.tombstones.clear()
		this.#excluded.clear()
		this.#parts = []
	}

	/** Plans the adoption of the rows that a term begins with. */
	plan({workflowRows, progressRows}: WorkflowLoad): void {
		const measureRow = ({value}: TableRow) => value.length + ROW_ALLOWANCE
		const measureGroup = ({rows}: ProgressRows) =>
			rows.reduce((sum, row) => sum + measureRow(row), 0)
		const rowsOf = (kind: WorkflowRowKind) => workflowRows.filter(row => isRowOf(row, kind))
		this.#parts = [
			...splitParts(rowsOf(WorkflowRowKind.record), measureRow, (rows, now) => {
				this.#adoptRecords(rows, now)
			}),
			...splitParts(rowsOf(WorkflowRowKind.state), measureRow, rows => {
				this.#adoptStates(rows)
			}),
			...splitParts(rowsOf(WorkflowRowKind.cancel), measureRow, (rows, now) => {
				this.#adoptCancellations(rows, now)
			}),
			...splitParts(rowsOf(WorkflowRowKind.tombstone), measureRow, (rows, now) => {
				this.#adoptCancellations(rows, now)
			}),
			...splitParts(groupProgressRows(progressRows), measureGroup, (groups, now) => {
				for (const group of groups) this.#restoreProgress(group, now)
			}),
			// A term that begins without rows has a part as well.
			{characters: 0, adopt: () => undefined}
		]
	}

	/** Adopts the next part, or several if they are small. Returns whether others are left. */
	adoptNext(now: number): boolean {
		let characters = 0
		while (characters < PART_CHARACTERS && this.#parts.length > 0) {
			const part = this.#parts.shift()
			part?.adopt(now)
			characters += part?.characters ?? 0
		}
		return this.isPending
	}

	/** All states must be known before the cancellations: one after the end of a workflow has no effect. */
	adoptRows(rows: readonly TableRow[], now: number): void {
		this.#adoptRecords(rows, now)
		this.#adoptStates(rows)
		this.#adoptCancellations(rows, now)
	}

	#adoptRecords(rows: readonly TableRow[], now: number): void {
		for (const row of rows) if (isRowOf(row, WorkflowRowKind.record)) this.#adoptRecord(row, now)
	}

	#adoptStates(rows: readonly TableRow[]): void {
		for (const row of rows) {
			const entry = this.#board.workflows.get(parseWorkflowKey(row.key).id)
			if (entry !== undefined && isRowOf(row, WorkflowRowKind.state)) this.#adoptState(entry, row)
		}
	}

	/** A workflow beside a tombstone of its owner was accepted by a host of an earlier version, which asks for none. */
	#adoptCancellations(rows: readonly TableRow[], now: number): void {
		for (const row of rows) if (isTombstone(row)) this.tombstones.adopt(row, now)
		for (const row of rows) {
			const {id} = parseWorkflowKey(row.key)
			const entry = this.#board.workflows.get(id)
			if (entry === undefined) continue
			if (isRowOf(row, WorkflowRowKind.cancel) || this.tombstones.has(id, entry.record))
				cancelWorkflow(this.#board, entry, now)
		}
	}

	#adoptRecord(row: TableRow, now: number): void {
		const {id} = parseWorkflowKey(row.key)
		if (this.#board.workflows.has(id) || this.#excluded.has(id)) return
		const decoded = decodeWorkflowRecord(row.value)
		if (decoded.isErr() || decoded.value.id !== id) {
			recordMalformedRow(this.#board, row, decoded.isErr() ? decoded.error.message : "another id")
			return
		}
		const record = decoded.value
		const entry = createWorkflowEntry(record, now, this.#readWallClock(), row.value.length)
		this.#board.workflows.set(id, entry)
		this.#board.record(EventLevel.info, "workflow-taken-up", {
			workflow: id,
			queue: record.queue,
			workspace: record.workspace,
			ageMs: Math.round(now - entry.acceptedAt),
			objectiveMs: findObjective(this.#board, entry)
		})
	}

	/** Only holders write states, so a state unknown to this holder was written by an earlier one. */
	#adoptState(entry: WorkflowEntry, row: TableRow): void {
		if (row.version <= entry.stateVersion) return
		entry.stateVersion = row.version
		if (this.#board.terms.has("loaded")) return
		const decoded = decodeWorkflowState(row.value)
		if (decoded.isErr()) {
			recordMalformedRow(this.#board, row, decoded.error.message)
			this.#exclude(entry)
			return
		}
		const {state, done} = decoded.value
		if ((done.at(-1)?.[1] ?? -1) >= countOccurrences(entry.record)) {
			recordMalformedRow(this.#board, row, "no such occurrence")
			this.#exclude(entry)
			return
		}
		entry.done.append(done)
		entry.savedDone = entry.done.size
		entry.state = state
		entry.savedState = state
		entry.pendingRemoved = true
		if (isFinal(state)) {
			entry.endedAt = entry.seenAt
			this.ended.add(entry.record.id)
		}
	}

	#restoreProgress({key, rows}: ProgressRows, now: number): void {
		const [id = "", index = "", ...others] = key.split(".")
		const workflow = this.#board.workflows.get(id)
		if (workflow === undefined) return
		const occurrence = createOccurrence(workflow.record, Number(index))
		const isDue =
			/^\d+$/.test(index) &&
			others.length === 0 &&
			occurrence.index < countOccurrences(workflow.record)
		if (isDue && workflow.done.has(occurrence.index)) {
			// The deletion of its rows was left to a later commit.
			const rowVersions = rows.map(({version}) => version)
			workflow.occurrences.set(occurrence.index, {...occurrence, steps: [], rowVersions})
			return
		}
		const restored = restoreOccurrence(occurrence, rows, now)
		if (!isDue || restored.isErr()) {
			const detail = restored.isErr() ? restored.error.message : "no such occurrence"
			for (const row of rows) recordMalformedRow(this.#board, row, detail)
			// Without its progress, work that is done or running would start again.
			if (isDue) this.#exclude(workflow)
			return
		}
		workflow.occurrences.set(occurrence.index, occurrence)
		if (isOccurrenceDone(occurrence)) workflow.done.add(occurrence.index)
		for (const [stepIndex, step] of occurrence.steps.entries())
			for (const [taskIndex, task] of step.tasks.entries()) {
				if (task.phase !== TaskPhase.starting) continue
				const ref = createTaskRef(workflow, occurrence, stepIndex, taskIndex)
				if (ref === undefined) continue
				this.#board.runs.set(ref.taskId, ref)
				this.#board.reportRequests.set(task.workerId, now)
			}
	}

	/** Schedules nothing of a workflow whose rows can't be read, in this term. */
	#exclude({record}: WorkflowEntry): void {
		for (const taskId of [...this.#board.runs.keys()])
			if (taskId.startsWith(`${record.id}.`)) this.#board.runs.delete(taskId)
		this.#board.workflows.delete(record.id)
		this.ended.delete(record.id)
		this.#excluded.add(record.id)
	}
}

/** True if the row exists and is of this kind. */
function isRowOf({key, version}: TableRow, kind: WorkflowRowKind): boolean {
	return version > 0 && parseWorkflowKey(key).kind === kind
}

function splitParts<T>(
	items: readonly T[],
	measure: (item: T) => number,
	adopt: (items: readonly T[], now: number) => void
): Part[] {
	const parts: Part[] = []
	let taken: T[] = []
	let characters = 0
	const close = () => {
		const part = taken
		parts.push({
			characters,
			adopt: now => {
				adopt(part, now)
			}
		})
		taken = []
		characters = 0
	}
	for (const item of items) {
		taken.push(item)
		characters += measure(item)
		if (characters >= PART_CHARACTERS) close()
	}
	if (taken.length > 0) close()
	return parts
}

function cancelWorkflow(board: Board, entry: WorkflowEntry, now: number): void {
	if (entry.cancelRequested) return
	entry.cancelRequested = true
	endWorkflow(board, entry, WorkflowState.cancelled, now)
}
