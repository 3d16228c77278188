/** What befalls live workers of the fleet's process while their runs go on: one class for each fault. */
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {type WorkerPort} from "./worker-port.js"

const REFUSAL_INTERVAL_MS = 300
const REFUSALS_MS = [300, 1000, 2000, 3000]
const DELAYED_SHARE = 0.05
const DELAY_MIN_MS = 200
const DELAY_SPREAD_MS = 2800

export interface FaultyWorker {
	readonly id: string
	readonly port: WorkerPort
	/** Whether it has runs and hasn't crashed. */
	isAtWork(): boolean
}

/** Tells that the worker's port refuses connections for `ms`. */
export type RefusalListener = (worker: string, ms: number) => void

export interface WorkerFault {
	readonly name: string
	/** Begins to disturb the workers now and then. */
	begin(workers: readonly FaultyWorker[], listener: RefusalListener): void
	/** Draws how long an answer that has been made is kept back. */
	drawDelay(): number
}

/** Now and then, a worker with runs closes its port and resets its connections, and listens again later. */
class RefusingFault implements WorkerFault {
	readonly name = "refusing"
	readonly #random: () => number

	constructor(seed: number) {
		this.#random = createRandom(seed)
	}

	begin(workers: readonly FaultyWorker[], listener: RefusalListener): void {
		setInterval(() => {
			const found = workers.filter(worker => worker.isAtWork() && worker.port.isListening)
			const worker = found[Math.floor(this.#random() * found.length)]
			const ms = REFUSALS_MS[Math.floor(this.#random() * REFUSALS_MS.length)]
			if (worker === undefined || ms === undefined) return
			worker.port.close()
			listener(worker.id, ms)
			setTimeout(() => void worker.port.open(), ms)
		}, REFUSAL_INTERVAL_MS)
	}

	drawDelay(): number {
		return 0
	}
}

/** Some answers arrive seconds after they were made, and later ones before them. */
class DelayedFault implements WorkerFault {
	readonly name = "delayed"
	readonly #random: () => number

	constructor(seed: number) {
		this.#random = createRandom(seed)
	}

	begin(): void {
		return
	}

	drawDelay(): number {
		if (this.#random() >= DELAYED_SHARE) return 0
		return DELAY_MIN_MS + this.#random() * DELAY_SPREAD_MS
	}
}

function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

export function createWorkerFaults(seed: number): readonly WorkerFault[] {
	return [new RefusingFault(seed), new DelayedFault(seed)]
}
