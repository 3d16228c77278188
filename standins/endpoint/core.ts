/** Stand-in for an endpoint: it has a few slots and runs each task id at most once. */
import {
	type CallReport,
	type Clock,
	type CommandTypes,
	type EndpointStatus
} from "../../src/internal.js"
import {StandInRefusal} from "../serve.js"
import {type RunEntry, readPayload} from "../worker/core.js"

type CallRequest = CommandTypes["endpoint-call"]["request"]

export class EndpointCore {
	readonly #endpointId: string
	readonly #slots: number
	readonly #clock: Clock
	readonly #incarnation: string
	/** Called at each start and end of a run. */
	readonly #onRun: (run: RunEntry) => void
	readonly #reports = new Map<string, CallReport>()
	readonly #blockedTaskIds = new Set<string>()
	readonly #pendingReplies = new Map<string, ((report: CallReport) => void)[]>()
	readonly #runs: RunEntry[] = []
	#epoch = 0
	#inUse = 0
	#isKilled = false
	leaving = false
	/** Whether it refuses new calls while it is leaving. */
	refusesWhenLeaving = true
	failAll = false

	constructor(
		endpointId: string,
		incarnation: string,
		slots: number,
		clock: Clock,
		onRun: (run: RunEntry) => void = () => undefined
	) {
		this.#onRun = onRun
		this.#endpointId = endpointId
		this.#incarnation = incarnation
		this.#slots = slots
		this.#clock = clock
	}

	get runs(): readonly RunEntry[] {
		return this.#runs
	}

	readStatus(): EndpointStatus {
		return {
			endpointId: this.#endpointId,
			incarnation: this.#incarnation,
			slots: this.#slots,
			inUse: this.#inUse,
			leaving: this.leaving,
			clockMs: this.#clock.now()
		}
	}

	/** Runs the call and resolves with its report; a repeated task id gets the report of the first call. */
	call(request: CallRequest): Promise<CallReport> {
		return new Promise(resolve => {
			this.callWithCallback(request, resolve)
		})
	}

	/** Like `call`, with a callback in place of a promise, for callers under a manual clock. */
	callWithCallback(request: CallRequest, onReport: (report: CallReport) => void): void {
		this.#checkIncarnation(request.incarnation)
		const known = this.#reports.get(request.taskId)
		if (known === undefined) this.#begin(request)
		else if (known.state !== "running") {
			onReport(known)
			return
		}
		const pending = this.#pendingReplies.get(request.taskId) ?? []
		pending.push(onReport)
		this.#pendingReplies.set(request.taskId, pending)
	}

	/** Returns the call's report; an unknown task id is blocked, so that it can't run later. */
	inspect(taskId: string, incarnation: string): CallReport {
		this.#checkIncarnation(incarnation)
		const known = this.#reports.get(taskId)
		if (known !== undefined) return known
		this.#blockedTaskIds.add(taskId)
		return {taskId, state: "unknown"}
	}

	get slots(): number {
		return this.#slots
	}

	/** Ends this incarnation and all its calls. */
	kill(): void {
		this.#isKilled = true
		for (const run of this.#runs) {
			if (run.endedWallMs !== undefined) continue
			run.endedWallMs = this.#clock.readWallClock()
			run.end = "stopped"
		}
	}

	/** Refuses requests for another incarnation, whose state this one doesn't have. */
	#checkIncarnation(incarnation: string): void {
		if (incarnation !== this.#incarnation) throw new StandInRefusal("other-incarnation")
	}

	#begin(request: CallRequest): void {
		if (this.#blockedTaskIds.has(request.taskId)) throw new StandInRefusal("already-ran")
		if (request.epoch < this.#epoch) this.#refuse(request.taskId, "stale-epoch")
		if (this.leaving && this.refusesWhenLeaving) this.#refuse(request.taskId, "endpoint-leaving")
		if (this.#clock.now() >= request.startByMs) this.#refuse(request.taskId, "permit-lapsed")
		if (this.#inUse >= this.#slots) this.#refuse(request.taskId, "no-room")
		this.#epoch = request.epoch
		this.#inUse++
		this.#reports.set(request.taskId, {taskId: request.taskId, state: "running"})
		const {runMs, answer} = readPayload(request.payload, Number.MAX_SAFE_INTEGER)
		const run: RunEntry = {
			taskId: request.taskId,
			jobId: request.taskId.split(".")[0] ?? "",
			workerId: this.#endpointId,
			epoch: request.epoch,
			generation: request.generation,
			startedWallMs: this.#clock.readWallClock(),
			endedWallMs: undefined,
			end: undefined
		}
		this.#runs.push(run)
		this.#onRun(run)
		this.#clock.schedule(runMs, () => {
			this.#finish(run, answer)
		})
	}

	#refuse(taskId: string, code: string): never {
		this.#blockedTaskIds.add(taskId)
		throw new StandInRefusal(code)
	}

	#finish(run: RunEntry, answer: string): void {
		if (this.#isKilled) return
		this.#inUse--
		const {taskId} = run
		const report: CallReport = this.failAll
			? {taskId, state: "failed", error: "failAll is set: this endpoint fails every call"}
			: {taskId, state: "completed", answer}
		run.endedWallMs = this.#clock.readWallClock()
		run.end = report.state
		this.#onRun(run)
		this.#reports.set(taskId, report)
		for (const onReport of this.#pendingReplies.get(taskId) ?? []) onReport(report)
		this.#pendingReplies.delete(taskId)
	}
}
