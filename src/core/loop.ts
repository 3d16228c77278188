/**
 * The controller loop wakes controllers whose sections changed, and sets one timer for the earliest time that any of
 * them requested. The board is not polled and no thread spins; between changes the process sleeps.
 */
import {
	type Board,
	type Clock,
	type Controller,
	type SectionName,
	InvariantError,
	MAX_ROUNDS_PER_TURN
} from "../internal.js"

interface Slot {
	readonly controller: Controller
	dirty: boolean
	nextAt: number | undefined
}

export class ControllerLoop {
	readonly #board: Board
	readonly #clock: Clock
	readonly #slots: Slot[]
	readonly #readers = new Map<SectionName, Slot[]>()
	#cancelTimer: (() => void) | undefined
	#scheduled = false
	#running = false
	#stopped = true

	readonly #onIdle: () => void

	/** `onIdle` runs after each turn, when no controller has work left; adapters drain the board in it. */
	constructor(
		board: Board,
		clock: Clock,
		controllers: readonly Controller[],
		onIdle: () => void = () => undefined
	) {
		this.#onIdle = onIdle
		this.#board = board
		this.#clock = clock
		this.#slots = controllers.map(controller => ({controller, dirty: true, nextAt: undefined}))
		for (const slot of this.#slots) this.#registerReads(slot)
	}

	/** Starts the loop; every controller is stepped once at first. */
	start(): void {
		this.#stopped = false
		this.#board.bindAll((section, owner) => {
			this.#wake(section, owner)
		})
		this.#schedule()
	}

	stop(): void {
		this.#stopped = true
		this.#cancelTimer?.()
	}

	/** Steps dirty and due controllers until there are none; tests with a manual clock call it directly. */
	runTurn(): void {
		this.#scheduled = false
		if (this.#stopped) return
		this.#running = true
		let rounds = 0
		while (this.#runRound()) {
			if (++rounds > MAX_ROUNDS_PER_TURN) throw new InvariantError("controllers do not settle")
		}
		this.#running = false
		this.#armTimer()
		this.#onIdle()
	}

	#registerReads(slot: Slot): void {
		for (const section of slot.controller.reads) {
			const readers = this.#readers.get(section) ?? []
			readers.push(slot)
			this.#readers.set(section, readers)
		}
	}

	/** Wakes the section's readers, or only `owner` if the changed entry belongs to it: no other reader takes it. */
	#wake(section: SectionName, owner: string | undefined): void {
		for (const slot of this.#readers.get(section) ?? [])
			if (owner === undefined || slot.controller.name === owner) slot.dirty = true
		this.#schedule()
	}

	#schedule(): void {
		if (this.#scheduled || this.#running || this.#stopped) return
		this.#scheduled = true
		this.#cancelTimer?.()
		this.#cancelTimer = this.#clock.schedule(0, () => {
			this.runTurn()
		})
	}

	#runRound(): boolean {
		const now = this.#clock.now()
		this.#publishJumps()
		let stepped = false
		for (const slot of this.#slots) {
			if (!slot.dirty && (slot.nextAt === undefined || slot.nextAt > now)) continue
			slot.dirty = false
			slot.nextAt = undefined
			const nextAt = slot.controller.step(this.#board, now)
			// A timer takes no infinite delay: Node fires it after 1 ms.
			if (nextAt !== undefined && nextAt < Infinity) slot.nextAt = nextAt
			stepped = true
		}
		return stepped
	}

	#publishJumps(): void {
		const jumpsMs = this.#clock.readJumps()
		if (jumpsMs !== (this.#board.clockJumps.get("total") ?? 0))
			this.#board.clockJumps.set("total", jumpsMs)
	}

	#armTimer(): void {
		this.#cancelTimer?.()
		this.#cancelTimer = undefined
		let earliest: number | undefined
		for (const slot of this.#slots) {
			if (slot.nextAt !== undefined && (earliest === undefined || slot.nextAt < earliest))
				earliest = slot.nextAt
		}
		if (earliest === undefined) return
		this.#cancelTimer = this.#clock.schedule(earliest - this.#clock.now(), () => {
			this.runTurn()
		})
	}
}
