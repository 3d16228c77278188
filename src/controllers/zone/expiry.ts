/**
 * Ends queued jobs that will not start: cancelled by their caller, past their start deadline, too large for the
 * zone's workers, or over the limit on their workspace's queue in this zone.
 */
import {
	type Board,
	type Controller,
	type JobEntry,
	type JobRecord,
	EventLevel,
	JobState,
	NEVER_FITS_GRACE_MS,
	OutcomeKind,
	ReasonCode,
	SectionName,
	TransitionKind,
	isEverFitting,
	listOverflow
} from "../../internal.js"

export class ExpiryController implements Controller {
	readonly name = "expiry"
	readonly reads = [
		SectionName.jobs,
		SectionName.gangs,
		SectionName.calls,
		SectionName.transitionResults,
		SectionName.authority
	]
	readonly #ending = new Set<string>()

	step(board: Board, now: number): number | undefined {
		for (const {transition} of board.takeTransitionResults(this.name))
			this.#ending.delete(transition.jobId)
		if (board.authority.get(board.settings.zone)?.isHeldHere !== true) {
			this.#ending.clear()
			return undefined
		}
		let earliest: number | undefined
		for (const job of board.jobs.values()) {
			const dueAt = this.#check(board, job, now)
			if (dueAt !== undefined && (earliest === undefined || dueAt < earliest)) earliest = dueAt
		}
		this.#shedOverflow(board)
		return earliest
	}

	#check(board: Board, job: JobEntry, now: number): number | undefined {
		const {record} = job
		if (record.state !== JobState.queued || this.#ending.has(record.id)) return undefined
		if (this.#isDispatched(board, record.id)) return undefined
		if (record.cancelRequested) {
			this.#end(board, record.id, ReasonCode.cancelled)
			return undefined
		}
		const {startWithinMs} = record.spec
		const dueAt = startWithinMs === undefined ? undefined : job.seenAt + startWithinMs
		if (dueAt !== undefined && now >= dueAt) {
			this.#end(board, record.id, ReasonCode.deadlinePassed)
			return undefined
		}
		const graceEndsAt = this.#checkFit(board, record, now)
		if (dueAt === undefined || graceEndsAt === undefined) return dueAt ?? graceEndsAt
		return Math.min(dueAt, graceEndsAt)
	}

	/** Ends a job that can never fit, after a grace period: workers that restart are missing for a while. */
	#checkFit(board: Board, {id, spec}: JobRecord, now: number): number | undefined {
		const waiting = board.waiting.get(id)
		const fleet = board.fleet.get("current")
		if (waiting?.reason !== ReasonCode.noRoom || fleet === undefined || fleet.size === 0)
			return undefined
		const graceEndsAt = waiting.since + NEVER_FITS_GRACE_MS
		if (now < graceEndsAt) return graceEndsAt
		if (!isEverFitting(spec.shape, fleet.values())) this.#end(board, id, ReasonCode.neverFits)
		return undefined
	}

	/** Enforces the queue limit: several hosts accept jobs at once, and only the holder knows the zone's whole queue. */
	#shedOverflow(board: Board): void {
		const content = board.bundle.get("current")?.bundle.content
		if (content === undefined) return
		const queued = [...board.jobs.values()].filter(
			({record}) =>
				record.state === JobState.queued &&
				!this.#ending.has(record.id) &&
				!this.#isDispatched(board, record.id)
		)
		for (const {record} of listOverflow(queued, content))
			this.#end(board, record.id, ReasonCode.queueFull)
	}

	#isDispatched(board: Board, id: string): boolean {
		return board.gangs.has(id) || board.placements.has(id) || board.calls.has(id)
	}

	#end(board: Board, jobId: string, reason: ReasonCode): void {
		this.#ending.add(jobId)
		board.record(EventLevel.info, "job-not-run", {job: jobId}, reason)
		board.requestTransition({
			kind: TransitionKind.end,
			jobId,
			owner: this.name,
			giveUpAt: undefined,
			outcome: {kind: OutcomeKind.notRun, reason},
			onlyIfQueued: true
		})
	}
}
