/**
 * Time source of the decisions: monotonic milliseconds and one-shot timers. Wall-clock time is for display only;
 * no decision compares it. Tests and benchmarks use the manual clock.
 */
export interface Clock {
	/** Monotonic milliseconds since an arbitrary start, never less than have passed. */
	now(): number
	/** Milliseconds of `now` that may not have passed: only the wall clock counted them. */
	readJumps(): number
	/** Runs `callback` once after `delayMs`, or earlier if that is more than 24 days; the returned function cancels it. */
	schedule(delayMs: number, callback: () => void): () => void
	/** Wall-clock milliseconds since the epoch, for display only. */
	readWallClock(): number
}

/** Longest delay of a timer of Node.js, which fires a later one after 1 ms. */
const TIMER_DELAY_MAX_MS = 2 ** 31 - 1

/** A wall clock that advances by this much more than the monotonic clock indicates a suspension. */
const SUSPENSION_MIN_MS = 250

/**
 * The monotonic clock stops while the machine is suspended, but leases and permits continue to elapse. Time that only
 * the wall clock counted is therefore added to it: this host's own leases and permits may end early, but never late. A
 * wall clock that is set forward looks the same, so leases that this host has granted, or that another host holds, are
 * judged without that time. A wall clock that is set back has no effect.
 */
export class SystemClock implements Clock {
	#jumpsMs = 0
	#wallOffsetMs = Date.now() - performance.now()

	now(): number {
		const monotonicMs = performance.now()
		const wallOffsetMs = Date.now() - monotonicMs
		const jumpMs = wallOffsetMs - this.#wallOffsetMs
		if (jumpMs > SUSPENSION_MIN_MS) this.#jumpsMs += jumpMs
		if (Math.abs(jumpMs) > SUSPENSION_MIN_MS) this.#wallOffsetMs = wallOffsetMs
		return monotonicMs + this.#jumpsMs
	}

	readJumps(): number {
		return this.#jumpsMs
	}

	schedule(delayMs: number, callback: () => void): () => void {
		const timer = setTimeout(callback, Math.min(TIMER_DELAY_MAX_MS, Math.max(0, delayMs)))
		return () => {
			clearTimeout(timer)
		}
	}

	readWallClock(): number {
		return Date.now()
	}
}

interface ManualTimer {
	readonly dueAt: number
	readonly order: number
	readonly callback: () => void
}

/** A clock that advances only through `advance`, and fires timers in due order. */
export class ManualClock implements Clock {
	#now = 0
	#order = 0
	readonly #timers = new Set<ManualTimer>()

	now(): number {
		return this.#now
	}

	readJumps(): number {
		return 0
	}

	schedule(delayMs: number, callback: () => void): () => void {
		const timer = {dueAt: this.#now + Math.max(0, delayMs), order: this.#order++, callback}
		this.#timers.add(timer)
		return () => {
			this.#timers.delete(timer)
		}
	}

	readWallClock(): number {
		return this.#now
	}

	/** Advances the time by `ms` and fires every timer that becomes due. */
	advance(ms: number): void {
		const target = this.#now + ms
		for (;;) {
			const next = this.#findNextTimer(target)
			if (next === undefined) break
			this.#timers.delete(next)
			this.#now = Math.max(this.#now, next.dueAt)
			next.callback()
		}
		this.#now = target
	}

	#findNextTimer(target: number): ManualTimer | undefined {
		let next: ManualTimer | undefined
		for (const timer of this.#timers) {
			if (timer.dueAt > target) continue
			if (next === undefined || timer.dueAt < next.dueAt) next = timer
			else if (timer.dueAt === next.dueAt && timer.order < next.order) next = timer
		}
		return next
	}
}
