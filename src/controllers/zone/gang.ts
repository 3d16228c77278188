/**
 * Runs gangs from placement to their end: reserves on every worker, waits for all of them, commits the start claim
 * and starts all members. A failure before every member has started, or the loss of a running member, aborts the gang.
 * Every member is then stopped, and the job is ended or requeued only once no member runs or can run again.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type GangEntry,
	type TaskReport,
	type TransitionResult,
	CommandKind,
	EventLevel,
	GangStage,
	JobKind,
	JobState,
	MEMBER_RETRY_INTERVAL_MS,
	MemberState,
	NEVER_RAN_CODES,
	RESERVATION_TTL_MS,
	RanState,
	ReasonCode,
	RefusalCode,
	RefusedError,
	START_TIMEOUT_MS,
	SectionName,
	TransitionKind,
	applyReport,
	computeOutcome,
	computeRan,
	findReportedChange,
	computeSteadyTime,
	createGang,
	createRecoveredGang,
	findEpoch,
	isChange,
	isClaimOf,
	isEveryMember,
	isMemberLeaseExpired,
	isSettled,
	isStartPermitted,
	isWithdrawn,
	isWorkerSilent,
	issueReleases,
	issueReserve,
	issueStart,
	issueStop,
	updateMember
} from "../../internal.js"

export class GangController implements Controller {
	readonly name = "gang"
	readonly reads = [
		SectionName.completions,
		SectionName.transitionResults,
		SectionName.placements,
		SectionName.jobs,
		SectionName.workers,
		SectionName.authority,
		SectionName.stops
	]

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const result of board.takeTransitionResults(this.name))
			this.#settleTransition(board, result, now)
		const authority = board.authority.get(board.settings.zone)
		if (authority?.isHeldHere !== true) {
			for (const id of [...board.gangs.keys()]) board.gangs.delete(id)
			for (const id of [...board.placements.keys()]) board.placements.take(id)
			return undefined
		}
		this.#recover(board, authority.epoch, now)
		for (const id of [...board.placements.keys()]) this.#begin(board, id, now)
		for (const id of [...board.gangs.keys()]) this.#advance(board, id, now)
		return board.gangs.size === 0 ? undefined : now + MEMBER_RETRY_INTERVAL_MS
	}

	/** Takes over gangs that an earlier holder claimed; their members' states come from the workers. */
	#recover(board: Board, epoch: number, now: number): void {
		for (const {record} of board.jobs.values()) {
			if (record.spec.kind !== JobKind.task || record.state !== JobState.claimed) continue
			if (board.gangs.has(record.id) || record.claim === undefined) continue
			board.gangs.set(
				record.id,
				createRecoveredGang(record.id, record.claim, now, computeSteadyTime(board, now))
			)
			const fields = {job: record.id, epoch, claimedBy: record.claim.epoch}
			board.record(EventLevel.info, "gang-recovered", fields)
		}
	}

	#begin(board: Board, jobId: string, now: number): void {
		const placement = board.placements.take(jobId)
		const job = board.jobs.get(jobId)
		if (placement === undefined || board.gangs.has(jobId)) return
		if (job?.record.state !== JobState.queued || job.record.cancelRequested) return
		const gang = createGang(
			job.record,
			placement,
			`${findEpoch(board)}-${board.nextSequence()}`,
			now,
			computeSteadyTime(board, now)
		)
		board.gangs.set(jobId, gang)
		for (const index of gang.members.keys()) issueReserve(board, this.name, gang, index, now)
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const {command, result} = completion
		const [jobId = "", index = ""] = command.subject.split(" ")
		const gang = board.gangs.get(jobId)
		const member = gang?.members[Number(index)]
		if (gang === undefined || member === undefined || !("taskId" in (command.request ?? {}))) return
		if ((command.request as {taskId: string}).taskId !== member.taskId) return
		if (result.isErr()) {
			this.#settleFailure(board, gang, Number(index), completion, now)
			return
		}
		if (command.kind === CommandKind.workerRelease) {
			board.gangs.set(jobId, updateMember(gang, Number(index), {state: MemberState.clear}))
			return
		}
		const report = result.value as TaskReport
		board.gangs.set(jobId, updateMember(gang, Number(index), applyReport(member, report)))
	}

	#settleFailure(
		board: Board,
		gang: GangEntry,
		index: number,
		{command, result}: Completion,
		now: number
	): void {
		if (result.isOk()) return
		const refused = result.error instanceof RefusedError
		if (
			result.error instanceof RefusedError &&
			result.error.code === RefusalCode.otherIncarnation
		) {
			// The task ended with the worker's earlier incarnation; the present one can't tell whether it ran.
			const cleared = updateMember(gang, index, {state: MemberState.clear})
			board.gangs.set(gang.jobId, cleared)
			this.#abort(board, cleared, ReasonCode.workerLost, now, result.error.message)
			return
		}
		if (gang.stage === GangStage.aborting) return
		if (command.kind === CommandKind.workerReserve) {
			this.#abort(
				board,
				gang,
				refused ? ReasonCode.workerRefused : ReasonCode.workerLost,
				now,
				result.error.message
			)
		} else if (command.kind === CommandKind.workerStart && result.error instanceof RefusedError) {
			// Some refusals prove that the task never ran and never will, since the worker blocks its id. After any
			// other, the answer to the stop call shows whether it ran.
			const neverRan = NEVER_RAN_CODES.has(result.error.code)
			const cleared = neverRan
				? updateMember(gang, index, {state: MemberState.clear, ran: RanState.no})
				: gang
			this.#abort(board, cleared, ReasonCode.workerRefused, now, result.error.message)
		}
	}

	#settleTransition(board: Board, {transition, result}: TransitionResult, now: number): void {
		const gang = board.gangs.get(transition.jobId)
		if (gang === undefined) return
		if (transition.kind === TransitionKind.claim) {
			// This result belongs to the claim of an earlier gang of the job.
			if (!isClaimOf(gang, transition.claim)) return
			if (result.isErr()) this.#abort(board, gang, result.error.reason, now, result.error.message)
			else if (gang.stage === GangStage.claiming) this.#start(board, {...gang, claimed: true}, now)
			else board.gangs.set(gang.jobId, {...gang, claimed: true})
			return
		}
		if (result.isErr() && result.error.reason !== ReasonCode.alreadyEnded) {
			board.gangs.set(gang.jobId, {...gang, settling: false})
			return
		}
		issueReleases(board, this.name, gang, now)
		board.gangs.delete(gang.jobId)
		board.stops.delete(gang.jobId)
	}

	#start(board: Board, gang: GangEntry, now: number): void {
		if (!isStartPermitted(board, now)) {
			this.#abort(
				board,
				gang,
				ReasonCode.permitLapsed,
				now,
				"no recent evidence that the zone is in service"
			)
			return
		}
		let next: GangEntry = {...gang, stage: GangStage.starting, since: now}
		for (const index of gang.members.keys()) {
			issueStart(board, this.name, gang, index, now)
			next = updateMember(next, index, {ran: RanState.unknown, calledAt: now})
		}
		board.gangs.set(gang.jobId, next)
	}

	#abort(board: Board, gang: GangEntry, reason: ReasonCode, now: number, detail = ""): void {
		if (gang.stage === GangStage.aborting) return
		const checkpointFirst =
			isWithdrawn(reason) && board.jobs.get(gang.jobId)?.record.spec.checkpoint === true
		board.gangs.set(gang.jobId, {
			...gang,
			stage: GangStage.aborting,
			since: now,
			abortReason: reason,
			checkpointFirst
		})
		board.record(
			EventLevel.info,
			"gang-aborted",
			{job: gang.jobId, stage: gang.stage, detail},
			reason
		)
	}

	#advance(board: Board, jobId: string, now: number): void {
		this.#syncWithWorkers(board, jobId, now)
		const gang = board.gangs.get(jobId)
		if (gang === undefined || gang.settling) return
		const job = board.jobs.get(jobId)
		if (job === undefined) {
			// The job has ended or moved to another zone, so members that still run here are stopped.
			if (gang.stage !== GangStage.aborting) this.#abort(board, gang, ReasonCode.alreadyEnded, now)
		} else if (job.record.cancelRequested) this.#abort(board, gang, ReasonCode.cancelled, now)
		else {
			const stop = board.stops.get(jobId)
			if (stop !== undefined) this.#abort(board, gang, stop.reason, now)
		}
		this.#advanceStage(board, board.gangs.get(jobId) ?? gang, now)
	}

	#advanceStage(board: Board, gang: GangEntry, now: number): void {
		const isSettingUp = gang.stage !== GangStage.running && gang.stage !== GangStage.aborting
		const cleared = isSettingUp
			? gang.members.find(({state}) => state === MemberState.clear)
			: undefined
		if (cleared !== undefined) {
			const detail = cleared.error ?? `worker ${cleared.workerId} cleared the reservation`
			this.#abort(board, gang, ReasonCode.workerLost, now, detail)
			return
		}
		switch (gang.stage) {
			case GangStage.reserving:
				if (isEveryMember(gang, MemberState.reserved)) this.#claim(board, gang, now)
				return
			case GangStage.claiming:
				return
			case GangStage.starting:
				this.#advanceStarting(board, gang, now)
				return
			case GangStage.running:
				this.#advanceRunning(board, gang, now)
				return
			case GangStage.aborting:
				this.#advanceAborting(board, gang, now)
		}
	}

	#claim(board: Board, gang: GangEntry, now: number): void {
		board.gangs.set(gang.jobId, {...gang, stage: GangStage.claiming, since: now})
		board.requestTransition({
			kind: TransitionKind.claim,
			jobId: gang.jobId,
			owner: this.name,
			giveUpAt: now + RESERVATION_TTL_MS / 2,
			claim: {
				epoch: findEpoch(board),
				attempt: gang.attempt,
				members: gang.members.map(({workerId, incarnation, taskId, accelerators}) => ({
					workerId,
					incarnation,
					taskId,
					accelerators
				}))
			}
		})
	}

	#advanceStarting(board: Board, gang: GangEntry, now: number): void {
		if (gang.members.every(({ran}) => ran === RanState.yes)) {
			board.gangs.set(gang.jobId, {...gang, stage: GangStage.running, since: now})
			return
		}
		if (now - gang.since > START_TIMEOUT_MS) {
			this.#abort(
				board,
				gang,
				ReasonCode.workerLost,
				now,
				"not every worker confirmed its start in time"
			)
			return
		}
		for (const [index, member] of gang.members.entries()) {
			if (member.ran === RanState.yes || now - member.calledAt < MEMBER_RETRY_INTERVAL_MS) continue
			issueStart(board, this.name, gang, index, now)
			board.gangs.set(
				gang.jobId,
				updateMember(board.gangs.get(gang.jobId) ?? gang, index, {calledAt: now})
			)
		}
	}

	#advanceRunning(board: Board, gang: GangEntry, now: number): void {
		if (isEveryMember(gang, MemberState.completed)) {
			this.#settleJob(board, gang, now)
			return
		}
		const failed = gang.members.find(
			({state}) => state === MemberState.failed || state === MemberState.clear
		)
		if (failed !== undefined) {
			const reason =
				failed.state === MemberState.failed ? ReasonCode.taskFailed : ReasonCode.workerLost
			this.#abort(board, gang, reason, now, failed.error ?? "")
			return
		}
		const unreachable = gang.members.find(
			member => member.state !== MemberState.completed && isWorkerSilent(board, member, now)
		)
		if (unreachable !== undefined)
			this.#abort(
				board,
				gang,
				ReasonCode.workerLost,
				now,
				`worker ${unreachable.workerId} does not answer`
			)
	}

	#advanceAborting(board: Board, gang: GangEntry, now: number): void {
		if (gang.members.every(isSettled)) {
			this.#settleJob(board, gang, now)
			return
		}
		for (const [index, member] of gang.members.entries()) {
			if (isSettled(member) || now - member.calledAt < MEMBER_RETRY_INTERVAL_MS) continue
			issueStop(board, this.name, gang, index, now)
			const latest = board.gangs.get(gang.jobId) ?? gang
			board.gangs.set(gang.jobId, updateMember(latest, index, {calledAt: now}))
		}
	}

	#syncWithWorkers(board: Board, jobId: string, now: number): void {
		let gang = board.gangs.get(jobId)
		if (gang === undefined) return
		for (const [index, member] of gang.members.entries()) {
			if (isSettled(member)) continue
			const change = findReportedChange(board, gang, member, now)
			if (change !== undefined) {
				if (isChange(member, change)) gang = updateMember(gang, index, change)
			} else if (isMemberLeaseExpired(board, gang, member, now))
				gang = updateMember(gang, index, {state: MemberState.clear})
		}
		if (gang !== board.gangs.get(jobId)) board.gangs.set(jobId, gang)
	}

	/** Ends or requeues the job; every member is settled by now. */
	#settleJob(board: Board, gang: GangEntry, now: number): void {
		const job = board.jobs.get(gang.jobId)
		if (job === undefined) {
			issueReleases(board, this.name, gang, now)
			board.gangs.delete(gang.jobId)
			return
		}
		const outcome = computeOutcome(job.record, gang)
		if (outcome === undefined && !gang.claimed) {
			// No claim was committed, so the job's row still says queued.
			issueReleases(board, this.name, gang, now)
			board.gangs.delete(gang.jobId)
			board.stops.delete(gang.jobId)
			return
		}
		board.gangs.set(gang.jobId, {...gang, settling: true})
		const base = {jobId: gang.jobId, owner: this.name, giveUpAt: undefined}
		if (outcome !== undefined) {
			board.requestTransition({
				...base,
				kind: TransitionKind.end,
				outcome,
				onlyIfQueued: false
			})
			return
		}
		const checkpoint = Math.min(...gang.members.map(member => member.checkpoint ?? 0))
		const ran = computeRan(gang)
		const counted = !isWithdrawn(gang.abortReason) && ran !== RanState.no
		board.requestTransition({...base, kind: TransitionKind.requeue, checkpoint, counted, ran})
	}
}
