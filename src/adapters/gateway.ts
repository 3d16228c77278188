/** Connects front ends to the board: posts each request and resolves with its reply. */
import {
	type Board,
	type Clock,
	type HostRequest,
	type Reply,
	MAX_WAIT_MS,
	RanState,
	ReasonCode,
	ReplyKind,
	buildRefusal
} from "../internal.js"

type WithoutEnvelope<T> = T extends unknown ? Omit<T, "id" | "arrivedAt"> : never
export type NewRequest = WithoutEnvelope<HostRequest>

/** Time without a reply after which the caller gets an unknown outcome; longer than any wait request. */
const REPLY_TIMEOUT_MS = MAX_WAIT_MS + 15000

interface PendingReply {
	readonly resolve: (reply: Reply) => void
	readonly cancelTimer: () => void
}

export class Gateway {
	readonly #board: Board
	readonly #clock: Clock
	readonly #pendingReplies = new Map<string, PendingReply>()

	constructor(board: Board, clock: Clock) {
		this.#board = board
		this.#clock = clock
	}

	get pending(): number {
		return this.#pendingReplies.size
	}

	ask(request: NewRequest): Promise<Reply> {
		const id = `${this.#board.settings.hostId}-r${this.#board.nextSequence()}`
		return new Promise(resolve => {
			const cancelTimer = this.#clock.schedule(REPLY_TIMEOUT_MS, () => {
				this.#pendingReplies.delete(id)
				const refusal = buildRefusal(ReasonCode.answerLost, RanState.unknown, "no reply in time")
				resolve({kind: ReplyKind.refused, refusal})
			})
			this.#pendingReplies.set(id, {resolve, cancelTimer})
			this.#board.requests.set(id, {...request, id, arrivedAt: this.#clock.now()})
		})
	}

	/** Resolves the pending requests whose replies are on the board. */
	drain(): void {
		for (const [id, reply] of [...this.#board.replies.entries()]) {
			this.#board.replies.take(id)
			const pending = this.#pendingReplies.get(id)
			this.#pendingReplies.delete(id)
			pending?.cancelTimer()
			pending?.resolve(reply)
		}
	}
}
