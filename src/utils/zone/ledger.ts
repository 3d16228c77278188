/** Builds the rows that a transition writes, and the job's entry on the board. */
import {
	type AuthorityEntry,
	type JobEntry,
	type JobRecord,
	type RowWrite,
	type Transition,
	ANY_VERSION,
	JobState,
	PLACEMENT_RETRY_DELAY_MS,
	TransitionKind,
	formatActiveKey,
	formatCallerKey,
	formatHolderKey,
	formatJobKey,
	isHolderTransition
} from "../../internal.js"

/** A transition that is being written to the table. */
export interface LedgerWork {
	transition: Transition
	/** The row as last known; undefined if it has to be read first. */
	base: {record: JobRecord | undefined; version: number} | undefined
	written: JobRecord | undefined
	attempts: number
	retryAt: number
	inFlight: boolean
	/** True once any commit may have reached the table. */
	mayHaveTakenEffect: boolean
}

/** Starts from the row on the board, if it is there. */
export function createWork(transition: Transition, known: JobEntry | undefined): LedgerWork {
	let base: LedgerWork["base"]
	if (transition.kind === TransitionKind.accept) base = {record: undefined, version: 0}
	else if (known !== undefined) base = {record: known.record, version: known.version}
	return {
		transition,
		base,
		written: undefined,
		attempts: 0,
		retryAt: 0,
		inFlight: false,
		mayHaveTakenEffect: false
	}
}

/** All rows that a transition writes. A holder's transition also requires that this host still holds the zone. */
export function buildWrites(
	transition: Transition,
	record: JobRecord,
	version: number,
	authority: AuthorityEntry | undefined
): RowWrite[] {
	const writes: RowWrite[] = [
		{key: formatJobKey(record.id), ifVersion: version, value: JSON.stringify(record)},
		...buildActiveWrites(transition, record)
	]
	if (isHolderTransition(transition) && authority !== undefined) {
		const key = formatHolderKey(authority.zone)
		writes.push({key, ifVersion: authority.holderVersion, value: undefined})
	}
	return writes
}

/** The active row is inserted with the job, rewritten by a cancellation, moved with the job and deleted at the end. */
export function buildActiveWrites({kind}: Transition, record: JobRecord): RowWrite[] {
	const key = formatActiveKey(record.zone, record.id)
	switch (kind) {
		case TransitionKind.accept:
			return [{key, ifVersion: 0, value: record.id}, buildCallerWrite(record)]
		case TransitionKind.requestCancel:
			return [{key, ifVersion: ANY_VERSION, value: record.id}]
		case TransitionKind.end:
			return [{key, ifVersion: ANY_VERSION, value: null}]
		case TransitionKind.rehome: {
			const oldKey = formatActiveKey(record.movedFrom ?? "", record.id)
			return [
				{key: oldKey, ifVersion: ANY_VERSION, value: null},
				{key, ifVersion: ANY_VERSION, value: record.id}
			]
		}
		default:
			return []
	}
}

export function buildJobEntry(
	known: JobEntry | undefined,
	record: JobRecord,
	version: number,
	now: number
): JobEntry {
	// A job that was moved here has waited in another zone; its age and its deadline include that time.
	const seenAt = now - (record.waitedMs ?? 0)
	if (known === undefined) return {record, version, seenAt, failedOn: [], notBefore: 0}
	const requeued = known.record.state === JobState.claimed && record.state === JobState.queued
	if (!requeued) return {...known, record, version}
	const notBefore = now + PLACEMENT_RETRY_DELAY_MS
	// Only an attempt that counts is evidence against its workers; a refused or withdrawn start is not.
	if (record.attempts < known.record.attempts) return {...known, record, version, notBefore}
	const failedOn = (known.record.claim?.members ?? []).map(member => member.workerId)
	return {...known, record, version, notBefore, failedOn: [...known.failedOn, ...failedOn]}
}

/** The pointer row adds the job to its caller's list at every host. */
function buildCallerWrite(record: JobRecord): RowWrite {
	return {
		key: formatCallerKey(record),
		ifVersion: ANY_VERSION,
		value: String(record.acceptedAtWallMs)
	}
}
