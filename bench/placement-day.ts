/**
 * Simulates one day of a zone: jobs arrive, the placement controllers decide on the zone's board, and gangs end after
 * their run time. Only arrivals and ends are simulated; the product's controllers make every decision.
 */
import {type RandomGenerator} from "pure-rand/types/RandomGenerator"
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {uniformInt} from "pure-rand/distribution/uniformInt"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {
	type Board,
	type Controller,
	type GangShape,
	type JobRecord,
	type JobSpec,
	Adjacency,
	computeFitShare,
	InvariantError
} from "../src/internal.js"
import {createShape, endJob, queueJob, requeueJob, runJob} from "./zone-board.js"

const HOUR_MS = 3600000
export const DAY_MS = 24 * HOUR_MS

export interface Arrival {
	readonly atMs: number
	readonly id: string
	readonly runMs: number
	readonly spec: Partial<JobSpec>
}

export interface DayFigures {
	/** Time-weighted mean of the largest gang that fits ÷ free accelerators. */
	readonly fit: number
	/** Time-weighted mean share of accelerators in use. */
	readonly use: number
	readonly meanWaitMs: number
	/** Mean wait of gangs that use whole workers. */
	readonly meanLargeWaitMs: number
	readonly completed: number
	readonly moves: number
	/** Largest number of moves within one hour. */
	readonly movesInHour: number
}

/** Shapes and their shares of arrivals: many small ones, some whole workers, a few gangs of whole workers. */
const SHAPES: readonly {readonly share: number; readonly shape: Partial<GangShape>}[] = [
	{share: 0.35, shape: {accelerators: 1}},
	{share: 0.2, shape: {accelerators: 2}},
	{share: 0.2, shape: {accelerators: 4}},
	{share: 0.15, shape: {accelerators: 8}},
	{share: 0.06, shape: {accelerators: 8, members: 2, adjacency: Adjacency.rack}},
	{share: 0.04, shape: {accelerators: 8, members: 4, adjacency: Adjacency.rack}}
]
const MEAN_RUN_MS = 2 * HOUR_MS
const BURST_SHARE = 0.2
const BURST_SIZE = 8

/** Creates arrivals that keep about a share `load` of the accelerators in use; a fifth of them come in bursts. */
export function createArrivals(accelerators: number, load: number, seed: number): Arrival[] {
	const random = xoroshiro128plus(seed)
	const meanWidth = SHAPES.reduce((sum, {share, shape}) => sum + share * computeWidth(shape), 0)
	const meanGapMs = (meanWidth * MEAN_RUN_MS) / (accelerators * load)
	const arrivals: Arrival[] = []
	let atMs = 0
	while (atMs < DAY_MS) {
		const burst = uniformFloat64(random) < BURST_SHARE / BURST_SIZE ? BURST_SIZE : 1
		for (let index = 0; index < burst; index++)
			arrivals.push({
				atMs,
				id: `job-${arrivals.length}`,
				runMs: drawExponential(random, MEAN_RUN_MS),
				spec: {
					shape: createShape({cpus: 1, memoryMb: 100, ...drawShape(random)}),
					repeatable: true,
					checkpoint: uniformInt(random, 0, 1) === 1
				}
			})
		atMs += burst * drawExponential(random, meanGapMs)
	}
	return arrivals
}

function computeWidth({members = 1, accelerators = 0}: Partial<GangShape>): number {
	return members * accelerators
}

function drawExponential(random: RandomGenerator, mean: number): number {
	return -Math.log(1 - uniformFloat64(random)) * mean
}

function drawShape(random: RandomGenerator): Partial<GangShape> {
	let remaining = uniformFloat64(random)
	for (const {share, shape} of SHAPES) {
		remaining -= share
		if (remaining < 0) return shape
	}
	return {accelerators: 1}
}

interface RunningJob {
	readonly startedAt: number
	readonly endsAt: number
}

/** Runs one day's arrivals on the board's workers. */
export class PlacementDay {
	readonly #board: Board
	readonly #controllers: readonly Controller[]
	readonly #remaining = new Map<string, number>()
	readonly #arrivedAt = new Map<string, number>()
	readonly #running = new Map<string, RunningJob>()
	readonly #waits: {readonly ms: number; readonly isLarge: boolean}[] = []
	readonly #movedAt: number[] = []
	#accelerators = 0
	#now = 0
	#fitArea = 0
	#fitTime = 0
	#useArea = 0
	#completed = 0

	constructor(board: Board, controllers: readonly Controller[]) {
		this.#board = board
		for (const {capacity} of board.workers.values()) this.#accelerators += capacity.accelerators
		this.#controllers = controllers
	}

	run(arrivals: readonly Arrival[]): DayFigures {
		const pending = [...arrivals]
		let wakeAt = Infinity
		while (this.#now < DAY_MS) {
			const nextArrival = pending[0]?.atMs ?? Infinity
			const next = Math.min(nextArrival, this.#findNextEnd(), wakeAt, DAY_MS)
			this.#measure(next - this.#now)
			this.#now = next
			while (pending[0] !== undefined && pending[0].atMs <= next) this.#arrive(pending.shift())
			this.#endDueJobs()
			wakeAt = this.#runControllers()
		}
		return this.#summarize()
	}

	#arrive(arrival: Arrival | undefined): void {
		if (arrival === undefined) return
		queueJob(this.#board, arrival.id, "posta", arrival.spec, this.#now)
		this.#remaining.set(arrival.id, arrival.runMs)
		this.#arrivedAt.set(arrival.id, this.#now)
	}

	#findNextEnd(): number {
		let earliest = Infinity
		for (const {endsAt} of this.#running.values()) earliest = Math.min(earliest, endsAt)
		return earliest
	}

	#endDueJobs(): void {
		for (const [id, {endsAt}] of [...this.#running]) {
			if (endsAt > this.#now) continue
			this.#running.delete(id)
			this.#completed++
			endJob(this.#board, id)
		}
	}

	/** Steps the controllers until no job starts or stops; returns when the next step is due. */
	#runControllers(): number {
		let wakeAt = Infinity
		for (;;) {
			for (const controller of this.#controllers)
				wakeAt = Math.min(wakeAt, controller.step(this.#board, this.#now) ?? Infinity)
			const stopped = this.#stopRequestedJobs()
			if (!this.#startPlacedJobs() && !stopped) break
			wakeAt = Infinity
		}
		return wakeAt > this.#now ? wakeAt : Infinity
	}

	#startPlacedJobs(): boolean {
		const placements = [...this.#board.placements.values()]
		for (const {jobId, members} of placements) {
			this.#board.placements.take(jobId)
			const record = this.#board.jobs.get(jobId)?.record
			if (record === undefined) continue
			runJob(this.#board, record, members, this.#now)
			this.#recordStart(record)
		}
		return placements.length > 0
	}

	#recordStart({id, spec}: JobRecord): void {
		const endsAt = this.#now + (this.#remaining.get(id) ?? 0)
		this.#running.set(id, {startedAt: this.#now, endsAt})
		const arrivedAt = this.#arrivedAt.get(id)
		if (arrivedAt === undefined) return
		this.#arrivedAt.delete(id)
		const isLarge = computeWidth(spec.shape) >= 8
		this.#waits.push({ms: this.#now - arrivedAt, isLarge})
	}

	/** A stopped job resumes from its checkpoint, or starts over if it has none. */
	#stopRequestedJobs(): boolean {
		const stops = [...this.#board.stops.values()]
		for (const {jobId, checkpoint} of stops) {
			this.#board.stops.delete(jobId)
			const running = this.#running.get(jobId)
			if (running === undefined) continue
			this.#running.delete(jobId)
			if (checkpoint) this.#remaining.set(jobId, running.endsAt - this.#now)
			this.#movedAt.push(this.#now)
			requeueJob(this.#board, jobId)
		}
		return stops.length > 0
	}

	#measure(elapsedMs: number): void {
		const fleet = this.#board.fleet.get("current")
		if (fleet === undefined) return
		const free = fleet.freeAccelerators
		this.#useArea += elapsedMs * (1 - free / this.#accelerators)
		if (free === 0) return
		this.#fitArea += elapsedMs * computeFitShare(fleet)
		this.#fitTime += elapsedMs
	}

	#summarize(): DayFigures {
		if (this.#completed === 0) throw new InvariantError("no job completed during the measured day")
		const mean = (waits: readonly {readonly ms: number}[]) =>
			waits.reduce((sum, {ms}) => sum + ms, 0) / Math.max(1, waits.length)
		return {
			fit: this.#fitArea / this.#fitTime,
			use: this.#useArea / DAY_MS,
			meanWaitMs: mean(this.#waits),
			meanLargeWaitMs: mean(this.#waits.filter(({isLarge}) => isLarge)),
			completed: this.#completed,
			moves: this.#movedAt.length,
			movesInHour: countMaxWithin(this.#movedAt, HOUR_MS)
		}
	}
}

function countMaxWithin(times: readonly number[], withinMs: number): number {
	let max = 0
	for (const from of times)
		max = Math.max(max, times.filter(time => time >= from && time < from + withinMs).length)
	return max
}
