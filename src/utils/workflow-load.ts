/** The reads that load a domain's workflows at the start of a term, and what they have returned so far. */
import {type TableChanges, type TableRow} from "../internal.js"

export class WorkflowLoad {
	readonly workflowRows: TableRow[] = []
	readonly progressRows: TableRow[] = []
	/** Version that the earliest read of workflows shows; changes are followed from there. */
	version = Infinity
	readonly #pending = new Set<string>()

	get isComplete(): boolean {
		return this.#pending.size === 0
	}

	add(...commandIds: readonly string[]): void {
		for (const id of commandIds) this.#pending.add(id)
	}

	/** Returns whether the command is one of the reads that have not been answered. */
	take(commandId: string): boolean {
		return this.#pending.delete(commandId)
	}

	addWorkflows({rows, version}: TableChanges): void {
		this.workflowRows.push(...rows)
		this.version = Math.min(this.version, version)
	}

	addProgress(rows: readonly TableRow[]): void {
		this.progressRows.push(...rows)
	}
}
