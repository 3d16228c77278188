/**
 * Limits the commits that a host has in flight. The table handles some hundred writes a second for all hosts; when it
 * is slow or down, more requests only add to its backlog. As in TCP, the window halves when an answer is lost and
 * grows by one for each window of answers. Commits beyond it wait at the host.
 */
import {
	type Transition,
	WRITE_WINDOW_ACCEPT_SHARE,
	WRITE_WINDOW_MAX,
	WRITE_WINDOW_MIN,
	isHolderTransition
} from "../../internal.js"

export class WriteWindow {
	#size = WRITE_WINDOW_MAX
	#inFlight = 0
	/** Time of the last halving; the loss of a commit sent before it does not halve the window again. */
	#halvedAt = -1

	get size(): number {
		return Math.floor(this.#size)
	}

	get inFlight(): number {
		return this.#inFlight
	}

	/** New work may use only a part of the window, so that jobs in progress can always end. */
	isOpenFor(transition: Transition): boolean {
		const share = isHolderTransition(transition) ? 1 : WRITE_WINDOW_ACCEPT_SHARE
		return this.#inFlight < Math.max(1, Math.floor(this.#size * share))
	}

	recordSent(): void {
		this.#inFlight++
	}

	recordAnswer(): void {
		this.#inFlight--
		this.#size = Math.min(WRITE_WINDOW_MAX, this.#size + 1 / this.#size)
	}

	/** Halves the window, once for all commits that were in flight together. */
	recordLoss(sentAt: number, now: number): void {
		this.#inFlight--
		if (sentAt < this.#halvedAt) return
		this.#size = Math.max(WRITE_WINDOW_MIN, this.#size / 2)
		this.#halvedAt = now
	}
}
