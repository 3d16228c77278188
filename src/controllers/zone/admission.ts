/**
 * Accepts jobs: checks the request against the bundle, chooses a zone and asks the ledger to commit the record. The
 * reply is "accepted" only after the commit, and "not run" only if no commit can take effect. Otherwise the outcome
 * is unknown, and the caller may retry with the same key.
 */
import {
	type Board,
	type BundleContent,
	type Completion,
	type Controller,
	type JobRecord,
	type Policies,
	type PriorityClass,
	type Refusal,
	type Reply,
	type SubmitRequest,
	type TransitionResult,
	type WorkspaceConfig,
	ACCEPT_TIMEOUT_MS,
	EventLevel,
	JobState,
	Lifecycle,
	PRIORITY_RANKS,
	RanState,
	ReasonCode,
	ReplyKind,
	RequestKind,
	SectionName,
	TransitionKind,
	buildJobView,
	buildRefusal,
	countAccelerators,
	decodeJobRecord,
	deriveJobId,
	encodeCanonical,
	formatJobKey,
	hashText,
	issueTableRead
} from "../../internal.js"

export class AdmissionController implements Controller {
	readonly name = "admission"
	readonly reads = [SectionName.requests, SectionName.transitionResults, SectionName.completions]
	readonly #policies: Policies
	readonly #readWallClock: () => number
	/** Requests by the id of the transition that they wait for. */
	readonly #waiting = new Map<string, SubmitRequest>()
	/** Requests to be refused unless an earlier one with the same key turns out to be accepted. */
	readonly #refusing = new Map<string, {request: SubmitRequest; refusal: Refusal}>()

	constructor(policies: Policies, readWallClock: () => number) {
		this.#policies = policies
		this.#readWallClock = readWallClock
	}

	step(board: Board, now: number): number | undefined {
		for (const result of board.takeTransitionResults(this.name))
			this.#settleTransition(board, result)
		for (const completion of board.takeCompletions(this.name))
			this.#settleRead(board, completion as Completion<"table-read">)
		for (const request of [...board.requests.values()]) {
			if (request.kind !== RequestKind.submit) continue
			board.requests.take(request.id)
			this.#admit(board, request, now)
		}
		return undefined
	}

	#admit(board: Board, request: SubmitRequest, now: number): void {
		const content = board.bundle.get("current")?.bundle.content
		const refusal = this.#check(board, request, content)
		if (refusal !== undefined || content === undefined) {
			this.#refuseUnlessAccepted(
				board,
				request,
				refusal ?? buildRefusal(ReasonCode.noBundle, RanState.no),
				now
			)
			return
		}
		const zone = this.#policies.zoneChoice.find(content.policies.zoneChoice).choose({
			jobId: deriveJobId(request.identity.workspace, request.identity.caller, request.key),
			ownZone: board.settings.zone,
			ownQueued: this.#countZoneQueued(board),
			workspace: request.identity.workspace,
			spec: request.spec,
			content,
			peers: [...board.peers.values()]
		})
		if (zone === undefined) {
			const reason = ReasonCode.noZoneInService
			this.#refuseUnlessAccepted(board, request, buildRefusal(reason, RanState.no), now)
			return
		}
		const id = board.requestTransition({
			kind: TransitionKind.accept,
			jobId: deriveJobId(request.identity.workspace, request.identity.caller, request.key),
			owner: this.name,
			giveUpAt: now + ACCEPT_TIMEOUT_MS,
			record: this.#buildRecord(request, zone)
		})
		this.#waiting.set(id, request)
	}

	#check(
		board: Board,
		{identity, spec}: SubmitRequest,
		content: BundleContent | undefined
	): Refusal | undefined {
		if (board.lifecycle.get("state") !== Lifecycle.serving)
			return buildRefusal(ReasonCode.stopping, RanState.no)
		if (content === undefined) return buildRefusal(ReasonCode.noBundle, RanState.no)
		const workspace = content.workspaces.find(({name}) => name === identity.workspace)
		if (workspace === undefined) return buildRefusal(ReasonCode.unknownWorkspace, RanState.no)
		if (countAccelerators(spec.shape) > workspace.maxAccelerators)
			return buildRefusal(ReasonCode.overQuota, RanState.no)
		if (this.#countQueued(board, workspace, spec.priority) >= workspace.maxQueued)
			return buildRefusal(ReasonCode.queueFull, RanState.no)
		return undefined
	}

	/** Returns the length of this zone's queue; undefined if this host doesn't schedule the zone. */
	#countZoneQueued(board: Board): number | undefined {
		if (board.authority.get(board.settings.zone)?.isHeldHere !== true) return undefined
		let queued = 0
		for (const {record} of board.jobs.values()) if (record.state === JobState.queued) queued++
		return queued
	}

	/**
	 * Counts the workspace's queued jobs that a job of this priority would not displace. A host that doesn't schedule
	 * its zone knows none; the zone's holder enforces the limit in ExpiryController.
	 */
	#countQueued(board: Board, {name}: WorkspaceConfig, priority: PriorityClass): number {
		let queued = 0
		for (const {record} of board.jobs.values()) {
			if (record.workspace !== name || record.state !== JobState.queued) continue
			if (PRIORITY_RANKS[record.spec.priority] <= PRIORITY_RANKS[priority]) queued++
		}
		return queued
	}

	#buildRecord({identity, key, spec}: SubmitRequest, zone: string): JobRecord {
		return {
			id: deriveJobId(identity.workspace, identity.caller, key),
			workspace: identity.workspace,
			caller: identity.caller,
			key,
			bodyHash: hashText(encodeCanonical(spec)),
			spec,
			zone,
			state: JobState.queued,
			attempts: 0,
			checkpoint: 0,
			ran: RanState.no,
			cancelRequested: false,
			acceptedAtWallMs: this.#readWallClock(),
			writeId: ""
		}
	}

	#settleTransition(board: Board, {transition, result}: TransitionResult): void {
		const request = this.#waiting.get(transition.id)
		this.#waiting.delete(transition.id)
		if (request === undefined) return
		result.match(
			({record, created}) => {
				const fields = {job: record.id, workspace: record.workspace, zone: record.zone}
				board.record(EventLevel.info, created ? "job-accepted" : "job-repeated", fields)
				this.#reply(board, request, {kind: ReplyKind.job, created, job: buildJobView(record)})
			},
			error => {
				const lost = error.reason === ReasonCode.answerLost
				const ran = lost ? RanState.unknown : RanState.no
				this.#refuse(
					board,
					request,
					buildRefusal(error.reason, ran, error.message, transition.jobId)
				)
			}
		)
	}

	/** Checks the job's row first: if the key was accepted before and the reply was lost, "not run" would be wrong. */
	#refuseUnlessAccepted(board: Board, request: SubmitRequest, refusal: Refusal, now: number): void {
		const {workspace, caller} = request.identity
		this.#refusing.set(request.id, {request, refusal})
		issueTableRead(
			board,
			this.name,
			request.id,
			[formatJobKey(deriveJobId(workspace, caller, request.key))],
			now
		)
	}

	#settleRead(board: Board, {command, result}: Completion<"table-read">): void {
		const refused = this.#refusing.get(command.subject)
		this.#refusing.delete(command.subject)
		if (refused === undefined) return
		const {request, refusal} = refused
		if (result.isErr()) {
			this.#refuse(board, request, {...refusal, ran: RanState.unknown})
			return
		}
		const [row] = result.value
		const record = row === undefined ? undefined : decodeJobRecord(row.value)
		if (record === undefined) this.#refuse(board, request, refusal)
		else if (record.bodyHash !== hashText(encodeCanonical(request.spec)))
			this.#refuse(board, request, buildRefusal(ReasonCode.keyConflict, RanState.no))
		else
			this.#reply(board, request, {kind: ReplyKind.job, created: false, job: buildJobView(record)})
	}

	#refuse(board: Board, request: SubmitRequest, refusal: Refusal): void {
		const fields = {workspace: request.identity.workspace, ran: refusal.ran}
		board.record(EventLevel.info, "request-refused", fields, refusal.reason)
		this.#reply(board, request, {kind: ReplyKind.refused, refusal})
	}

	#reply(board: Board, request: SubmitRequest, reply: Reply): void {
		board.replies.set(request.id, reply)
	}
}
