/**
 * Moves running jobs to leave larger blocks of free accelerators for waiting jobs and future gangs. A job that can be
 * checkpointed and repeated is stopped, and best fit places it again. Disabled unless the bundle sets a limit on moves
 * per hour for the zone.
 */
import {
	type Board,
	type Controller,
	type JobRecord,
	type Policies,
	DEFRAGMENT_INTERVAL_MS,
	DEFRAGMENT_MIN_AGE_MS,
	EventLevel,
	GangStage,
	Lifecycle,
	ReasonCode,
	SectionName,
	computeFitShare,
	findDefragmentMove,
	isStartPermitted
} from "../../internal.js"

const HOUR_MS = 3600000

/**
 * While no job waits, none is moved if the largest gang that fits could use at least this share of the free
 * accelerators.
 */
const SUFFICIENT_FIT_SHARE = 0.9

export class DefragmentController implements Controller {
	readonly name = "defragment"
	readonly reads = [SectionName.authority, SectionName.bundle]
	readonly #policies: Policies
	/** When each move of the last hour began. */
	#movedAt: number[] = []
	#nextAt = 0
	#moving: string | undefined

	constructor(policies: Policies) {
		this.#policies = policies
	}

	step(board: Board, now: number): number | undefined {
		const content = board.bundle.get("current")?.bundle.content
		const zone = content?.zones.find(({name}) => name === board.settings.zone)
		const movesPerHour = zone?.defragmentMovesPerHour ?? 0
		if (content === undefined || movesPerHour === 0) return undefined
		if (board.authority.get(board.settings.zone)?.isHeldHere !== true) return undefined
		if (now < this.#nextAt) return this.#nextAt
		this.#nextAt = now + DEFRAGMENT_INTERVAL_MS
		this.#movedAt = this.#movedAt.filter(at => now - at < HOUR_MS)
		if (this.#isIdle(board, now) && this.#movedAt.length < movesPerHour)
			this.#move(board, content.policies.placement, now)
		return this.#nextAt
	}

	/** Returns whether no reclaim or move is under way and a stopped job could start again. */
	#isIdle(board: Board, now: number): boolean {
		if (this.#moving !== undefined && board.gangs.has(this.#moving)) {
			if (board.stops.has(this.#moving)) return false
		}
		this.#moving = undefined
		if (board.lifecycle.get("state") !== Lifecycle.serving) return false
		return board.holds.size === 0 && isStartPermitted(board, now)
	}

	#move(board: Board, policyName: string, now: number): void {
		const fleet = board.fleet.get("current")
		if (
			fleet === undefined ||
			(board.waiting.size === 0 && computeFitShare(fleet) >= SUFFICIENT_FIT_SHARE)
		)
			return
		const policy = this.#policies.placement.find(policyName)
		const move = findDefragmentMove(fleet, policy, listMovable(board, now))
		if (move === undefined) return
		const {jobId, gain} = move
		this.#moving = jobId
		this.#movedAt.push(now)
		board.stops.set(jobId, {jobId, reason: ReasonCode.reclaimed, checkpoint: true, since: now})
		board.record(EventLevel.info, "job-moved", {job: jobId, gain}, ReasonCode.defragmented)
	}
}

/** Lists the jobs that may be moved: checkpointable and repeatable, so no work is lost, and of the minimum age. */
function listMovable(board: Board, now: number): ReadonlyMap<string, JobRecord> {
	const movable = new Map<string, JobRecord>()
	for (const {jobId, stage, since} of board.gangs.values()) {
		const record = board.jobs.get(jobId)?.record
		if (record === undefined || stage !== GangStage.running) continue
		const {checkpoint, repeatable} = record.spec
		if (!checkpoint || !repeatable || now - since < DEFRAGMENT_MIN_AGE_MS) continue
		movable.set(jobId, record)
	}
	return movable
}
