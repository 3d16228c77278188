/** Answers operators' requests for earlier generations. Rows are read by key, so the history's length adds no cost. */
import {
	type Board,
	type BundleHistoryRequest,
	type Completion,
	type Controller,
	type SignedBundle,
	type TableRow,
	BUNDLE_KEY,
	RanState,
	ReasonCode,
	ReplyKind,
	RequestKind,
	SectionName,
	buildRefusal,
	decodeSignedBundle,
	formatBundleHistoryKey,
	issueTableRead
} from "../../internal.js"

export class BundleHistoryController implements Controller {
	readonly name = "bundle-history"
	readonly reads = [SectionName.requests, SectionName.completions]
	readonly #requests = new Map<string, BundleHistoryRequest>()

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const request of [...board.requests.values()]) {
			if (request.kind !== RequestKind.bundleHistory) continue
			board.requests.take(request.id)
			this.#requests.set(request.id, request)
			const {newest} = request
			if (newest === undefined) this.#read(board, request, [BUNDLE_KEY], now)
			else this.#readFrom(board, request, newest, now)
		}
		return undefined
	}

	#readFrom(board: Board, request: BundleHistoryRequest, newest: number, now: number): void {
		const count = Math.min(newest, request.limit)
		const keys = Array.from({length: count}, (_, index) => formatBundleHistoryKey(newest - index))
		this.#read(board, request, keys, now)
	}

	#read(board: Board, request: BundleHistoryRequest, keys: readonly string[], now: number): void {
		issueTableRead(board, this.name, request.id, keys, now)
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const request = this.#requests.get(completion.command.subject)
		if (request === undefined) return
		if (completion.result.isErr()) {
			this.#requests.delete(request.id)
			const detail = "the platform's table did not answer"
			const refusal = buildRefusal(ReasonCode.platformUnavailable, RanState.no, detail)
			board.replies.set(request.id, {kind: ReplyKind.refused, refusal})
			return
		}
		const bundles = decodeRows(completion.result.value as readonly TableRow[])
		const [current] = bundles
		const {keys} = completion.command.request as {readonly keys: readonly string[]}
		if (keys[0] === BUNDLE_KEY && current !== undefined) {
			this.#readFrom(board, request, current.generation, now)
			return
		}
		this.#requests.delete(request.id)
		board.replies.set(request.id, {kind: ReplyKind.bundleHistory, bundles})
	}
}

function decodeRows(rows: readonly TableRow[]): SignedBundle[] {
	return rows.flatMap(({value}) => {
		const bundle = decodeSignedBundle(value)
		return bundle.isOk() ? [bundle.value] : []
	})
}
