/** A worker's steady clock: it begins at each boot, and may be slower than others. */
import {type Clock} from "../src/internal.js"

/** What it shows when a worker boots. */
const BOOT_MS = 1000

export class BootClock implements Clock {
	readonly #clock: Clock
	readonly #rate: number
	#bootedAt: number

	constructor(clock: Clock, rate = 1) {
		this.#clock = clock
		this.#rate = rate
		this.#bootedAt = clock.now()
	}

	now(): number {
		return Math.floor(BOOT_MS + (this.#clock.now() - this.#bootedAt) * this.#rate)
	}

	readJumps(): number {
		return 0
	}

	readWallClock(): number {
		return this.#clock.readWallClock()
	}

	schedule(delayMs: number, callback: () => void): () => void {
		return this.#clock.schedule(delayMs / this.#rate, callback)
	}

	/** Begins anew, as at a boot; timers that run go on. */
	restart(): void {
		this.#bootedAt = this.#clock.now()
	}
}
