/** Simulates a process that is stopped and continued. */
import {type Clock} from "../src/internal.js"

/** A clock that defers callbacks while it is paused, as a stopped process does; time itself goes on. */
export class PausableClock implements Clock {
	readonly #clock: Clock
	readonly #deferredCallbacks: (() => void)[] = []
	#paused = false

	constructor(clock: Clock) {
		this.#clock = clock
	}

	now(): number {
		return this.#clock.now()
	}

	readWallClock(): number {
		return this.#clock.readWallClock()
	}

	schedule(delayMs: number, callback: () => void): () => void {
		let cancelled = false
		const cancelTimer = this.#clock.schedule(delayMs, () => {
			this.run(() => {
				if (!cancelled) callback()
			})
		})
		return () => {
			cancelled = true
			cancelTimer()
		}
	}

	/** Runs `callback` now, or once the clock is resumed. */
	run(callback: () => void): void {
		if (this.#paused) this.#deferredCallbacks.push(callback)
		else callback()
	}

	pause(): void {
		this.#paused = true
	}

	resume(): void {
		this.#paused = false
		for (const callback of this.#deferredCallbacks.splice(0)) callback()
	}
}
