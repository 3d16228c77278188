/**
 * Updates runs from the workers' reports: which are running, which ended and how, and which are missing. An end is
 * acknowledged only once its consequences are durable; until then the worker reports it again, to a successor too.
 */
import {
	type Board,
	type Controller,
	type EndReport,
	type NodeEntry,
	type NodeHealth,
	type NodeReport,
	type RunShown,
	type RunningReport,
	type TaskRef,
	EventLevel,
	NODE_SLOW_MS,
	NODE_FAILURES_MAX,
	NODE_QUARANTINE_MS,
	ProgressRates,
	ReasonCode,
	ReportedEnds,
	RunEnd,
	SectionName,
	WorkerPaces,
	WorkflowState,
	completeTask,
	computeSteadyTime,
	endWorkflow,
	findAbsenceProof,
	findListedEndProof,
	findLossProof,
	findObjective,
	findRestartProof,
	findStall,
	findStopTimes,
	findTaskRef,
	isCurrentRun,
	isOlderThanStart,
	mayHaveLostRuns,
	recordCheckpoint,
	recordContradiction,
	recordFailedWorker,
	recordIncarnation,
	recordRunning,
	releaseRun,
	stopRun
} from "../../internal.js"

/** Interval of the check for runs on workers whose lease has expired. */
const EXPIRY_CHECK_INTERVAL_MS = 200

/** Interval at which the runs of each step are compared. */
const PACE_INTERVAL_MS = 1500

const INITIAL_HEALTH: NodeHealth = {
	failedWorkflows: [],
	failedAt: 0,
	quarantinedUntil: 0,
	suspectUntil: 0,
	slowUntil: 0,
	pace: 1,
	foreignRuns: []
}

export class RunReportController implements Controller {
	readonly name = "run-report"
	readonly reads = [SectionName.nodeReports, SectionName.workflows, SectionName.terms]
	readonly #changedReports: Set<string>
	readonly #ends = new Map<string, ReportedEnds>()
	readonly #paces = new WorkerPaces()
	readonly #rates = new ProgressRates()
	#expiryCheckAt = 0
	#paceAt = 0

	constructor(board: Board) {
		this.#changedReports = board.nodeReports.watch()
	}

	step(board: Board, now: number): number | undefined {
		const term = board.terms.get("loaded")
		if (term === undefined) {
			this.#ends.clear()
			this.#rates.clear()
			for (const id of [...board.health.keys()]) board.health.delete(id)
			return undefined
		}
		if (this.#ends.size === 0)
			for (const id of board.nodeReports.keys()) this.#changedReports.add(id)
		for (const id of this.#changedReports) {
			const node = board.nodes.get(id)
			const report = board.nodeReports.get(id)
			if (node !== undefined && report !== undefined) this.#handleReport(board, node, report, now)
		}
		this.#changedReports.clear()
		this.#acknowledge(board)
		if (now >= this.#expiryCheckAt) {
			this.#expiryCheckAt = now + EXPIRY_CHECK_INTERVAL_MS
			this.#releaseLost(board, term.loadedAt, now)
		}
		if (now >= this.#paceAt) {
			this.#paceAt = now + PACE_INTERVAL_MS
			this.#updatePaces(board)
		}
		return board.runs.size > 0 ? this.#expiryCheckAt : undefined
	}

	#handleReport(board: Board, node: NodeEntry, report: NodeReport, now: number): void {
		const {id} = node.registration
		if (node.incarnation === undefined) return
		let ends = this.#ends.get(id)
		if (ends?.incarnation !== node.incarnation) {
			ends = new ReportedEnds(node.incarnation)
			this.#ends.set(id, ends)
		}
		const present = new Set<string>()
		let isSlow: boolean | undefined
		const foreignRuns: {taskId: string; run: number}[] = []
		for (const running of report.running) {
			const ref = board.runs.get(running.taskId)
			if (ref === undefined || !isCurrentRun(ref, node, running.run)) {
				foreignRuns.push({taskId: running.taskId, run: running.run})
				this.#recordContradiction(board, node, running, "running", report)
				continue
			}
			present.add(running.taskId)
			recordIncarnation(ref, node.incarnation)
			recordRunning(board, ref, running.percent, now)
			recordCheckpoint(ref, running.checkpoint, now)
			if (running.percent !== ref.task.percent) {
				ref.task.percent = running.percent
				ref.task.progressAt = now
			}
			isSlow = this.#observeRate(running, ref, report.receivedAt) ?? isSlow
		}
		if (isSlow !== undefined) this.#recordSlowness(board, id, isSlow, now)
		this.#recordForeignRuns(board, id, foreignRuns)
		for (const end of report.ends)
			if (ends.isDue(end.position)) this.#handleEnd(board, node, end, ends, report, now)
		if (!report.mayHaveMoreEnds) this.#releaseAbsent(board, node, report, present, now)
		this.#stopStalled(board, node, report, now)
	}

	#recordForeignRuns(board: Board, id: string, foreignRuns: NodeHealth["foreignRuns"]): void {
		const health = board.health.get(id) ?? INITIAL_HEALTH
		if (foreignRuns.length === 0 && health.foreignRuns.length === 0) return
		board.health.set(id, {...health, foreignRuns})
	}

	#recordContradiction(
		board: Board,
		{registration: {id}}: NodeEntry,
		{taskId, run}: Pick<EndReport, "taskId" | "run">,
		shown: RunShown,
		report: NodeReport
	): void {
		const ref = findTaskRef(board, taskId)
		if (ref !== undefined) recordContradiction(board, ref, id, run, shown, report)
	}

	#handleEnd(
		board: Board,
		node: NodeEntry,
		end: EndReport,
		ends: ReportedEnds,
		report: NodeReport,
		now: number
	): void {
		const ref = findTaskRef(board, end.taskId)
		const isCurrent =
			ref !== undefined && board.runs.has(end.taskId) && isCurrentRun(ref, node, end.run)
		this.#rates.delete(end.taskId)
		if (!ends.isKnown(end.position)) {
			board.record(EventLevel.info, "run-ended", {
				task: end.taskId,
				run: end.run,
				worker: node.registration.id,
				end: end.end,
				position: end.position,
				isCurrent
			})
			if (!isCurrent && end.end !== RunEnd.lapsed)
				this.#recordContradiction(board, node, end, end.end, report)
		}
		if (isCurrent && !this.#settleRun(board, node, ref, {end, report}, now))
			ends.defer(end.position, ref)
		// The end of a gang's member changes nothing if another member's came first, but has to outlast that change.
		else ends.settle(end.position, ref)
	}

	/** Returns false if the run can't be released yet: it is stopped first, and nothing follows from its end before. */
	#settleRun(
		board: Board,
		node: NodeEntry,
		ref: TaskRef,
		{end, report}: {readonly end: EndReport; readonly report: NodeReport},
		now: number
	): boolean {
		if (end.end === RunEnd.done && !ref.spec.longRunning) {
			completeTask(board, ref, now)
			this.#clearFailures(board, node.registration.id, ref, now)
			return true
		}
		const proof = findListedEndProof(this.name, ref, node, {end, report}, now)
		if (proof === undefined) {
			stopRun(board, ref, ReasonCode.workerLost, now)
			return false
		}
		recordCheckpoint(ref, end.checkpoint, now)
		const isLastFailure = end.end === RunEnd.failed && this.#recordFailure(board, node, ref, now)
		releaseRun(board, ref, end.end, proof, now)
		if (isLastFailure) endWorkflow(board, ref.workflow, WorkflowState.failed, now)
		return true
	}

	/** Runs that use only idle CPU are slow while others need it. */
	#observeRate(
		{taskId, run, percent}: RunningReport,
		{spec}: TaskRef,
		at: number
	): boolean | undefined {
		if (spec.usesIdleCpu || spec.longRunning) return undefined
		return this.#rates.observe(taskId, run, percent, at)
	}

	#recordSlowness(board: Board, id: string, isSlow: boolean, now: number): void {
		const health = board.health.get(id) ?? INITIAL_HEALTH
		const wasSlow = health.slowUntil > now
		if (!isSlow && !wasSlow) return
		board.health.set(id, {...health, slowUntil: isSlow ? now + NODE_SLOW_MS : 0})
		if (isSlow !== wasSlow) board.record(EventLevel.info, "worker-slow", {worker: id, isSlow})
	}

	#updatePaces(board: Board): void {
		for (const id of this.#paces.update(board.runs.values())) {
			const health = board.health.get(id) ?? INITIAL_HEALTH
			board.health.setSilently(id, {...health, pace: this.#paces.find(id)})
		}
	}

	/** A worker may fail all that it starts while older runs go on, so only a run started since then shows it is well. */
	#clearFailures(board: Board, id: string, {task, taskId}: TaskRef, now: number): void {
		const health = board.health.get(id)
		if (health === undefined || health.failedWorkflows.length === 0) return
		if (task.startedAt <= health.failedAt) return
		board.health.set(id, {...health, failedWorkflows: [], suspectUntil: 0, quarantinedUntil: 0})
		board.record(EventLevel.info, "worker-cleared", {
			worker: id,
			task: taskId,
			run: task.run,
			ranMs: Math.round(now - task.startedAt),
			failed: health.failedWorkflows.length,
			wasClosed: health.quarantinedUntil > now
		})
	}

	/** Returns true if the workflow fails with it. */
	#recordFailure(board: Board, node: NodeEntry, ref: TaskRef, now: number): boolean {
		const {task, step, spec, workflow} = ref
		const {id} = node.registration
		if (spec.gang) {
			if (step.gangFailedRun !== task.run) step.gangFailures++
			step.gangFailedRun = task.run
		} else task.failures++
		recordFailedWorker(task, id)
		this.#markSuspect(board, id, workflow.record.id, now)
		const failures = spec.gang ? step.gangFailures : task.failures
		return failures >= workflow.record.maxAttempts && !spec.longRunning
	}

	/** After one failure a worker is used last; after failures of several workflows it is quarantined. */
	#markSuspect(board: Board, id: string, workflowId: string, now: number): void {
		const health = board.health.get(id) ?? INITIAL_HEALTH
		const failedWorkflows = [...new Set([...health.failedWorkflows, workflowId])]
		const isQuarantined = failedWorkflows.length >= NODE_FAILURES_MAX
		const quarantinedUntil = isQuarantined ? now + NODE_QUARANTINE_MS : health.quarantinedUntil
		board.health.set(id, {
			...health,
			failedWorkflows,
			failedAt: now,
			suspectUntil: now + NODE_QUARANTINE_MS,
			quarantinedUntil
		})
		if (isQuarantined)
			board.record(EventLevel.info, "worker-closed", {worker: id, failed: failedWorkflows.length})
	}

	/** Releases the runs on the worker that its report proves to have ended without listing their ends. */
	#releaseAbsent(
		board: Board,
		node: NodeEntry,
		report: NodeReport,
		present: ReadonlySet<string>,
		now: number
	): void {
		for (const ref of [...board.runs.listOn(node.registration.id).values()]) {
			if (present.has(ref.taskId)) continue
			const absence = findAbsenceProof(this.name, ref, node, report, now)
			const restart = findRestartProof(this.name, ref, node, report, now)
			if (absence !== undefined) releaseRun(board, ref, "absent", absence, now)
			else if (restart !== undefined) releaseRun(board, ref, "worker-restarted", restart, now)
			else this.#stopLateStart(board, ref, node, report, now)
		}
	}

	/** A worker refuses a late start only once it has been told to stop that run. */
	#stopLateStart(
		board: Board,
		ref: TaskRef,
		{incarnation = ""}: NodeEntry,
		report: NodeReport,
		now: number
	): void {
		if (ref.task.incarnation === incarnation || isOlderThanStart(ref.task, report)) return
		recordIncarnation(ref, incarnation)
		stopRun(board, ref, ReasonCode.workerLost, now)
	}

	/** Runs that make no progress on a worker that answers make it suspect; those given up are started elsewhere. */
	#stopStalled(board: Board, node: NodeEntry, {receivedAt}: NodeReport, now: number): void {
		const {id} = node.registration
		const {stopMs} = findStopTimes(board.settings)
		for (const ref of [...board.runs.listOn(id).values()]) {
			const {task, taskId, workflow} = ref
			const objectiveMs = findObjective(board, workflow) ?? 0
			const stall = findStall(ref, {objectiveMs, stopMs}, receivedAt)
			if (stall === undefined) continue
			const {stalledMs, patienceMs} = stall
			const isGivenUp = stalledMs >= patienceMs
			// A run that is waited for counts once.
			if (!isGivenUp && task.failedOn.at(-1) === id) continue
			recordFailedWorker(task, id)
			this.#markSuspect(board, id, workflow.record.id, now)
			const fields = {task: taskId, run: task.run, worker: id, percent: task.percent}
			const times = {stalledMs: Math.round(stalledMs), patienceMs: Math.round(patienceMs)}
			board.record(EventLevel.info, "run-stalled", {...fields, ...times, isGivenUp})
			if (isGivenUp) stopRun(board, ref, ReasonCode.taskFailed, now)
		}
	}

	#acknowledge(board: Board): void {
		for (const [id, ends] of this.#ends) {
			const {incarnation} = ends
			const position = ends.findAcknowledged()
			const known = board.acknowledgements.get(id)
			if (known?.incarnation === incarnation && known.position === position) continue
			if (position > 0) board.acknowledgements.set(id, {incarnation, position})
		}
	}

	/** Releases the runs on workers that run nothing any more, even if they can't be reached. */
	#releaseLost(board: Board, loadedAt: number, now: number): void {
		for (const workerId of [...board.runs.listWorkers()]) {
			if (!mayHaveLostRuns(board, workerId, now)) continue
			const lost = [...board.runs.listOn(workerId).values()].flatMap(ref => {
				const proof = findLossProof(this.name, board, ref, now)
				return proof === undefined ? [] : [{ref, proof}]
			})
			if (lost.length === 0) continue
			const node = board.nodes.get(workerId)
			board.record(EventLevel.info, "worker-expired", {
				worker: workerId,
				runs: lost.length,
				isListed: node?.listed ?? false,
				// Since its last answer, or since the load of a term in which it has not answered.
				silentMs: Math.round(
					node?.incarnation === undefined
						? computeSteadyTime(board, now) - loadedAt
						: now - node.answeredAt
				)
			})
			for (const {ref, proof} of lost) releaseRun(board, ref, RunEnd.lapsed, proof, now)
		}
	}
}
