/**
 * Sends start and stop commands to workers. A run is started once it is durable, and the members of a gang together. A
 * start without an answer is retried, and then followed by a stop, after which the worker refuses that run for good.
 */
import {
	type Board,
	type CallError,
	type Completion,
	type Controller,
	type NodeEntry,
	type TaskRef,
	CATALOG_FRESH_MS,
	CallWindow,
	CommandKind,
	EventLevel,
	RUN_COMMAND_TIMEOUT_MS,
	RUN_STARTS_MAX,
	RUN_STOP_INTERVAL_MS,
	ReasonCode,
	RefusedError,
	SectionName,
	StartGate,
	TaskPhase,
	computeLeaseExpiry,
	computeLeaseEnd,
	computeSteadyTime,
	describeReleasedRun,
	findRefusalProof,
	findRoundGate,
	findTerm,
	findUnsentProof,
	isAnswered,
	isNodeSchedulable,
	isRefusedOrUnsent,
	isSaved,
	isSchedulable,
	isTermConfirmed,
	listRuns,
	listTaskRefs,
	recordFailedWorker,
	recordRunning,
	releaseRun,
	stopRun
} from "../../internal.js"

const START = "start"
const STOP = "stop"
const FOREIGN = "foreign"

/** Interval of the check of runs that wait for something other than a change on the board. */
const CHECK_INTERVAL_MS = 100

export class RunOrderController implements Controller {
	readonly name = "run-order"
	readonly reads = [
		SectionName.completions,
		SectionName.runs,
		SectionName.workflows,
		SectionName.nodes,
		SectionName.health,
		SectionName.terms
	]
	readonly #changedRuns: Set<string>
	readonly #changedWorkflows: Set<string>
	/** Tasks whose run is not confirmed as running. */
	readonly #unconfirmed = new Set<string>()
	/** Stop commands in flight, as "task run". */
	readonly #stopping = new Set<string>()
	readonly #window = new CallWindow(RUN_COMMAND_TIMEOUT_MS)
	/** True if a run had to wait for starts in flight; those planned later wait as well. */
	#isWindowFull = false
	readonly #foreignStopsSentAt = new Map<string, number>()

	constructor(board: Board) {
		this.#changedRuns = board.runs.watch()
		this.#changedWorkflows = board.workflows.watch()
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		if (!board.terms.has("loaded")) {
			this.#unconfirmed.clear()
			return undefined
		}
		this.#stopEndedWorkflows(board, now)
		for (const id of this.#changedRuns) this.#unconfirmed.add(id)
		this.#changedRuns.clear()
		if (isTermConfirmed(board, now)) {
			this.#isWindowFull = false
			for (const id of this.#listByPriority(board)) this.#advance(board, id, now)
			this.#stopForeign(board, now)
		}
		return this.#unconfirmed.size > 0 ? now + CHECK_INTERVAL_MS : undefined
	}

	/** Stops the runs of workflows that were cancelled or have failed. */
	#stopEndedWorkflows(board: Board, now: number): void {
		for (const id of [...this.#changedWorkflows]) {
			const workflow = board.workflows.get(id)
			if (workflow === undefined || isSchedulable(workflow)) continue
			for (const ref of listRuns(board, workflow)) stopRun(board, ref, ReasonCode.cancelled, now)
		}
		this.#changedWorkflows.clear()
	}

	/** Starts that wait for others go in the order of the queues. */
	#listByPriority({runs}: Board): string[] {
		const findPriority = (id: string) => runs.get(id)?.workflow.record.priority ?? 0
		return [...this.#unconfirmed].sort((a, b) => findPriority(a) - findPriority(b))
	}

	#advance(board: Board, taskId: string, now: number): void {
		const ref = board.runs.get(taskId)
		if (ref === undefined || ref.task.phase === TaskPhase.running) {
			this.#unconfirmed.delete(taskId)
			return
		}
		if (ref.task.phase === TaskPhase.planned) this.#startSaved(board, ref, now)
		else if (ref.task.phase === TaskPhase.stopping) this.#sendStop(board, ref, now)
	}

	#startSaved(board: Board, ref: TaskRef, now: number): void {
		const {workflow, occurrence, spec, stepIndex} = ref
		const refs = spec.gang ? listTaskRefs(workflow, occurrence, stepIndex) : [ref]
		const plannedRevision = Math.max(...refs.map(member => member.task.plannedRevision))
		if (!isSaved(workflow, occurrence, plannedRevision)) return
		// The plan is kept meanwhile: another one would take another commit.
		if (findRoundGate(board, now) === StartGate.catalogStale) return
		const blocked = refs.find(member => !this.#canStart(board, member, now))
		if (blocked !== undefined) {
			const proof = findUnsentProof(this.name, blocked)
			if (proof !== undefined) releaseRun(board, blocked, ReasonCode.workerRefused, proof, now)
			return
		}
		this.#isWindowFull ||= !this.#window.isOpenFor(refs.length)
		if (this.#isWindowFull) return
		for (const member of refs) this.#sendStart(board, member, now)
	}

	#canStart(board: Board, {task}: TaskRef, now: number): boolean {
		const node = board.nodes.get(task.workerId)
		const catalog = board.catalog.get("current")
		if (node === undefined || catalog === undefined) return false
		if (now - catalog.evidenceAt > CATALOG_FRESH_MS) return false
		return node.incarnation === task.incarnation && isNodeSchedulable(node, catalog)
	}

	#sendStart(board: Board, ref: TaskRef, now: number): void {
		const {task, taskId, workflow} = ref
		const node = board.nodes.get(task.workerId)
		const term = findTerm(board)
		if (node === undefined || term === undefined) return
		this.#window.recordSent()
		task.phase = TaskPhase.starting
		task.starts++
		task.openStarts++
		task.orderedAt = now
		board.issue<"start-run">({
			kind: CommandKind.runStart,
			owner: this.name,
			subject: `${START} ${taskId} ${task.run}`,
			target: node.registration.address,
			request: {
				taskId,
				run: task.run,
				payload: workflow.record.spec.payload,
				checkpoint: task.checkpoint,
				leaseUntilMs: computeLeaseEnd(board, node, now),
				epoch: term.epoch,
				workerId: task.workerId
			},
			timeoutMs: RUN_COMMAND_TIMEOUT_MS,
			issuedAt: now
		})
		this.#extendExpiry(board, node, now)
		const fields = {
			task: taskId,
			run: task.run,
			worker: task.workerId,
			start: task.starts,
			checkpoint: task.checkpoint,
			workerAgeMs: Math.round(now - node.answeredAt),
			epoch: term.epoch,
			...describeReleasedRun(task, now)
		}
		board.record(EventLevel.info, "start-sent", fields)
	}

	/** A start renews the worker's lease, so the time by which runs on that worker have expired moves as well. */
	#extendExpiry(board: Board, node: NodeEntry, now: number): void {
		const expiresAt = Math.max(
			node.leaseExpiresAt,
			computeLeaseExpiry(board, computeSteadyTime(board, now))
		)
		board.nodes.setSilently(node.registration.id, {...node, leaseExpiresAt: expiresAt})
	}

	#sendStop(board: Board, {task, taskId}: TaskRef, now: number): void {
		const key = `${taskId} ${task.run}`
		if (task.acknowledgedAt !== undefined || this.#stopping.has(key)) return
		if (now - task.orderedAt < RUN_STOP_INTERVAL_MS) return
		task.orderedAt = now
		this.#stopping.add(key)
		this.#issueStop(board, STOP, task.workerId, taskId, task.run, now)
	}

	#issueStop(
		board: Board,
		purpose: string,
		workerId: string,
		taskId: string,
		run: number,
		now: number
	): void {
		const node = board.nodes.get(workerId)
		const term = findTerm(board)
		if (node === undefined || term === undefined) {
			this.#stopping.delete(`${taskId} ${run}`)
			return
		}
		board.issue<"stop-run">({
			kind: CommandKind.runStop,
			owner: this.name,
			subject: `${purpose} ${taskId} ${run}`,
			target: node.registration.address,
			request: {taskId, run, epoch: term.epoch, workerId},
			timeoutMs: RUN_COMMAND_TIMEOUT_MS,
			issuedAt: now
		})
	}

	/** Stops runs that a worker reports and this holder doesn't know, such as runs of workflows that have ended. */
	#stopForeign(board: Board, now: number): void {
		for (const [workerId, {foreignRuns}] of board.health.entries()) {
			if (foreignRuns.length === 0) {
				this.#foreignStopsSentAt.delete(workerId)
				continue
			}
			if (now - (this.#foreignStopsSentAt.get(workerId) ?? -Infinity) < RUN_STOP_INTERVAL_MS)
				continue
			this.#foreignStopsSentAt.set(workerId, now)
			for (const {taskId, run} of foreignRuns)
				this.#issueStop(board, FOREIGN, workerId, taskId, run, now)
		}
	}

	#settle(board: Board, completion: Completion, now: number): void {
		const [purpose, taskId = "", run = ""] = completion.command.subject.split(" ")
		if (purpose === START)
			this.#window.recordEnd(isAnswered(completion.result), completion.command.issuedAt, now)
		if (purpose === STOP) this.#stopping.delete(`${taskId} ${run}`)
		const ref = board.runs.get(taskId)
		if (purpose === FOREIGN || ref?.task.run !== Number(run)) return
		if (purpose === START) this.#settleStart(board, ref, completion, now)
		else this.#settleStop(board, ref, completion, now)
	}

	#settleStart(board: Board, ref: TaskRef, {result}: Completion, now: number): void {
		if (result.isOk() || isRefusedOrUnsent(result.error)) ref.task.openStarts--
		// A report may have shown the run before.
		if (result.isOk() && ref.task.phase === TaskPhase.running) ref.task.acknowledgedAt ??= now
		if (ref.task.phase !== TaskPhase.starting) return
		if (result.isOk()) {
			ref.task.acknowledgedAt = now
			recordRunning(board, ref, 0, now)
			return
		}
		this.#settleFailedStart(board, ref, result.error, now)
	}

	#settleFailedStart(board: Board, ref: TaskRef, error: CallError, now: number): void {
		const {task, taskId} = ref
		const reason = error instanceof RefusedError ? error.code : "no-answer"
		const fields = {task: taskId, run: task.run, worker: task.workerId, detail: error.message}
		board.record(EventLevel.info, "start-failed", fields, reason)
		const proof = findRefusalProof(this.name, ref, error, now)
		if (proof !== undefined) {
			recordFailedWorker(task, task.workerId)
			releaseRun(board, ref, reason, proof, now)
		} else if (!(error instanceof RefusedError) && this.#mayRepeat(board, ref, now))
			this.#sendStart(board, ref, now)
		else stopRun(board, ref, ReasonCode.workerRefused, now)
	}

	#mayRepeat(board: Board, ref: TaskRef, now: number): boolean {
		const isLeft = ref.task.starts < RUN_STARTS_MAX
		return isLeft && isTermConfirmed(board, now) && this.#canStart(board, ref, now)
	}

	/** After a stop the worker refuses a delayed start of the run; its next report shows whether the run still exists. */
	#settleStop(board: Board, ref: TaskRef, {result}: Completion, now: number): void {
		if (ref.task.phase !== TaskPhase.stopping) return
		if (result.isOk()) {
			ref.task.acknowledgedAt = now
			// The end of a run that the worker doesn't list will not be reported.
			if (!isListed(board, ref)) board.reportRequests.set(ref.task.workerId, now)
		} else {
			const reason = result.error instanceof RefusedError ? result.error.code : "no-answer"
			const fields = {task: ref.taskId, run: ref.task.run, worker: ref.task.workerId}
			board.record(EventLevel.info, "stop-failed", fields, reason)
		}
	}
}

/** True if the latest report of the worker shows the run. */
function isListed(board: Board, {task, taskId}: TaskRef): boolean {
	const running = board.nodeReports.get(task.workerId)?.running ?? []
	return running.some(entry => entry.taskId === taskId && entry.run === task.run)
}
