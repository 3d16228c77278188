/** The holder row, and the times that follow from a holder's lease. */
import {z} from "zod"
import {
	type AuthorityEntry,
	type Board,
	type TableRow,
	DOMAIN_LEASE_MARGIN_MS,
	EventLevel,
	decodeJson,
	findClockJumps
} from "../internal.js"

const holderSchema = z.object({
	holder: z.string(),
	address: z.string(),
	epoch: z.int().min(0)
})
export type HolderRow = z.infer<typeof holderSchema>

/**
 * A malformed row, which another writer must have left, names no holder. Versions count the table's commits, so they
 * are above all epochs in use.
 */
export function decodeHolderRow(board: Board, row: TableRow | undefined): HolderRow {
	if (row === undefined) return {holder: "", address: "", epoch: 0}
	return decodeJson("holder", holderSchema, row.value).match(
		holder => holder,
		error => {
			board.record(EventLevel.warn, "holder-malformed", {detail: error.message}, "malformed")
			return {holder: "", address: "", epoch: row.version}
		}
	)
}

/** Time from which the zone has no holder if its rows don't change and the wall clock is not set forward. */
export function computeFreeAt(board: Board, {holder, observedAt, leaseMs}: AuthorityEntry): number {
	const freeAt = holder === "" ? observedAt : observedAt + leaseMs + 1
	return freeAt + findClockJumps(board)
}

/** Time until which the holder may send commands after a renewal sent at `sentAt`. */
export function computeConfirmedUntil(sentAt: number, leaseMs: number): number {
	return sentAt + leaseMs - DOMAIN_LEASE_MARGIN_MS
}

/** Base URL at which other hosts reach this one. */
export function formatPeerUrl(board: Board): string {
	const {hostId, peerAddress} = board.settings
	const listed = board.hosts.get(hostId)?.peerAddress
	if (listed !== undefined && listed !== "") return listed
	const {host, port} = peerAddress
	return `http://${host}:${port}`
}
