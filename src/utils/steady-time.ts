/**
 * The time by which leases are judged that this host has granted or that another host holds. It leaves out what only the
 * wall clock counted, so it may be late but never early: if the wall clock was set forward, nothing of such a lease has
 * passed. For what this host itself may do, the time of a step is the safe one, which may be early but never late.
 */
import {type Board} from "../internal.js"

export function computeSteadyTime(board: Board, now: number): number {
	return now - findClockJumps(board)
}

/** Milliseconds of the time of a step that only the wall clock counted. */
export function findClockJumps(board: Board): number {
	return board.clockJumps.get("total") ?? 0
}
