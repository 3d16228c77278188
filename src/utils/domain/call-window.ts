/**
 * Limits the calls of one kind that a host has in flight. Hundreds that are sent at once wait for the host's own processor
 * time until their deadlines have passed, and what is repeated for that takes more of it. As in TCP, the window begins small,
 * grows with each answer that comes soon, and halves when one comes late, or none comes.
 */
import {type Result} from "neverthrow"
import {type CallError, CALL_WINDOW_MAX, CALL_WINDOW_MIN, RefusedError} from "../../internal.js"

/** Share of its deadline from which an answer is late. */
const LATE_SHARE = 0.25

export class CallWindow {
	readonly #lateMs: number
	/** Shortest time to an answer so far: what is beyond it was spent waiting. */
	#roundTripMs = Infinity
	#size = CALL_WINDOW_MIN
	/** Size from which the window grows by one for each window of answers. */
	#threshold = CALL_WINDOW_MAX
	#inFlight = 0
	#answeredAt = -Infinity
	/** Time of the last halving; a late answer to a call sent before it does not halve the window again. */
	#halvedAt = -Infinity

	constructor(deadlineMs: number) {
		this.#lateMs = deadlineMs * LATE_SHARE
	}

	/** Calls that belong together are sent together, alone if they are more than the window takes. */
	isOpenFor(calls: number): boolean {
		return this.#inFlight === 0 || this.#inFlight + calls <= this.#size
	}

	recordSent(): void {
		this.#inFlight++
	}

	recordEnd(isAnswered: boolean, sentAt: number, now: number): void {
		this.#inFlight--
		if (isAnswered) {
			this.#answeredAt = now
			this.#roundTripMs = Math.min(this.#roundTripMs, now - sentAt)
		}
		if (isAnswered && now - sentAt < this.#roundTripMs + this.#lateMs) {
			const growth = this.#size < this.#threshold ? 1 : 1 / this.#size
			this.#size = Math.min(CALL_WINDOW_MAX, this.#size + growth)
			return
		}
		// Callees that fail say nothing about this host while others answer.
		if (sentAt < this.#halvedAt || (!isAnswered && this.#answeredAt > sentAt)) return
		this.#size = Math.max(CALL_WINDOW_MIN, this.#size / 2)
		this.#threshold = this.#size
		this.#halvedAt = now
	}
}

/** True if the callee answered, if only with a refusal. */
export function isAnswered(result: Result<unknown, CallError>): boolean {
	return result.isOk() || result.error instanceof RefusedError
}
