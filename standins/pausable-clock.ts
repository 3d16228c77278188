/** Simulates a process that is stopped and continued, and a wall clock that is set forward. */
import {type Clock} from "../src/internal.js"

/** A clock that defers callbacks while it is paused, as a stopped process does; time itself goes on. */
export class PausableClock implements Clock {
	readonly #clock: Clock
	readonly #deferredCallbacks: (() => void)[] = []
	#paused = false
	#jumpsMs = 0

	constructor(clock: Clock) {
		this.#clock = clock
	}

	now(): number {
		return this.#clock.now() + this.#jumpsMs
	}

	readJumps(): number {
		return this.#jumpsMs
	}

	readWallClock(): number {
		return this.#clock.readWallClock() + this.#jumpsMs
	}

	/** Sets the wall clock forward; the system clock can't tell this from a suspension. */
	setForward(ms: number): void {
		this.#jumpsMs += ms
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
