/**
 * Decides which jobs may start ahead of one that does not fit yet. Without a reservation, small jobs take every
 * accelerator that becomes free and a large gang never starts. With one, they may use only what they release in time.
 */
import {
	type FleetIndex,
	type FleetWorker,
	type GangShape,
	type JobEntry,
	type QueueContext,
	Adjacency,
	BACKFILL_MARGIN,
	MAX_BACKFILL_RESERVATIONS,
	computeExpectedRunMs,
	computeReadyAt
} from "../../internal.js"

/** One pass over the ordered queue. */
export interface BackfillPass {
	/** Returns a function that reduces a worker to what `job` may use, or undefined if it may use all workers. */
	restrict(job: JobEntry): ((worker: FleetWorker) => FleetWorker) | undefined
	/** Handles a job that does not fit now, for which workers may be reserved. */
	reserve(job: JobEntry, fleet: FleetIndex): void
}

export interface BackfillPolicy {
	begin(context: QueueContext): BackfillPass
}

/** Baseline: any job that fits may start. */
export class GreedyBackfillPolicy implements BackfillPolicy {
	begin(): BackfillPass {
		return {restrict: () => undefined, reserve: () => undefined}
	}
}

/**
 * The first jobs that do not fit reserve the workers where they could start soonest, by corrected run times. Run times
 * have long tails: a job that is expected to end only just in time mostly ends late, so the margin is wide.
 */
export class ReservingBackfillPolicy implements BackfillPolicy {
	begin(context: QueueContext): BackfillPass {
		return new ReservingPass(context)
	}
}

interface ReadyWorker {
	readonly worker: FleetWorker
	readonly readyAt: number
}

class ReservingPass implements BackfillPass {
	readonly #context: QueueContext
	/** By reserved worker, when it is expected to be ready for its reservation. */
	readonly #readyAt = new Map<string, number>()
	#reservations = 0

	constructor(context: QueueContext) {
		this.#context = context
	}

	restrict({record}: JobEntry): ((worker: FleetWorker) => FleetWorker) | undefined {
		if (this.#readyAt.size === 0) return undefined
		const {now, runTimes} = this.#context
		const runMs = computeExpectedRunMs(record.workspace, record.spec, runTimes)
		const endsAt = now + BACKFILL_MARGIN * runMs
		return worker => {
			const readyAt = this.#readyAt.get(worker.id)
			return readyAt === undefined || endsAt <= readyAt ? worker : {...worker, usable: false}
		}
	}

	reserve({record}: JobEntry, fleet: FleetIndex): void {
		if (this.#reservations >= MAX_BACKFILL_RESERVATIONS) return
		const chosen = this.#chooseReservation(record.spec.shape, fleet)
		if (chosen.length === 0) return
		this.#reservations++
		for (const {worker, readyAt} of chosen) this.#readyAt.set(worker.id, readyAt)
	}

	/** The workers on which the whole gang could start soonest, in the order in which they become ready. */
	#chooseReservation(shape: GangShape, fleet: FleetIndex): readonly ReadyWorker[] {
		const groups = new Map<string, ReadyWorker[]>()
		for (const worker of fleet.values()) {
			if (!worker.usable || this.#readyAt.has(worker.id)) continue
			if (worker.accelerators < shape.accelerators) continue
			const readyAt = computeReadyAt(worker, shape, this.#context)
			if (readyAt === undefined) continue
			const name = shape.adjacency === Adjacency.rack ? worker.rack : ""
			const group = groups.get(name) ?? []
			group.push({worker, readyAt})
			groups.set(name, group)
		}
		let best: readonly ReadyWorker[] = []
		for (const group of groups.values()) {
			if (group.length < shape.members) continue
			const soonest = group.sort((a, b) => a.readyAt - b.readyAt).slice(0, shape.members)
			const [last, bestLast] = [soonest.at(-1), best.at(-1)]
			if (bestLast === undefined || (last?.readyAt ?? 0) < bestLast.readyAt) best = soonest
		}
		return best
	}
}
