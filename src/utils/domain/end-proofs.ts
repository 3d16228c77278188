/**
 * The one rule for what proves that a run has ended, or has never begun, so that its task may start again. It is one of these:
 *
 * - No start of it was sent, or the only one was refused or never left this host.
 * - Its worker says so: it lists the end, and no repeated start is under way, or a report that was requested after the start or
 *   the stop had been acknowledged doesn't show the run.
 * - The process that ran it is over, and no start is under way: another incarnation of the worker reports, or another worker
 *   answers at its address.
 * - Every lease that its worker was granted has expired.
 *
 * A missing answer proves nothing, in whatever form: silence, a refused or reset connection, an entry that is gone from the
 * list of workers. A run that none of these holds for counts as active.
 */
import {
	type Board,
	type CallError,
	type EndProof,
	type EndReport,
	type NodeEntry,
	type NodeReport,
	type TaskRef,
	EndEvidence,
	RefusalCode,
	RefusedError,
	TaskPhase,
	TransportError,
	computeEarlierExpiry,
	computeSteadyTime,
	isCurrentRun
} from "../../internal.js"

/** A run that is only planned. */
export function findUnsentProof(place: string, {task}: TaskRef): EndProof | undefined {
	if (task.phase !== TaskPhase.planned) return undefined
	return {place, evidence: EndEvidence.neverSent, ageMs: 0}
}

/** A later start may be refused because an earlier one arrived. */
export function findRefusalProof(
	place: string,
	{task}: TaskRef,
	error: CallError,
	now: number
): EndProof | undefined {
	const mayHaveRun = error instanceof RefusedError && error.code === RefusalCode.alreadyRan
	if (!isRefusedOrUnsent(error) || task.starts > 1 || mayHaveRun) return undefined
	return {place, evidence: EndEvidence.startRefused, ageMs: now - task.orderedAt}
}

/** True if the command had no effect and will have none. */
export function isRefusedOrUnsent(error: CallError): boolean {
	return error instanceof RefusedError || (error instanceof TransportError && !error.sent)
}

/**
 * A repeated start may still be under way to the next process of the worker, which would carry it out again, unless this one
 * has acknowledged a stop before it made the report.
 */
export function findListedEndProof(
	place: string,
	ref: TaskRef,
	node: NodeEntry,
	{end, report}: {readonly end: EndReport; readonly report: NodeReport},
	now: number
): EndProof | undefined {
	const {phase, incarnation, starts, openStarts, acknowledgedAt = Infinity} = ref.task
	const isStopped =
		phase === TaskPhase.stopping &&
		incarnation === node.incarnation &&
		report.sentAt > acknowledgedAt
	const isOpen = starts > 1 && openStarts > 0 && !isStopped
	if (!isCurrentRun(ref, node, end.run) || isOpen) return undefined
	return {place, evidence: EndEvidence.listedEnd, ageMs: now - report.sentAt}
}

/** `report` is one that doesn't show the run. */
export function findAbsenceProof(
	place: string,
	{task}: TaskRef,
	{incarnation}: NodeEntry,
	report: NodeReport,
	now: number
): EndProof | undefined {
	const {phase, acknowledgedAt = Infinity} = task
	if (phase === TaskPhase.planned || phase === TaskPhase.waiting) return undefined
	if (task.incarnation !== incarnation || report.mayHaveMoreEnds) return undefined
	if (report.sentAt <= acknowledgedAt) return undefined
	return {place, evidence: EndEvidence.absent, ageMs: now - report.sentAt}
}

/** `report` is one that doesn't show the run. */
export function findRestartProof(
	place: string,
	{task}: TaskRef,
	{incarnation}: NodeEntry,
	report: NodeReport,
	now: number
): EndProof | undefined {
	if (task.incarnation === incarnation || report.mayHaveMoreEnds) return undefined
	if (task.openStarts > 0 || isOlderThanStart(task, report)) return undefined
	return {place, evidence: EndEvidence.restarted, ageMs: now - report.sentAt}
}

/** True if the incarnation that made the report may have answered the start after it. */
export function isOlderThanStart(
	{starts, acknowledgedAt = -Infinity}: TaskRef["task"],
	{sentAt}: NodeReport
): boolean {
	return starts > 0 && sentAt <= acknowledgedAt
}

/**
 * True if another worker answers at the address at which this one did: the process that answered there has ended, and its runs
 * with it. At an address that it never answered from, the list may be wrong.
 */
export function isReplaced({answeredFrom}: NodeEntry, target: string, error: CallError): boolean {
	const isOther = error instanceof RefusedError && error.code === RefusalCode.otherIncarnation
	return isOther && target === answeredFrom
}

/** True if findLossProof may find a proof for runs on the worker. */
export function mayHaveLostRuns(board: Board, workerId: string, now: number): boolean {
	const isReplacedNow = board.nodes.get(workerId)?.replacedAt !== undefined
	return isReplacedNow || computeSteadyTime(board, now) > findLeaseExpiry(board, workerId)
}

/** Proof by the process or the leases of the run's worker. */
export function findLossProof(
	place: string,
	board: Board,
	{task}: TaskRef,
	now: number
): EndProof | undefined {
	if (task.phase === TaskPhase.planned) return undefined
	const {replacedAt, answeredAs} = board.nodes.get(task.workerId) ?? {}
	const steadyNow = computeSteadyTime(board, now)
	const isReplacedProcess = replacedAt !== undefined && answeredAs === task.incarnation
	if (isReplacedProcess && task.openStarts === 0)
		return {place, evidence: EndEvidence.replaced, ageMs: steadyNow - replacedAt}
	const expiresAt = findLeaseExpiry(board, task.workerId)
	if (steadyNow <= expiresAt) return undefined
	return {place, evidence: EndEvidence.leaseExpired, ageMs: steadyNow - expiresAt}
}

/** A worker that has not been listed in this term has leases of earlier holders only, which renew them for a while. */
function findLeaseExpiry(board: Board, workerId: string): number {
	return board.nodes.get(workerId)?.leaseExpiresAt ?? computeEarlierExpiry(board)
}
