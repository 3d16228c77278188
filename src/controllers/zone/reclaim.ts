/**
 * Reclaims capacity for queued jobs that are urgent or fit a guarantee placement of their workspace: stops the
 * borrowers that lose least and holds the capacity until the job starts. A hold expires after a timeout. It is
 * dropped at once if one of its workers becomes unusable, so that other borrowers are stopped instead.
 */
import {
	type Board,
	type Controller,
	type FleetIndex,
	type FleetWorker,
	type HoldEntry,
	type JobEntry,
	type ReclaimChoice,
	type ReclaimRule,
	EventLevel,
	GuaranteePlacementIndex,
	GuaranteeReclaimRule,
	PreemptionRule,
	PriorityClass,
	RECLAIM_CHECK_INTERVAL_MS,
	RECLAIM_TIMEOUT_MS,
	ReasonCode,
	SectionName,
	addTask,
	buildJobTask,
	findReclaim,
	removeTasks
} from "../../internal.js"

const PRIORITY_ORDER: readonly PriorityClass[] = [
	PriorityClass.urgent,
	PriorityClass.normal,
	PriorityClass.batch
]

export class ReclaimController implements Controller {
	readonly name = "reclaim"
	readonly reads = [
		SectionName.waiting,
		SectionName.fleet,
		SectionName.guaranteePlacements,
		SectionName.holds,
		SectionName.gangs,
		SectionName.jobs,
		SectionName.authority
	]
	/** Jobs that this controller asked to stop and that have not stopped yet. */
	readonly #stopping = new Set<string>()
	#lastFleetVersion = -1
	#lastWaitingCount = -1

	step(board: Board, now: number): number | undefined {
		const fleet = board.fleet.get("current")
		if (fleet === undefined || board.authority.get(board.settings.zone)?.isHeldHere !== true) {
			for (const id of [...board.holds.keys()]) board.holds.delete(id)
			return undefined
		}
		this.#removeEndedStops(board)
		for (const hold of [...board.holds.values()]) this.#checkHold(board, hold, fleet, now)
		this.#reclaimOne(board, fleet, now)
		return board.holds.size > 0 ? now + RECLAIM_CHECK_INTERVAL_MS : undefined
	}

	/** Removes stop requests whose gang has ended, so that they don't stop the job's next attempt. */
	#removeEndedStops(board: Board): void {
		for (const id of this.#stopping) {
			if (board.gangs.has(id)) continue
			this.#stopping.delete(id)
			board.stops.delete(id)
		}
	}

	#checkHold(board: Board, hold: HoldEntry, fleet: FleetIndex, now: number): void {
		if (!board.waiting.has(hold.jobId)) {
			board.holds.delete(hold.jobId)
			const tookMs = Math.round(now - hold.since)
			const fields = {job: hold.jobId, tookMs}
			board.record(EventLevel.info, "reclaim-settled", fields, hold.reason)
			return
		}
		const lost = hold.members.find(({workerId}) => fleet.get(workerId)?.usable !== true)
		if (lost !== undefined) this.#dropHold(board, hold, ReasonCode.workerLost)
		else if (now - hold.since > RECLAIM_TIMEOUT_MS)
			this.#dropHold(board, hold, ReasonCode.reclaimTimedOut)
	}

	#dropHold(board: Board, hold: HoldEntry, reason: ReasonCode): void {
		board.holds.delete(hold.jobId)
		this.#lastFleetVersion = -1
		board.record(EventLevel.warn, "reclaim-given-up", {job: hold.jobId}, reason)
	}

	/** Adds at most one hold, since the fleet index must include it before the next one is decided. */
	#reclaimOne(board: Board, fleet: FleetIndex, now: number): void {
		if (this.#lastFleetVersion === fleet.version && this.#lastWaitingCount === board.waiting.size)
			return
		const guaranteePlacements = new GuaranteePlacementIndex([...board.guaranteePlacements.values()])
		const tried = new Set<string>()
		for (const job of listCandidates(board)) {
			const key = formatCandidateKey(job)
			if (tried.has(key)) continue
			tried.add(key)
			if (this.#reclaimFor(board, job, fleet, guaranteePlacements, now)) return
		}
		this.#lastFleetVersion = fleet.version
		this.#lastWaitingCount = board.waiting.size
	}

	#reclaimFor(
		board: Board,
		job: JobEntry,
		fleet: FleetIndex,
		guaranteePlacements: GuaranteePlacementIndex,
		now: number
	): boolean {
		const {record} = job
		const rules: ReclaimRule[] = [new GuaranteeReclaimRule(record.workspace, guaranteePlacements)]
		if (record.spec.priority === PriorityClass.urgent)
			rules.push(new PreemptionRule(record, guaranteePlacements))
		for (const rule of rules) {
			const choice = findReclaim(record.spec.shape, fleet.values(), rule, now)
			if (choice === undefined) continue
			if (!isEveryGuaranteeKept(job, choice, fleet, guaranteePlacements, now)) continue
			this.#addHold(board, job, choice, rule.reason, now)
			return true
		}
		return false
	}

	#addHold(
		board: Board,
		{record}: JobEntry,
		{members, victims}: ReclaimChoice,
		reason: ReasonCode,
		now: number
	): void {
		board.holds.set(record.id, {jobId: record.id, members, victims, reason, since: now})
		for (const id of victims) {
			if (board.stops.has(id)) continue
			this.#stopping.add(id)
			const checkpoint = board.jobs.get(id)?.record.spec.checkpoint === true
			board.stops.set(id, {jobId: id, reason: ReasonCode.reclaimed, checkpoint, since: now})
			board.record(EventLevel.info, "borrower-stopped", {job: id, for: record.id}, reason)
		}
		const fields = {job: record.id, workspace: record.workspace, victims: victims.length}
		board.record(EventLevel.info, "reclaim-begun", fields, reason)
	}
}

/** Lists the jobs that wait for capacity and have no hold, the most urgent first, then the oldest. */
function listCandidates(board: Board): JobEntry[] {
	const candidates: JobEntry[] = []
	for (const {jobId, reason} of board.waiting.values()) {
		if (reason === ReasonCode.awaitingReclaim || board.holds.has(jobId)) continue
		const job = board.jobs.get(jobId)
		if (job !== undefined) candidates.push(job)
	}
	return candidates.sort(
		(a, b) =>
			PRIORITY_ORDER.indexOf(a.record.spec.priority) -
				PRIORITY_ORDER.indexOf(b.record.spec.priority) ||
			a.record.acceptedAtWallMs - b.record.acceptedAtWallMs
	)
}

function formatCandidateKey({record}: JobEntry): string {
	const {shape, priority, repeatable, checkpoint} = record.spec
	const {members, accelerators, adjacency, cpus, memoryMb} = shape
	const {workspace} = record
	return JSON.stringify([
		workspace,
		members,
		accelerators,
		adjacency,
		cpus,
		memoryMb,
		priority,
		repeatable || checkpoint
	])
}

/** Returns whether every guarantee placement is kept once the job has replaced the victims. */
function isEveryGuaranteeKept(
	{record}: JobEntry,
	{members, victims}: ReclaimChoice,
	fleet: FleetIndex,
	guaranteePlacements: GuaranteePlacementIndex,
	now: number
): boolean {
	const stopped = new Set(victims)
	return members.every(({workerId, accelerators}) => {
		const worker = fleet.get(workerId)
		if (worker === undefined) return false
		const freed: FleetWorker = removeTasks(worker, ({jobId}) => stopped.has(jobId))
		return guaranteePlacements.isValidOn(
			addTask(freed, buildJobTask(record, "", accelerators, now)),
			now
		)
	})
}
