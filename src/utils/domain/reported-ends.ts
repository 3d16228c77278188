/**
 * The one rule for when a worker may forget the end of a run: once all that follows from it is in the table, so that a
 * successor needs the end no more. Nothing follows from an end before its run is released or its task is done; until then
 * the end stays open, and is looked at again with each report that lists it.
 */
import {type TaskRef, isSaved} from "../../internal.js"

interface OpenEnd {
	readonly ref: TaskRef
	/** Revision of the occurrence that has what follows from the end; undefined while nothing does. */
	readonly revision: number | undefined
}

/** Ends that one incarnation of a worker has listed. */
export class ReportedEnds {
	readonly incarnation: string
	/** Position of the latest end that was listed; a worker lists them in order. */
	#lastPosition = 0
	/** Ends that may not be forgotten yet, by position in ascending order. */
	readonly #open = new Map<number, OpenEnd>()

	constructor(incarnation: string) {
		this.incarnation = incarnation
	}

	isKnown(position: number): boolean {
		return position <= this.#lastPosition
	}

	/** True if something may still follow from the end. */
	isDue(position: number): boolean {
		const known = this.#open.get(position)
		return !this.isKnown(position) || (known !== undefined && known.revision === undefined)
	}

	/** Records an end from which nothing follows yet. */
	defer(position: number, ref: TaskRef): void {
		this.#add(position, {ref, revision: undefined})
	}

	/** Records an end from which all has followed that will; without a task, that is nothing. */
	settle(position: number, ref: TaskRef | undefined): void {
		if (ref !== undefined) this.#add(position, {ref, revision: ref.occurrence.revision})
		else {
			this.#open.delete(position)
			this.#lastPosition = Math.max(this.#lastPosition, position)
		}
	}

	/** Position up to which the worker may forget its ends. */
	findAcknowledged(): number {
		for (const [position, {ref, revision}] of this.#open) {
			if (revision === undefined || !isSaved(ref.workflow, ref.occurrence, revision))
				return position - 1
			this.#open.delete(position)
		}
		return this.#lastPosition
	}

	#add(position: number, end: OpenEnd): void {
		this.#open.set(position, end)
		this.#lastPosition = Math.max(this.#lastPosition, position)
	}
}
