/**
 * Answers get, wait and cancel requests. Answers are matched by job and owner, never by connection or order; a job of
 * another owner is reported as not found. Ended jobs that are on the board are answered from there; all other records
 * are read from the platform's table, which all hosts share.
 */
import {
	type Board,
	type Completion,
	type Controller,
	type HostRequest,
	type Identity,
	type JobRecord,
	type Refusal,
	type TableRow,
	type TransitionResult,
	ACCEPT_TIMEOUT_MS,
	CommandKind,
	JobState,
	Lifecycle,
	NoticeKind,
	PLATFORM_TIMEOUT_MS,
	RanState,
	ReasonCode,
	ReplyKind,
	RequestKind,
	SectionName,
	TransitionKind,
	WAIT_POLL_INTERVAL_MS,
	buildJobView,
	buildRefusal,
	decodeJobRecord,
	formatJobKey
} from "../../internal.js"

type SingleJobRequest = Extract<HostRequest, {kind: "get" | "wait" | "cancel"}>

interface WaitingRequest {
	readonly request: SingleJobRequest
	until: number
	nextReadAt: number
	inFlight: boolean
	/** Set if the job ended during a read, whose result may not show it. */
	outdated: boolean
	/** Set once the job has ended and only its large answer remains to be read. */
	record: JobRecord | undefined
}

export class AnswerController implements Controller {
	readonly name = "answer"
	readonly reads = [
		SectionName.requests,
		SectionName.completions,
		SectionName.transitionResults,
		SectionName.ended,
		SectionName.notices,
		SectionName.lifecycle
	]
	readonly #waiting = new Map<string, WaitingRequest>()
	readonly #cancels = new Map<string, SingleJobRequest>()

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const result of board.takeTransitionResults(this.name)) this.#settleCancel(board, result)
		this.#handleNotices(board, now)
		for (const request of [...board.requests.values()]) this.#handleRequest(board, request, now)
		if (board.lifecycle.get("state") !== Lifecycle.serving) this.#endWaits(now)
		let earliest: number | undefined
		for (const waiting of [...this.#waiting.values()]) {
			const dueAt = this.#advance(board, waiting, now)
			if (dueAt !== undefined && (earliest === undefined || dueAt < earliest)) earliest = dueAt
		}
		return earliest
	}

	#handleRequest(board: Board, request: HostRequest, now: number): void {
		switch (request.kind) {
			case RequestKind.get:
			case RequestKind.cancel:
			case RequestKind.wait: {
				board.requests.take(request.id)
				const waitMs = request.kind === RequestKind.wait ? request.waitMs : 0
				const until = Math.max(now + waitMs, now)
				this.#waiting.set(request.id, {
					request,
					until,
					nextReadAt: now,
					inFlight: false,
					outdated: false,
					record: undefined
				})
				return
			}
			default:
				return
		}
	}

	/** Reads the row at once for requests that wait for a job which another host reports as ended. */
	#handleNotices(board: Board, now: number): void {
		const ended = new Set<string>()
		for (const [id, notice] of [...board.notices.entries()]) {
			if (notice.kind !== NoticeKind.ended) continue
			board.notices.take(id)
			ended.add(notice.jobId)
		}
		for (const waiting of this.#waiting.values()) {
			if (!ended.has(waiting.request.jobId)) continue
			waiting.nextReadAt = now
			waiting.outdated = waiting.inFlight
		}
	}

	/** Ends all waits of a stopping host, so that callers get the current state of their jobs. */
	#endWaits(now: number): void {
		for (const waiting of this.#waiting.values()) {
			waiting.until = Math.min(waiting.until, now)
			waiting.nextReadAt = Math.min(waiting.nextReadAt, now)
		}
	}

	#advance(board: Board, waiting: WaitingRequest, now: number): number | undefined {
		if (waiting.inFlight) return undefined
		if (waiting.record === undefined) {
			const ended = board.ended.get(waiting.request.jobId)
			if (ended !== undefined) {
				this.#answer(board, waiting, ended, now)
				return this.#waiting.has(waiting.request.id) ? now : undefined
			}
		}
		if (now < waiting.nextReadAt) return waiting.nextReadAt
		waiting.inFlight = true
		const base = {owner: this.name, subject: waiting.request.id, target: ""}
		const limits = {timeoutMs: PLATFORM_TIMEOUT_MS, issuedAt: now}
		const key = waiting.record?.outcome?.answerRef
		if (key !== undefined)
			board.issue<"object-get">({
				...base,
				...limits,
				kind: CommandKind.objectGet,
				request: {key}
			})
		else
			board.issue<"table-read">({
				...base,
				...limits,
				kind: CommandKind.tableRead,
				request: {keys: [formatJobKey(waiting.request.jobId)]}
			})
		return undefined
	}

	#settle(board: Board, {command, result}: Completion, now: number): void {
		const waiting = this.#waiting.get(command.subject)
		if (waiting === undefined) return
		waiting.inFlight = false
		waiting.nextReadAt = Math.min(now + WAIT_POLL_INTERVAL_MS, Math.max(now, waiting.until))
		if (result.isErr()) {
			if (now >= waiting.until) this.#refuseUnreadable(board, waiting)
		} else if (command.kind === CommandKind.objectGet)
			this.#settleObject(board, waiting, result.value as string | null, now)
		else {
			const [row] = result.value as readonly TableRow[]
			const record = row === undefined ? undefined : decodeJobRecord(row.value)
			this.#answer(board, waiting, record, now)
		}
	}

	/** Replies only with the complete answer; while it is missing, it is read again until the request's deadline. */
	#settleObject(board: Board, waiting: WaitingRequest, answer: string | null, now: number): void {
		const {record} = waiting
		if (record?.outcome === undefined) return
		if (answer === null) {
			if (now >= waiting.until) this.#refuseUnreadable(board, waiting)
			return
		}
		this.#reply(board, waiting, {...record, outcome: {...record.outcome, answer}})
	}

	#refuseUnreadable(board: Board, waiting: WaitingRequest): void {
		const ran = waiting.record === undefined ? RanState.unknown : RanState.yes
		const {jobId} = waiting.request
		const detail = "the job's record or answer can't be read now"
		this.#refuse(board, waiting, buildRefusal(ReasonCode.platformUnavailable, ran, detail, jobId))
	}

	#answer(board: Board, waiting: WaitingRequest, record: JobRecord | undefined, now: number): void {
		const {request} = waiting
		if (record === undefined || !isOwner(request.identity, record)) {
			this.#refuse(
				board,
				waiting,
				buildRefusal(ReasonCode.notFound, RanState.unknown, "no such job")
			)
			return
		}
		if (request.kind === RequestKind.cancel && record.state !== JobState.ended) {
			this.#waiting.delete(request.id)
			this.#cancel(board, request, now)
			return
		}
		if (record.state !== JobState.ended && now < waiting.until) {
			const pauseMs = waiting.outdated ? 0 : WAIT_POLL_INTERVAL_MS
			waiting.nextReadAt = Math.min(now + pauseMs, waiting.until)
			waiting.outdated = false
			if (!board.jobs.has(record.id)) board.announce(NoticeKind.watched, record.id, record.zone)
			return
		}
		if (record.outcome?.answerRef !== undefined) {
			waiting.record = record
			waiting.nextReadAt = now
			return
		}
		this.#reply(board, waiting, record)
	}

	#reply(board: Board, {request}: WaitingRequest, record: JobRecord): void {
		this.#waiting.delete(request.id)
		board.replies.set(request.id, {kind: ReplyKind.job, created: false, job: buildJobView(record)})
	}

	#refuse(board: Board, {request}: WaitingRequest, refusal: Refusal): void {
		this.#waiting.delete(request.id)
		board.replies.set(request.id, {kind: ReplyKind.refused, refusal})
	}

	#cancel(board: Board, request: SingleJobRequest, now: number): void {
		const id = board.requestTransition({
			kind: TransitionKind.requestCancel,
			jobId: request.jobId,
			owner: this.name,
			giveUpAt: now + ACCEPT_TIMEOUT_MS
		})
		this.#cancels.set(id, request)
	}

	#settleCancel(board: Board, {transition, result}: TransitionResult): void {
		const request = this.#cancels.get(transition.id)
		this.#cancels.delete(transition.id)
		if (request === undefined) return
		result.match(
			({record}) => {
				board.replies.set(request.id, {
					kind: ReplyKind.job,
					created: false,
					job: buildJobView(record)
				})
			},
			error => {
				const refusal = buildRefusal(
					error.reason,
					RanState.unknown,
					error.message,
					transition.jobId
				)
				board.replies.set(request.id, {kind: ReplyKind.refused, refusal})
			}
		)
	}
}

function isOwner(identity: Identity, record: JobRecord): boolean {
	return identity.workspace === record.workspace && identity.caller === record.caller
}
