/** Pure functions for the state changes of a gang; a controller issues the calls. */
import {
	type Board,
	type GangEntry,
	type GangMember,
	type JobRecord,
	type Outcome,
	type PlacementDecision,
	type StartClaim,
	type TaskReport,
	GangStage,
	LEASE_MARGIN_MS,
	MAX_ATTEMPTS,
	MemberState,
	OutcomeKind,
	RanState,
	ReasonCode,
	TaskState,
	WORKER_LEASE_MS,
	WORKER_LOST_MS,
	computeSteadyTime,
	formatTaskId
} from "../../internal.js"

/** Creates a gang that is about to reserve; `tryId` distinguishes its task ids from those of earlier tries. */
export function createGang(
	record: JobRecord,
	placement: PlacementDecision,
	tryId: string,
	now: number,
	createdAt = now
): GangEntry {
	return {
		jobId: record.id,
		attempt: record.attempts + 1,
		stage: GangStage.reserving,
		since: now,
		createdAt,
		claimed: false,
		settling: false,
		checkpointFirst: false,
		members: placement.members.map((member, index) => ({
			...member,
			taskId: formatTaskId(record.id, tryId, index),
			state: MemberState.pending,
			ran: RanState.no,
			calledAt: now
		}))
	}
}

/** Creates a gang from the claim of an earlier holder; the gang may be anywhere between its claim and its end. */
export function createRecoveredGang(
	jobId: string,
	claim: StartClaim,
	now: number,
	createdAt = now
): GangEntry {
	return {
		jobId,
		attempt: claim.attempt,
		stage: GangStage.running,
		since: now,
		createdAt,
		claimed: true,
		settling: false,
		checkpointFirst: false,
		members: claim.members.map(member => ({
			...member,
			state: MemberState.pending,
			ran: RanState.unknown,
			calledAt: 0
		}))
	}
}

export function updateMember(
	gang: GangEntry,
	index: number,
	change: Partial<GangMember>
): GangEntry {
	return {
		...gang,
		members: gang.members.map((member, at) => (at === index ? {...member, ...change} : member))
	}
}

/** True if any field of `change` differs from the member's. */
export function isChange(member: GangMember, change: Partial<GangMember>): boolean {
	return Object.entries(change).some(([name, value]) => member[name as keyof GangMember] !== value)
}

/** True if the claim names the tasks of this gang. */
export function isClaimOf(gang: GangEntry, claim: StartClaim): boolean {
	return claim.members.every(({taskId}, index) => taskId === gang.members[index]?.taskId)
}

export function isEveryMember(gang: GangEntry, state: MemberState): boolean {
	return gang.members.every(member => member.state === state)
}

/** True once the member does not run and never will. */
export function isSettled(member: GangMember): boolean {
	return (
		member.state === MemberState.completed ||
		member.state === MemberState.failed ||
		member.state === MemberState.clear
	)
}

const MEMBER_STATE_OF_TASK: Readonly<Record<TaskState, MemberState>> = {
	[TaskState.reserved]: MemberState.reserved,
	[TaskState.running]: MemberState.started,
	[TaskState.completed]: MemberState.completed,
	[TaskState.failed]: MemberState.failed,
	[TaskState.stopped]: MemberState.clear
}

/** Once a member has run it stays so, even if a later incarnation of its worker does not know of it. */
function computeMemberRan(member: GangMember, report: TaskReport): RanState {
	if (report.started || member.ran === RanState.yes) return RanState.yes
	// A reserved task may still be started by a call in flight.
	return report.state === TaskState.reserved ? member.ran : RanState.no
}

/** Converts a worker's report to changes of a member. */
export function applyReport(member: GangMember, report: TaskReport): Partial<GangMember> {
	return {
		state: MEMBER_STATE_OF_TASK[report.state],
		ran: computeMemberRan(member, report),
		answer: report.answer,
		error: report.error,
		checkpoint: report.checkpoint
	}
}

/** Changes of a member according to its worker's last report, or undefined if there are none. */
export function findReportedChange(
	board: Board,
	gang: GangEntry,
	member: GangMember,
	now: number
): Partial<GangMember> | undefined {
	const worker = board.workers.get(member.workerId)
	const authority = board.authority.get(board.settings.zone)
	if (worker === undefined || worker.epoch !== authority?.epoch) return undefined
	if (worker.incarnation !== member.incarnation) {
		// The worker has a new incarnation: the task ended with the earlier one.
		return {state: MemberState.clear, error: "the worker restarted"}
	}
	const report = worker.tasks.get(member.taskId)
	if (report !== undefined) {
		if (gang.stage === GangStage.reserving || gang.stage === GangStage.claiming) return undefined
		return applyReport(member, report)
	}
	const reportedSince = worker.confirmedAt > Math.max(gang.since, member.calledAt)
	if (!reportedSince || now < worker.confirmedAt) return undefined
	if (gang.stage === GangStage.running) {
		// The worker is fenced and does not know the task: an earlier start can't take effect any more.
		const ran = member.ran === RanState.unknown ? RanState.no : member.ran
		return {state: MemberState.clear, ran}
	}
	return undefined
}

export function isWorkerSilent(board: Board, member: GangMember, now: number): boolean {
	const worker = board.workers.get(member.workerId)
	return worker !== undefined && now - worker.confirmedAt > WORKER_LOST_MS
}

/** True once the worker's lease must have expired, so that its tasks have stopped by themselves. */
export function isMemberLeaseExpired(
	board: Board,
	gang: GangEntry,
	member: GangMember,
	now: number
): boolean {
	const renewedAt = board.workers.get(member.workerId)?.remoteClockReadAt ?? gang.createdAt
	return computeSteadyTime(board, now) - renewedAt > WORKER_LEASE_MS + LEASE_MARGIN_MS
}

function combineAnswers(gang: GangEntry): string {
	const answers = gang.members.map(member => member.answer ?? "")
	return answers.length === 1 ? (answers[0] ?? "") : JSON.stringify(answers)
}

/** Whether any member ran, as far as the workers' reports prove it. */
export function computeRan(gang: GangEntry): RanState {
	if (gang.members.every(({ran}) => ran === RanState.no)) return RanState.no
	return gang.members.some(({ran}) => ran === RanState.yes) ? RanState.yes : RanState.unknown
}

/** True if resuming from the members' checkpoints would repeat no work of the gang. */
function isCheckpointed(gang: GangEntry): boolean {
	return gang.members.every(({checkpoint, ran}) => checkpoint !== undefined || ran === RanState.no)
}

/** True if the gang was stopped for other work or because its zone went out of service; the attempt does not count. */
export function isWithdrawn(reason: ReasonCode | undefined): boolean {
	return reason === ReasonCode.reclaimed || reason === ReasonCode.zoneOut
}

/** Outcome of a job whose members have all settled, or undefined if the job is to be retried. */
export function computeOutcome(record: JobRecord, gang: GangEntry): Outcome | undefined {
	if (isEveryMember(gang, MemberState.completed))
		return {kind: OutcomeKind.completed, answer: combineAnswers(gang)}
	const ran = computeRan(gang)
	const reason = gang.abortReason ?? ReasonCode.workerLost
	const detail = gang.members.find(({error}) => error !== undefined)?.error
	if (record.cancelRequested) return buildOutcome(ran, ReasonCode.cancelled, detail)
	if (ran === RanState.no) return undefined
	const resumable = isWithdrawn(reason) && isCheckpointed(gang)
	if (!record.spec.repeatable && !resumable) return buildOutcome(ran, reason, detail)
	if (isWithdrawn(reason) || gang.attempt < MAX_ATTEMPTS) return undefined
	return buildOutcome(ran, ReasonCode.attemptsExhausted, detail)
}

function buildOutcome(ran: RanState, reason: ReasonCode, detail: string | undefined): Outcome {
	const kinds = {
		[RanState.no]: OutcomeKind.notRun,
		[RanState.yes]: OutcomeKind.failed,
		[RanState.unknown]: OutcomeKind.unknown
	}
	return {kind: kinds[ran], reason, detail}
}
