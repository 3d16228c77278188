/** Decides which queued task starts next and on which workers; the gang controller carries each decision out. */
import {err, ok, type Result} from "neverthrow"
import {
	type BackfillPass,
	type Board,
	type BundleContent,
	type Controller,
	type FleetIndex,
	type GuaranteePlacementIndex,
	type GuaranteeUnit,
	type HoldEntry,
	type JobEntry,
	type MemberChoice,
	type Policies,
	AcceleratorQuotas,
	EventLevel,
	FleetTracker,
	GuaranteeKeeper,
	Lifecycle,
	PlacementQueue,
	ReasonCode,
	SectionName,
	buildJobTask,
	isStartPermitted,
	listUnits,
	QueueContextBuilder
} from "../../internal.js"

interface RoundInputs {
	readonly fleetVersion: number
	readonly content: BundleContent
	/** When the next delayed job becomes ready. */
	readonly dueAt: number | undefined
	/** Number of gangs when a job was over its workspace's quota; undefined if none was. */
	readonly quotaGangs: number | undefined
}

export class PlacementController implements Controller {
	readonly name = "placement"
	readonly reads = [
		SectionName.jobs,
		SectionName.workers,
		SectionName.gangs,
		SectionName.bundle,
		SectionName.authority,
		SectionName.lifecycle,
		SectionName.holds
	]
	readonly #context = new QueueContextBuilder()
	readonly #policies: Policies
	readonly #fleet = new FleetTracker()
	readonly #queue = new PlacementQueue()
	/** Inputs of the last round; a round with the same inputs is skipped. */
	#lastInputs: RoundInputs | undefined
	readonly #keeper = new GuaranteeKeeper()
	#content: BundleContent | undefined
	#units: readonly GuaranteeUnit[] = []
	#publishedGuarantees: GuaranteePlacementIndex | undefined
	#publishedFleetVersion = -1

	constructor(policies: Policies) {
		this.#policies = policies
	}

	step(board: Board, now: number): number | undefined {
		const content = board.bundle.get("current")?.bundle.content
		const authority = board.authority.get(board.settings.zone)
		if (content === undefined || authority?.isHeldHere !== true || !isStartPermitted(board, now))
			return undefined
		if (board.lifecycle.get("state") !== Lifecycle.serving) return undefined
		this.#queue.sync(board)
		this.#fleet.sync(board, now)
		if (this.#queue.size > 0 && this.#isRoundNeeded(board, content, now))
			this.#placeAll(board, content, now)
		this.#publish(board)
		return this.#queue.findNextReadyAt(now)
	}

	#isRoundNeeded(board: Board, content: BundleContent, now: number): boolean {
		const changed = this.#queue.takeChanged()
		if (changed || this.#lastInputs === undefined) return true
		const {fleetVersion, dueAt, quotaGangs} = this.#lastInputs
		if (quotaGangs !== undefined && quotaGangs !== board.gangs.size) return true
		const due = dueAt !== undefined && dueAt <= now
		return due || fleetVersion !== this.#fleet.index.version || this.#lastInputs.content !== content
	}

	#placeAll(board: Board, content: BundleContent, now: number): void {
		const ready = this.#queue.listReady(now)
		const {index} = this.#fleet
		this.#keeper.sync(this.#findUnits(board, content), index, now)
		/** Keys of the jobs that could not be placed in this round; other jobs with the same key are skipped. */
		const unplaceable = new Map<string, ReasonCode>()
		const queue = this.#policies.queue.find(content.policies.queue)
		const context = this.#context.build(board, now)
		const backfill = queue.backfill.begin(context)
		const quotas = new AcceleratorQuotas(content, context)
		let quotaGangs: number | undefined
		for (const job of queue.order(ready, context)) {
			if (!quotas.isAllowed(job.record)) {
				recordWaiting(board, job.record.id, ReasonCode.overQuota, now)
				quotaGangs = board.gangs.size
				continue
			}
			const key = formatPlacementKey(job)
			const hold = board.holds.get(job.record.id)
			const known = hold === undefined ? unplaceable.get(key) : undefined
			const placed =
				known === undefined ? this.#place(content, job, hold, backfill, now) : err(known)
			if (placed.isOk()) {
				quotas.take(job.record)
				this.#recordPlacement(board, job, placed.value, now)
			} else {
				if (hold === undefined) unplaceable.set(key, placed.error)
				if (placed.error === ReasonCode.noRoom) backfill.reserve(job, index)
				recordWaiting(board, job.record.id, placed.error, now)
			}
		}
		this.#keeper.refresh(this.#queue.listWorkspaces(), index, now)
		const dueAt = this.#queue.findNextReadyAt(now)
		this.#lastInputs = {fleetVersion: index.version, content, dueAt, quotaGangs}
	}

	#place(
		content: BundleContent,
		job: JobEntry,
		hold: HoldEntry | undefined,
		backfill: BackfillPass,
		now: number
	): Result<readonly MemberChoice[], ReasonCode> {
		const {index} = this.#fleet
		if (hold !== undefined) return resolveHold(hold, index)
		const {id, workspace, spec} = job.record
		const policy = this.#policies.placement.find(content.policies.placement)
		const restrict = backfill.restrict(job)
		const request = {jobId: id, workspace, shape: spec.shape, failedOn: job.failedOn, restrict}
		return this.#keeper.place(policy, request, buildJobTask(job.record, "", [], now), index, now)
	}

	#findUnits(board: Board, content: BundleContent): readonly GuaranteeUnit[] {
		if (this.#content !== content) this.#units = listUnits(content, board.settings.zone)
		this.#content = content
		return this.#units
	}

	#recordPlacement(
		board: Board,
		job: JobEntry,
		members: readonly MemberChoice[],
		now: number
	): void {
		const {id} = job.record
		const placement = {jobId: id, members, decidedAt: now}
		this.#fleet.reserve(board, placement, now)
		board.placements.set(id, placement)
		board.waiting.delete(id)
		this.#queue.recordPlaced(id, now)
	}

	/** Writes the fleet and the guarantee placements to the board for the controllers that read them. */
	#publish(board: Board): void {
		const {placements} = this.#keeper
		if (placements !== this.#publishedGuarantees) {
			const ids = new Set(placements.list.map(({unit}) => unit.id))
			for (const id of [...board.guaranteePlacements.keys()])
				if (!ids.has(id)) board.guaranteePlacements.delete(id)
			for (const placement of placements.list)
				board.guaranteePlacements.set(placement.unit.id, placement)
			if (placements.count !== this.#publishedGuarantees?.count)
				recordGuaranteePlacements(board, placements)
			this.#publishedGuarantees = placements
		}
		const {version} = this.#fleet.index
		if (version === this.#publishedFleetVersion) return
		this.#publishedFleetVersion = version
		board.fleet.set("current", this.#fleet.index)
	}
}

/** Returns the held members once every borrower on them has stopped. */
function resolveHold(
	{members}: HoldEntry,
	fleet: FleetIndex
): Result<readonly MemberChoice[], ReasonCode> {
	const choices: MemberChoice[] = []
	for (const {workerId, accelerators} of members) {
		const worker = fleet.get(workerId)
		const occupants = worker?.tasks.filter(task =>
			task.accelerators.some(at => accelerators.includes(at))
		)
		const isFree =
			worker?.usable === true &&
			(occupants?.length ?? 0) <= 1 &&
			worker.freeCpus >= 0 &&
			worker.freeMemoryMb >= 0
		if (!isFree) return err(ReasonCode.awaitingReclaim)
		choices.push({workerId, incarnation: worker.incarnation, accelerators})
	}
	return ok(choices)
}

/** Formats what placement depends on: if one job can't be placed, no other job with the same key can. */
function formatPlacementKey({record, failedOn}: JobEntry): string {
	const {workspace, spec} = record
	const {members, accelerators, adjacency, cpus, memoryMb} = spec.shape
	const stoppable = spec.repeatable || spec.checkpoint
	const {service} = spec
	return JSON.stringify([
		workspace,
		service,
		stoppable,
		members,
		accelerators,
		adjacency,
		cpus,
		memoryMb,
		failedOn
	])
}

function recordWaiting(board: Board, jobId: string, reason: ReasonCode, now: number): void {
	if (board.waiting.get(jobId)?.reason === reason) return
	board.waiting.set(jobId, {jobId, reason, since: now})
	board.record(EventLevel.debug, "job-waiting", {job: jobId}, reason)
}

function recordGuaranteePlacements(
	board: Board,
	guaranteePlacements: GuaranteePlacementIndex
): void {
	const without = guaranteePlacements.list.length - guaranteePlacements.count
	const fields = {homes: guaranteePlacements.count, without}
	const reason = without > 0 ? ReasonCode.guaranteesDoNotFit : undefined
	board.record(without > 0 ? EventLevel.warn : EventLevel.info, "guarantees-homed", fields, reason)
}
