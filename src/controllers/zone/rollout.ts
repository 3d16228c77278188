/**
 * Rolls out signed bundles with one conditional commit of the current row and its history row. Of two concurrent
 * rollouts one commits and the other is refused with a conflict. After a commit without an answer the row is read
 * again.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type HostRequest,
	type Policies,
	type ReasonCode as Reason,
	type RolloutRequest,
	type TableRow,
	ACCEPT_TIMEOUT_MS,
	ANY_VERSION,
	BUNDLE_HEAD_KEY,
	BUNDLE_KEY,
	CommandKind,
	EventLevel,
	RanState,
	ReasonCode,
	ReplyKind,
	RequestKind,
	SectionName,
	buildBundleView,
	buildRefusal,
	checkBundleContent,
	checkGuarantees,
	computeRetryDelay,
	decodeSignedBundle,
	encodeCanonical,
	formatBundleHistoryKey,
	verifyBundle,
	issueTableCommit,
	issueTableRead
} from "../../internal.js"

interface Rollout {
	readonly request: RolloutRequest
	readonly giveUpAt: number
	attempts: number
	retryAt: number
	inFlight: boolean
	mayHaveTakenEffect: boolean
}

export class RolloutController implements Controller {
	readonly name = "rollout"
	readonly reads = [SectionName.requests, SectionName.completions]
	readonly #policies: Policies
	readonly #rollouts = new Map<string, Rollout>()

	constructor(policies: Policies) {
		this.#policies = policies
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const request of [...board.requests.values()]) this.#handleRequest(board, request, now)
		let earliest: number | undefined
		for (const rollout of [...this.#rollouts.values()]) {
			if (rollout.inFlight) continue
			if (now >= rollout.giveUpAt) this.#giveUp(board, rollout)
			else if (now >= rollout.retryAt) this.#read(board, rollout, now)
			else if (earliest === undefined || rollout.retryAt < earliest) earliest = rollout.retryAt
		}
		return earliest
	}

	#handleRequest(board: Board, request: HostRequest, now: number): void {
		if (request.kind === RequestKind.bundleStatus) {
			board.requests.take(request.id)
			board.replies.set(request.id, {kind: ReplyKind.bundle, view: buildBundleView(board, now)})
			return
		}
		if (request.kind !== RequestKind.rollout) return
		board.requests.take(request.id)
		const rollout = {
			request,
			giveUpAt: now + ACCEPT_TIMEOUT_MS,
			attempts: 0,
			retryAt: 0,
			inFlight: false,
			mayHaveTakenEffect: false
		}
		if (!verifyBundle(request.bundle, board.settings.bundleKeys))
			this.#refuse(
				board,
				rollout,
				ReasonCode.badSignature,
				`the signature is not valid for key "${request.bundle.keyId}", or bundleKeys lacks that key`
			)
		else this.#checkContent(board, rollout)
	}

	#checkContent(board: Board, rollout: Rollout): void {
		const {id, bundle} = rollout.request
		const checked = checkBundleContent(bundle.content, this.#policies)
		if (checked.isErr()) {
			this.#refuse(board, rollout, ReasonCode.malformed, checked.error.message)
			return
		}
		checkGuarantees(checked.value).match(
			() => this.#rollouts.set(id, rollout),
			error => {
				this.#refuse(board, rollout, error.reason, error.message)
			}
		)
	}

	#read(board: Board, rollout: Rollout, now: number): void {
		rollout.inFlight = true
		issueTableRead(board, this.name, rollout.request.id, [BUNDLE_KEY], now)
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const rollout = this.#rollouts.get(completion.command.subject)
		if (rollout === undefined) return
		rollout.inFlight = false
		if (completion.result.isErr()) {
			const {error} = completion.result
			const unsent = "sent" in error && !error.sent
			if (completion.command.kind === CommandKind.tableCommit && !unsent)
				rollout.mayHaveTakenEffect = true
			rollout.retryAt = now + computeRetryDelay(rollout.attempts++, rollout.request.id)
			return
		}
		if (completion.command.kind === CommandKind.tableRead)
			this.#commit(board, rollout, completion.result.value as readonly TableRow[], now)
		else if ((completion as Completion<"table-commit">).result._unsafeUnwrap().committed)
			this.#confirm(board, rollout, now)
		// After a conflict the current row is read again.
		else rollout.retryAt = now
	}

	#commit(board: Board, rollout: Rollout, rows: readonly TableRow[], now: number): void {
		const {bundle} = rollout.request
		const row = rows[0]
		const current =
			row === undefined ? undefined : decodeSignedBundle(row.value).unwrapOr(undefined)
		if (current !== undefined && encodeCanonical(current) === encodeCanonical(bundle)) {
			this.#confirm(board, rollout, now)
			return
		}
		const expected = (current?.generation ?? 0) + 1
		if (bundle.generation !== expected) {
			const detail = `the bundle has generation ${bundle.generation}, but the next generation is ${expected}`
			this.#refuse(board, rollout, ReasonCode.generationConflict, detail)
			return
		}
		rollout.inFlight = true
		const value = JSON.stringify(bundle)
		issueTableCommit(
			board,
			this.name,
			rollout.request.id,
			[
				{key: BUNDLE_KEY, ifVersion: row?.version ?? 0, value},
				{key: BUNDLE_HEAD_KEY, ifVersion: ANY_VERSION, value: String(bundle.generation)},
				{key: formatBundleHistoryKey(bundle.generation), ifVersion: 0, value}
			],
			now
		)
	}

	#confirm(board: Board, rollout: Rollout, now: number): void {
		this.#rollouts.delete(rollout.request.id)
		const {generation} = rollout.request.bundle
		board.record(EventLevel.info, "bundle-rolled-out", {
			generation,
			operator: rollout.request.identity.caller
		})
		const view = {...buildBundleView(board, now), generation, bundle: rollout.request.bundle}
		board.replies.set(rollout.request.id, {kind: ReplyKind.bundle, view})
	}

	#giveUp(board: Board, rollout: Rollout): void {
		const reason = rollout.mayHaveTakenEffect
			? ReasonCode.answerLost
			: ReasonCode.platformUnavailable
		this.#refuse(board, rollout, reason, "the platform's table did not answer")
	}

	#refuse(board: Board, rollout: Rollout, reason: Reason, detail: string): void {
		this.#rollouts.delete(rollout.request.id)
		board.record(EventLevel.info, "rollout-refused", {detail}, reason)
		const ran = reason === ReasonCode.answerLost ? RanState.unknown : RanState.no
		board.replies.set(rollout.request.id, {
			kind: ReplyKind.refused,
			refusal: buildRefusal(reason, ran, detail)
		})
	}
}
