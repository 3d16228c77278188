/** The order in which queued jobs are considered. */
import {
	type BackfillPolicy,
	type JobEntry,
	type QueueContext,
	GreedyBackfillPolicy,
	orderByAcceptance
} from "../../internal.js"

export interface QueuePolicy {
	readonly name: string
	/** Which jobs may overtake one that does not fit yet. */
	readonly backfill: BackfillPolicy
	/** Returns the jobs in the order in which they are placed; does not modify the input. */
	order(jobs: readonly JobEntry[], context: QueueContext): readonly JobEntry[]
}

/** Baseline: in order of acceptance. */
export class FifoQueuePolicy implements QueuePolicy {
	readonly name = "fifo"
	readonly backfill = new GreedyBackfillPolicy()

	order(jobs: readonly JobEntry[]): readonly JobEntry[] {
		return orderByAcceptance(jobs)
	}
}
