import {type Board, type SectionName} from "../internal.js"

/**
 * A controller makes one kind of decision: it reads sections of the board and writes its decisions to others.
 * It uses no socket, no thread and no clock other than `now`.
 */
export interface Controller {
	/** Stable name, used as the owner of the commands it issues. */
	readonly name: string
	/** Sections whose changes wake this controller. */
	readonly reads: readonly SectionName[]
	/**
	 * Makes the decisions that are due, from the board alone.
	 *
	 * @param now monotonic milliseconds, for what this host may do; see `computeSteadyTime` for what others may do
	 * @returns when to step again even if nothing changes, or undefined to wait for a change
	 */
	step(board: Board, now: number): number | undefined
}
