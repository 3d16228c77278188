/**
 * Tracks whether a dependency of a controller is available. Logs when it is lost and when it is regained, not each
 * failure in between. The delay before the next try doubles up to a limit.
 */
import {
	type Board,
	type CallError,
	EventLevel,
	OUTAGE_RETRY_MAX_MS,
	OUTAGE_RETRY_MIN_MS,
	ReasonCode
} from "../internal.js"

export class Outage {
	readonly #name: string
	#failures = 0

	/** The events are named `name-lost` and `name-regained`. */
	constructor(name: string) {
		this.#name = name
	}

	get isOngoing(): boolean {
		return this.#failures > 0
	}

	/**
	 * Returns when to try again. The delay counts from when the failed call was sent: one that was not answered has waited
	 * long enough.
	 */
	recordFailure(board: Board, error: CallError, sentAt: number, now: number): number {
		if (this.#failures === 0) {
			const fields = {detail: error.message}
			board.record(EventLevel.warn, `${this.#name}-lost`, fields, ReasonCode.platformUnavailable)
		}
		const delayMs = OUTAGE_RETRY_MIN_MS * 2 ** this.#failures++
		return Math.max(now, sentAt + Math.min(OUTAGE_RETRY_MAX_MS, delayMs))
	}

	recordSuccess(board: Board): void {
		if (this.#failures > 0)
			board.record(EventLevel.info, `${this.#name}-regained`, {failures: this.#failures})
		this.#failures = 0
	}
}
