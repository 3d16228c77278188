/**
 * Dispatches calls to endpoints: claims the job, then calls. After a lost answer it inspects the call by its task
 * id, and calls again under another id only if the call never ran or is repeatable. An endpoint that refuses because
 * it is leaving gets no further calls.
 */
import {
	type Board,
	type CallEntry,
	type CallReport,
	type Completion,
	type Controller,
	type EndpointEntry,
	type JobEntry,
	type Outcome,
	type Policies,
	type TransitionResult,
	CALL_INSPECT_TIMEOUT_MS,
	CallStage,
	CommandKind,
	ENDPOINT_LOST_MS,
	ENDPOINT_TIMEOUT_MS,
	EventLevel,
	JobKind,
	JobState,
	Lifecycle,
	MAX_ATTEMPTS,
	MEMBER_RETRY_INTERVAL_MS,
	OutcomeKind,
	RanState,
	ReasonCode,
	RefusalCode,
	RefusedError,
	SectionName,
	TransitionKind,
	computePermitUntil,
	formatTaskId,
	isStartPermitted,
	QueueContextBuilder
} from "../../internal.js"

export class CallController implements Controller {
	readonly name = "call"
	readonly reads = [
		SectionName.completions,
		SectionName.transitionResults,
		SectionName.jobs,
		SectionName.endpoints,
		SectionName.authority,
		SectionName.bundle
	]
	readonly #context = new QueueContextBuilder()
	readonly #policies: Policies

	constructor(policies: Policies) {
		this.#policies = policies
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		for (const result of board.takeTransitionResults(this.name))
			this.#settleTransition(board, result, now)
		if (board.authority.get(board.settings.zone)?.isHeldHere !== true) {
			for (const id of [...board.calls.keys()]) board.calls.delete(id)
			return undefined
		}
		this.#recover(board, now)
		if (isStartPermitted(board, now) && board.lifecycle.get("state") === Lifecycle.serving)
			this.#dispatch(board, now)
		let earliest = this.#findNextAttempt(board, now)
		for (const call of [...board.calls.values()]) {
			const dueAt = this.#inspectIfDue(board, call, now)
			if (dueAt !== undefined && (earliest === undefined || dueAt < earliest)) earliest = dueAt
		}
		return earliest
	}

	/** Takes over calls that an earlier holder claimed; their states come from the endpoints. */
	#recover(board: Board, now: number): void {
		for (const {record} of board.jobs.values()) {
			if (record.spec.kind !== JobKind.call || record.state !== JobState.claimed) continue
			const member = record.claim?.members[0]
			if (board.calls.has(record.id) || member === undefined) continue
			board.calls.set(record.id, {
				jobId: record.id,
				taskId: member.taskId,
				endpointId: member.workerId,
				incarnation: member.incarnation,
				attempt: record.attempts,
				stage: CallStage.inspecting,
				since: now,
				retryAt: now,
				sent: true
			})
		}
	}

	#dispatch(board: Board, now: number): void {
		const usedSlots = new Map<string, number>()
		for (const call of board.calls.values())
			usedSlots.set(call.endpointId, (usedSlots.get(call.endpointId) ?? 0) + 1)
		let free = this.#countFreeSlots(board, usedSlots, now)
		if (free === 0) return
		for (const job of this.#orderWaiting(board, now)) {
			const endpoint = this.#chooseEndpoint(board, usedSlots, job, now)
			if (endpoint === undefined) continue
			usedSlots.set(endpoint.host.id, (usedSlots.get(endpoint.host.id) ?? 0) + 1)
			this.#claim(board, job, endpoint, now)
			if (--free === 0) return
		}
	}

	#orderWaiting(board: Board, now: number): readonly JobEntry[] {
		const waiting: JobEntry[] = []
		for (const job of board.jobs.values()) {
			const {record} = job
			if (record.spec.kind !== JobKind.call || record.state !== JobState.queued) continue
			if (record.cancelRequested || board.calls.has(record.id) || job.notBefore > now) continue
			waiting.push(job)
		}
		if (waiting.length < 2) return waiting
		const name = board.bundle.get("current")?.bundle.content.policies.queue ?? ""
		return this.#policies.queue.find(name).order(waiting, this.#context.build(board, now))
	}

	#findNextAttempt(board: Board, now: number): number | undefined {
		let earliest: number | undefined
		for (const {record, notBefore} of board.jobs.values()) {
			if (notBefore <= now || record.spec.kind !== JobKind.call) continue
			if (earliest === undefined || notBefore < earliest) earliest = notBefore
		}
		return earliest
	}

	#countFreeSlots(board: Board, usedSlots: ReadonlyMap<string, number>, now: number): number {
		let free = 0
		for (const endpoint of board.endpoints.values())
			free += countFree(endpoint, usedSlots.get(endpoint.host.id) ?? 0, now)
		return free
	}

	/** Chooses the endpoint with the most free slots; one that the job failed on only if no other is usable. */
	#chooseEndpoint(
		board: Board,
		usedSlots: ReadonlyMap<string, number>,
		job: JobEntry,
		now: number
	): EndpointEntry | undefined {
		let best: EndpointEntry | undefined
		let bestFree = 0
		const usable = [...board.endpoints.values()].filter(endpoint => isUsable(endpoint, now))
		const preferred = usable.filter(({host}) => !job.failedOn.includes(host.id))
		for (const endpoint of preferred.length > 0 ? preferred : usable) {
			const free = countFree(endpoint, usedSlots.get(endpoint.host.id) ?? 0, now)
			if (free > bestFree) [best, bestFree] = [endpoint, free]
		}
		return best
	}

	#claim(board: Board, job: JobEntry, endpoint: EndpointEntry, now: number): void {
		const {id, attempts} = job.record
		const epoch = board.authority.get(board.settings.zone)?.epoch ?? 0
		const taskId = formatTaskId(id, `${epoch}-${board.nextSequence()}`, 0)
		const attempt = attempts + 1
		board.calls.set(id, {
			jobId: id,
			taskId,
			endpointId: endpoint.host.id,
			incarnation: endpoint.incarnation,
			attempt,
			stage: CallStage.claiming,
			since: now,
			retryAt: now,
			sent: false
		})
		board.requestTransition({
			kind: TransitionKind.claim,
			jobId: id,
			owner: this.name,
			giveUpAt: undefined,
			claim: {
				epoch,
				attempt,
				members: [
					{workerId: endpoint.host.id, incarnation: endpoint.incarnation, taskId, accelerators: []}
				]
			}
		})
	}

	#settleTransition(board: Board, {transition, result}: TransitionResult, now: number): void {
		const call = board.calls.get(transition.jobId)
		if (call === undefined) return
		if (transition.kind !== TransitionKind.claim || result.isErr()) {
			board.calls.delete(call.jobId)
			return
		}
		const endpoint = board.endpoints.get(call.endpointId)
		if (!isStartPermitted(board, now) || endpoint === undefined || endpoint.leaving) {
			this.#requeue(board, call, ReasonCode.permitLapsed, false)
			return
		}
		this.#issueCall(board, call, endpoint, now)
	}

	#issueCall(board: Board, call: CallEntry, endpoint: EndpointEntry, now: number): void {
		const record = board.jobs.get(call.jobId)?.record
		if (record === undefined) return
		board.calls.set(call.jobId, {...call, stage: CallStage.calling, since: now, sent: true})
		board.issue<"endpoint-call">({
			kind: CommandKind.endpointCall,
			owner: this.name,
			subject: call.jobId,
			target: endpoint.host.address,
			request: {
				taskId: call.taskId,
				incarnation: call.incarnation,
				epoch: record.claim?.epoch ?? 0,
				generation: board.bundle.get("current")?.bundle.generation ?? 0,
				service: record.spec.service,
				payload: record.spec.payload,
				startByMs: computePermitUntil(board, endpoint)
			},
			timeoutMs: Math.max(ENDPOINT_TIMEOUT_MS, 2 * record.spec.declaredRunMs),
			issuedAt: now
		})
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const call = board.calls.get(completion.command.subject)
		if (call === undefined || call.stage === CallStage.ending) return
		const {request} = completion.command
		if (request === null || !("taskId" in request) || request.taskId !== call.taskId) return
		if (completion.result.isErr()) {
			const {error} = completion.result
			if (error instanceof RefusedError && completion.command.kind === CommandKind.endpointCall) {
				this.#settleRefusal(board, call, error)
				return
			}
			if (error instanceof RefusedError && error.code === RefusalCode.otherIncarnation) {
				// The endpoint has restarted, so there is no way to find out whether the call ran.
				this.#retryOrEnd(board, call, {kind: OutcomeKind.unknown, reason: ReasonCode.workerLost})
				return
			}
			const retryAt = now + MEMBER_RETRY_INTERVAL_MS
			const since = call.stage === CallStage.inspecting ? call.since : now
			board.calls.set(call.jobId, {...call, stage: CallStage.inspecting, since, retryAt})
			return
		}
		this.#settleReport(board, call, completion.result.value as CallReport, now)
	}

	/** A refused call never ran. */
	#settleRefusal(board: Board, call: CallEntry, error: RefusedError): void {
		const endpoint = board.endpoints.get(call.endpointId)
		const leaving = error.code === ReasonCode.endpointLeaving
		if (leaving && endpoint !== undefined)
			board.endpoints.set(call.endpointId, {...endpoint, leaving: true})
		this.#requeue(
			board,
			call,
			leaving ? ReasonCode.endpointLeaving : ReasonCode.workerRefused,
			false
		)
	}

	#settleReport(board: Board, call: CallEntry, report: CallReport, now: number): void {
		switch (report.state) {
			case "running":
				board.calls.set(call.jobId, {
					...call,
					stage: CallStage.inspecting,
					since: now,
					retryAt: now + MEMBER_RETRY_INTERVAL_MS
				})
				return
			case "completed":
				this.#end(board, call, {kind: OutcomeKind.completed, answer: report.answer ?? ""})
				return
			case "failed":
				this.#retryOrEnd(board, call, {
					kind: OutcomeKind.failed,
					reason: ReasonCode.taskFailed,
					detail: report.error
				})
				return
			case "unknown":
				// An inspection makes the endpoint block an unknown task id, so the call never ran and never will.
				this.#requeue(board, call, ReasonCode.answerLost, false)
		}
	}

	#inspectIfDue(board: Board, call: CallEntry, now: number): number | undefined {
		if (call.stage !== CallStage.inspecting) return undefined
		if (now - call.since > CALL_INSPECT_TIMEOUT_MS) {
			this.#retryOrEnd(board, call, {kind: OutcomeKind.unknown, reason: ReasonCode.answerLost})
			return undefined
		}
		if (now < call.retryAt) return call.retryAt
		const retryAt = now + ENDPOINT_TIMEOUT_MS
		board.calls.set(call.jobId, {...call, retryAt})
		board.issue<"endpoint-inspect">({
			kind: CommandKind.endpointInspect,
			owner: this.name,
			subject: call.jobId,
			target:
				board.endpoints.get(call.endpointId)?.host.address ??
				board.hosts.get(call.endpointId)?.address ??
				"",
			request: {taskId: call.taskId, incarnation: call.incarnation},
			timeoutMs: ENDPOINT_TIMEOUT_MS,
			issuedAt: now
		})
		return retryAt
	}

	#retryOrEnd(board: Board, call: CallEntry, outcome: Outcome): void {
		const repeatable = board.jobs.get(call.jobId)?.record.spec.repeatable === true
		if (repeatable && call.attempt < MAX_ATTEMPTS)
			this.#requeue(board, call, outcome.reason ?? ReasonCode.taskFailed, true)
		else this.#end(board, call, outcome)
	}

	#requeue(board: Board, call: CallEntry, reason: ReasonCode, counted: boolean): void {
		board.calls.set(call.jobId, {...call, stage: CallStage.ending})
		board.record(
			EventLevel.info,
			"call-requeued",
			{job: call.jobId, endpoint: call.endpointId},
			reason
		)
		board.requestTransition({
			kind: TransitionKind.requeue,
			jobId: call.jobId,
			owner: this.name,
			giveUpAt: undefined,
			checkpoint: 0,
			counted,
			// Only an attempt that ran or may have run counts.
			ran: counted ? RanState.unknown : RanState.no
		})
	}

	#end(board: Board, call: CallEntry, outcome: Outcome): void {
		board.calls.set(call.jobId, {...call, stage: CallStage.ending})
		board.requestTransition({
			kind: TransitionKind.end,
			jobId: call.jobId,
			owner: this.name,
			giveUpAt: undefined,
			outcome,
			onlyIfQueued: false
		})
	}
}

/** Counts the slots free for calls; 0 while the endpoint is leaving or has not answered recently. */
function countFree(endpoint: EndpointEntry, used: number, now: number): number {
	return isUsable(endpoint, now) ? Math.max(0, endpoint.slots - endpoint.foreignInUse - used) : 0
}

function isUsable({leaving, confirmedAt}: EndpointEntry, now: number): boolean {
	return !leaving && now - confirmedAt <= ENDPOINT_LOST_MS
}
