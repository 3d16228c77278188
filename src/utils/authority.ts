/** Finds which host schedules: the holder of a zone, or of a domain of several zones. */
import {
	type AuthorityEntry,
	type Board,
	type HostSettings,
	NODE_LEASE_GRACE_MS
} from "../internal.js"

/** Name in the keys of the holder's rows. */
export function findAuthorityScope({domain, zone}: HostSettings): string {
	return domain?.name ?? zone
}

/** This host's term as holder of its domain, or undefined if it is not the holder. */
export function findTerm(board: Board): AuthorityEntry | undefined {
	const entry = board.authority.get(findAuthorityScope(board.settings))
	return entry?.isHeldHere === true ? entry : undefined
}

/**
 * True while this host may renew the leases of runs that it has started, so that they outlast an outage of the table. A
 * successor expects leases that were granted until `NODE_LEASE_GRACE_MS` after its term began.
 */
export function mayRenewLeases(board: Board, now: number): boolean {
	const term = findTerm(board)
	return term !== undefined && now < term.confirmedUntil + NODE_LEASE_GRACE_MS
}

/** True while no other host can have taken over, so that this host may command workers. */
export function isTermConfirmed(board: Board, now: number): boolean {
	const term = findTerm(board)
	return term !== undefined && now < term.confirmedUntil
}
