/** Lists a caller's jobs in every zone: the caller's pointer rows give their ids, and the job rows their states. */
import {
	type Board,
	type Completion,
	type Controller,
	type JobRecord,
	type ListRequest,
	type TableRow,
	CommandKind,
	LIST_JOBS_MAX,
	RanState,
	ReasonCode,
	ReplyKind,
	RequestKind,
	SectionName,
	buildJobView,
	buildRefusal,
	decodeJobRecord,
	formatCallerPrefix,
	formatJobKey,
	issueTableRead,
	issueTableScan
} from "../../internal.js"

export class JobListController implements Controller {
	readonly name = "job-list"
	readonly reads = [SectionName.requests, SectionName.completions]
	readonly #listing = new Map<string, ListRequest>()

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const request of [...board.requests.values()]) {
			if (request.kind !== RequestKind.list) continue
			board.requests.take(request.id)
			this.#listing.set(request.id, request)
			this.#scan(board, request, now)
		}
		return undefined
	}

	#scan(board: Board, request: ListRequest, now: number): void {
		const {workspace, caller} = request.identity
		issueTableScan(board, this.name, request.id, formatCallerPrefix(workspace, caller), now)
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const request = this.#listing.get(completion.command.subject)
		if (request === undefined) return
		if (completion.result.isErr()) {
			this.#listing.delete(request.id)
			const detail = "the platform's table did not answer"
			const refusal = buildRefusal(ReasonCode.platformUnavailable, RanState.no, detail)
			board.replies.set(request.id, {kind: ReplyKind.refused, refusal})
			return
		}
		const rows = completion.result.value as readonly TableRow[]
		if (completion.command.kind === CommandKind.tableScan) this.#load(board, request, rows, now)
		else this.#answer(board, request, rows)
	}

	#load(board: Board, request: ListRequest, pointers: readonly TableRow[], now: number): void {
		const {workspace, caller} = request.identity
		const prefix = formatCallerPrefix(workspace, caller)
		const newest = [...pointers]
			.sort((a, b) => Number(b.value) - Number(a.value))
			.slice(0, LIST_JOBS_MAX)
		issueTableRead(
			board,
			this.name,
			request.id,
			newest.map(({key}) => formatJobKey(key.slice(prefix.length))),
			now
		)
	}

	#answer(board: Board, request: ListRequest, rows: readonly TableRow[]): void {
		this.#listing.delete(request.id)
		const {workspace, caller} = request.identity
		const jobs = rows
			.map(({value}) => decodeJobRecord(value))
			.filter((record): record is JobRecord => record !== undefined)
			.filter(record => record.workspace === workspace && record.caller === caller)
			.map(buildJobView)
		board.replies.set(request.id, {kind: ReplyKind.jobs, jobs})
	}
}
