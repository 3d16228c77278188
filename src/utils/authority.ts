/** Who schedules: a zone's holder, or one holder for a domain of several zones. */
import {type AuthorityEntry, type Board, type HostSettings, HOLDER_PROOF_MS} from "../internal.js"

/** Name under which the holder's rows stand. */
export function findAuthorityScope({domain, zone}: HostSettings): string {
	return domain?.name ?? zone
}

/** This host's term as holder of its domain, or undefined while another host has it. */
export function findTerm(board: Board): AuthorityEntry | undefined {
	const entry = board.authority.get(findAuthorityScope(board.settings))
	return entry?.mine === true ? entry : undefined
}

/** True while no other host can have taken over, so that workers may be given orders. */
export function isTermProven(board: Board, now: number): boolean {
	const term = findTerm(board)
	return term !== undefined && now - term.observedAt < HOLDER_PROOF_MS
}
