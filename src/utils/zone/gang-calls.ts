/**
 * Issues calls to workers about the members of a gang. Each call that may change a task names the worker's
 * incarnation.
 */
import {
	type Board,
	type GangEntry,
	CHECKPOINT_TIMEOUT_MS,
	CommandKind,
	RESERVATION_TTL_MS,
	WORKER_TIMEOUT_MS
} from "../../internal.js"

export function issueReserve(
	board: Board,
	owner: string,
	gang: GangEntry,
	index: number,
	now: number
): void {
	const member = gang.members[index]
	const shape = board.jobs.get(gang.jobId)?.record.spec.shape
	if (member === undefined || shape === undefined) return
	board.issue<"worker-reserve">({
		...addressMember(board, owner, gang, index, now),
		kind: CommandKind.workerReserve,
		request: {
			taskId: member.taskId,
			jobId: gang.jobId,
			incarnation: member.incarnation,
			epoch: findEpoch(board),
			generation: findGeneration(board),
			accelerators: member.accelerators,
			shape,
			ttlMs: RESERVATION_TTL_MS
		}
	})
}

export function issueStart(
	board: Board,
	owner: string,
	gang: GangEntry,
	index: number,
	now: number
): void {
	const member = gang.members[index]
	const record = board.jobs.get(gang.jobId)?.record
	if (member === undefined || record === undefined) return
	const {spec} = record
	board.issue<"worker-start">({
		...addressMember(board, owner, gang, index, now),
		kind: CommandKind.workerStart,
		request: {
			taskId: member.taskId,
			jobId: gang.jobId,
			incarnation: member.incarnation,
			epoch: findEpoch(board),
			generation: findGeneration(board),
			service: spec.service,
			payload: spec.payload,
			declaredRunMs: spec.declaredRunMs,
			checkpointable: spec.checkpoint,
			resumeFrom: record.checkpoint
		}
	})
}

export function issueStop(
	board: Board,
	owner: string,
	gang: GangEntry,
	index: number,
	now: number
): void {
	const member = gang.members[index]
	if (member === undefined) return
	board.issue<"worker-stop">({
		...addressMember(board, owner, gang, index, now),
		kind: CommandKind.workerStop,
		request: {
			taskId: member.taskId,
			incarnation: member.incarnation,
			epoch: findEpoch(board),
			reason: gang.abortReason ?? "",
			// A borrower that did not stop in time is stopped without a checkpoint.
			checkpointFirst: gang.checkpointFirst && now - gang.since < CHECKPOINT_TIMEOUT_MS
		}
	})
}

/** Lets the workers discard the tasks' reports; they keep the task ids. */
export function issueReleases(board: Board, owner: string, gang: GangEntry, now: number): void {
	for (const [index, {taskId}] of gang.members.entries()) {
		board.issue<"worker-release">({
			...addressMember(board, owner, gang, index, now),
			kind: CommandKind.workerRelease,
			request: {taskId, epoch: findEpoch(board)}
		})
	}
}

/** The epoch in which this host holds its zone; 0 if it does not hold it. */
export function findEpoch(board: Board): number {
	return board.authority.get(board.settings.zone)?.epoch ?? 0
}

function findGeneration(board: Board): number {
	return board.bundle.get("current")?.bundle.generation ?? 0
}

function addressMember(board: Board, owner: string, gang: GangEntry, index: number, now: number) {
	const workerId = gang.members[index]?.workerId ?? ""
	const host = board.workers.get(workerId)?.host ?? board.hosts.get(workerId)
	return {
		owner,
		subject: `${gang.jobId} ${index}`,
		target: host?.address ?? "",
		timeoutMs: WORKER_TIMEOUT_MS,
		issuedAt: now
	}
}
