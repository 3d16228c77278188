/** Issues the controllers' calls to the platform's table; the completion goes to `owner`, with `subject`. */
import {
	type Board,
	type CommandTypes,
	type RowWrite,
	CommandKind,
	PLATFORM_TIMEOUT_MS
} from "../internal.js"

export function issueTableRead(
	board: Board,
	owner: string,
	subject: string,
	keys: readonly string[],
	now: number,
	timeoutMs = PLATFORM_TIMEOUT_MS
): string {
	return board.issue<"table-read">({
		...addressTable(owner, subject, now, timeoutMs),
		kind: CommandKind.tableRead,
		request: {keys}
	})
}

export function issueTableScan(
	board: Board,
	owner: string,
	subject: string,
	prefix: string,
	now: number,
	timeoutMs = PLATFORM_TIMEOUT_MS
): string {
	return board.issue<"table-scan">({
		...addressTable(owner, subject, now, timeoutMs),
		kind: CommandKind.tableScan,
		request: {prefix}
	})
}

export function issueTableFollow(
	board: Board,
	owner: string,
	subject: string,
	request: CommandTypes["table-follow"]["request"],
	now: number,
	timeoutMs: number
): string {
	return board.issue<"table-follow">({
		...addressTable(owner, subject, now, timeoutMs),
		kind: CommandKind.tableFollow,
		request
	})
}

export function issueTableCommit(
	board: Board,
	owner: string,
	subject: string,
	writes: readonly RowWrite[],
	now: number,
	timeoutMs = PLATFORM_TIMEOUT_MS
): string {
	return board.issue<"table-commit">({
		...addressTable(owner, subject, now, timeoutMs),
		kind: CommandKind.tableCommit,
		request: {writes}
	})
}

function addressTable(owner: string, subject: string, now: number, timeoutMs: number) {
	return {owner, subject, target: "", timeoutMs, issuedAt: now}
}
