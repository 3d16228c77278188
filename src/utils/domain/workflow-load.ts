/**
 * The reads that load a domain's workflows at the start of a term, and what they have returned so far. A read that fails is
 * repeated by itself, so that a table which refuses some of its calls delays the load and doesn't prevent it.
 */
import {type TableChanges, type TableRow} from "../../internal.js"

/** Issues one of the reads and returns the command's id. */
export type LoadRead = (now: number) => string

export class WorkflowLoad {
	readonly workflowRows: TableRow[] = []
	readonly progressRows: TableRow[] = []
	/** Version that the earliest read of workflows shows; changes are followed from there. */
	version = Infinity
	readonly #pending = new Map<string, LoadRead>()
	#due: LoadRead[]
	#hasProgressed = false

	constructor(reads: readonly LoadRead[]) {
		this.#due = [...reads]
	}

	get isComplete(): boolean {
		return this.#pending.size === 0 && this.#due.length === 0
	}

	/** Issues the reads that have not been issued yet, or have failed since. */
	issueDue(now: number): void {
		for (const read of this.#due) this.#pending.set(read(now), read)
		this.#due = []
	}

	/** Returns whether the command is one of the reads that have not been answered. */
	take(commandId: string): boolean {
		const isPending = this.#pending.delete(commandId)
		this.#hasProgressed ||= isPending
		return isPending
	}

	/** Returns whether a read has been answered since the last call. */
	takeProgress(): boolean {
		const hasProgressed = this.#hasProgressed
		this.#hasProgressed = false
		return hasProgressed
	}

	/** Marks the read of a failed command as due again. */
	takeFailed(commandId: string): void {
		const read = this.#pending.get(commandId)
		this.#pending.delete(commandId)
		if (read !== undefined) this.#due.push(read)
	}

	addWorkflows({rows, version}: TableChanges): void {
		for (const row of rows) this.workflowRows.push(row)
		this.version = Math.min(this.version, version)
	}

	addProgress(rows: readonly TableRow[]): void {
		for (const row of rows) this.progressRows.push(row)
	}
}
