/** Queue policies that put urgent work first. */
import {
	type JobEntry,
	type QueueContext,
	type QueuePolicy,
	GreedyBackfillPolicy,
	PRIORITY_RANKS,
	PriorityClass,
	QUEUE_AGE_PROMOTION_MS,
	ReservingBackfillPolicy,
	computeCost,
	orderByAcceptance
} from "../../internal.js"

/** Strict classes, in order of acceptance within each. Batch work starves while normal work keeps arriving. */
export class PriorityQueuePolicy implements QueuePolicy {
	readonly name = "priority"
	readonly backfill = new GreedyBackfillPolicy()

	order(jobs: readonly JobEntry[]): readonly JobEntry[] {
		const ranked = orderByAcceptance(jobs)
		return ranked.sort(
			(a, b) => PRIORITY_RANKS[a.record.spec.priority] - PRIORITY_RANKS[b.record.spec.priority]
		)
	}
}

interface RankedJob {
	readonly job: JobEntry
	readonly rank: number
	/** Share of its guarantee that the workspace would use if all its earlier jobs in the queue ran. */
	share: number
}

/**
 * Orders by class, then by how far the workspace is below its guaranteed share, then by age. Batch work that has
 * waited long counts as normal, and its age puts it first there, so that it does not starve behind normal work. Urgent
 * work stays first.
 */
export class FairShareQueuePolicy implements QueuePolicy {
	readonly name = "fair-share"
	readonly backfill = new ReservingBackfillPolicy()

	order(jobs: readonly JobEntry[], context: QueueContext): readonly JobEntry[] {
		const ranked = orderByAcceptance(jobs).map(job => ({
			job,
			rank: computeRank(job, context.now),
			share: 0
		}))
		ranked.sort((a, b) => a.rank - b.rank)
		assignShares(ranked, context)
		ranked.sort((a, b) => a.rank - b.rank || a.share - b.share)
		return ranked.map(({job}) => job)
	}
}

function computeRank({record, seenAt}: JobEntry, now: number): number {
	const {priority} = record.spec
	const aged = priority === PriorityClass.batch && now - seenAt >= QUEUE_AGE_PROMOTION_MS
	return aged ? PRIORITY_RANKS[PriorityClass.normal] : PRIORITY_RANKS[priority]
}

/** Computes the shares as if the jobs started in the given order, so that workspaces alternate by weight. */
function assignShares(ranked: readonly RankedJob[], {workspaces}: QueueContext): void {
	const used = new Map<string, number>()
	for (const entry of ranked) {
		const {workspace, spec} = entry.job.record
		const known = workspaces.get(workspace)
		const before = used.get(workspace) ?? known?.used ?? 0
		entry.share = before / (known?.weight ?? 1)
		used.set(workspace, before + computeCost(spec))
	}
}
