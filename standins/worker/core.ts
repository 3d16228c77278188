/**
 * Stand-in for a worker: it holds reservations and tasks under its holder's lease. It refuses a lower epoch or
 * generation, a start without a current permit, and a second run of a task id; its tasks stop when the lease expires.
 */
import {
	type Clock,
	type CommandTypes,
	type TaskReport,
	type WorkerCapacity,
	type WorkerStatus,
	TaskState,
	hashText
} from "../../src/internal.js"
import {StandInRefusal} from "../serve.js"

type RenewRequest = CommandTypes["worker-renew"]["request"]
type ReserveRequest = CommandTypes["worker-reserve"]["request"]
type StartRequest = CommandTypes["worker-start"]["request"]
type StopRequest = CommandTypes["worker-stop"]["request"]

export interface WorkerOptions {
	readonly workerId: string
	readonly incarnation: string
	readonly capacity: WorkerCapacity
	/** Called at each start and end of a run. */
	readonly onRun?: (run: RunEntry) => void
	/** Called whenever the bundle generation rises. */
	readonly onGeneration?: (generation: number) => void
}

/** One run of a task as its worker recorded it; tests check against these records. */
export interface RunEntry {
	readonly taskId: string
	readonly jobId: string
	readonly workerId: string
	readonly epoch: number
	readonly generation: number
	readonly startedWallMs: number
	endedWallMs: number | undefined
	end: string | undefined
}

/** Behaviour that tests and the demo switch on. */
export interface WorkerSwitches {
	/** Every task fails at once. */
	failAll: boolean
	/** Requests to stop with a checkpoint are ignored for this long. */
	ignoreStopMs: number
	/** Actual run time as a multiple of the payload's `runMs`. */
	runFactor: number
}

interface Task {
	report: TaskReport
	startedAt: number
	runMs: number
	resumeFrom: number
	checkpointable: boolean
	/** Time of the first stop request. */
	stopRequestedAt: number | undefined
	cancelTimer: () => void
	run: RunEntry | undefined
}

const DEFAULT_RUN_MS = 100
const REVISION_LENGTH = 16

export class WorkerCore {
	readonly #options: WorkerOptions
	readonly #clock: Clock
	readonly #tasks = new Map<string, Task>()
	/** Task ids that can't be started any more: started, refused, stopped, released or expired ones. */
	readonly #blockedTaskIds = new Set<string>()
	readonly #startedTaskIds = new Set<string>()
	readonly #runs: RunEntry[] = []
	readonly switches: WorkerSwitches = {
		failAll: false,
		ignoreStopMs: 0,
		runFactor: 1
	}
	#epoch = 0
	#generation = 0
	#permitUntilMs = 0
	#cancelLease: () => void = () => undefined

	constructor(options: WorkerOptions, clock: Clock) {
		this.#options = options
		this.#clock = clock
	}

	get capacity(): WorkerCapacity {
		return this.#options.capacity
	}

	get runs(): readonly RunEntry[] {
		return this.#runs
	}

	renew(request: RenewRequest): WorkerStatus {
		this.#checkEpoch(request.epoch)
		if (request.generation < this.#generation) throw new StandInRefusal("stale-generation")
		const isNewEpochOrGeneration =
			request.epoch > this.#epoch || request.generation > this.#generation
		if (request.generation > this.#generation) this.#options.onGeneration?.(request.generation)
		this.#epoch = request.epoch
		this.#generation = request.generation
		const {permitUntilMs} = request
		this.#permitUntilMs = isNewEpochOrGeneration
			? permitUntilMs
			: Math.max(this.#permitUntilMs, permitUntilMs)
		this.#cancelLease()
		this.#cancelLease = this.#clock.schedule(request.leaseMs, () => {
			this.#expireLease()
		})
		const status = this.readStatus()
		if (status.revision !== request.knownRevision) return status
		const {epoch, generation, clockMs, revision} = status
		return {epoch, generation, clockMs, revision}
	}

	readStatus(): WorkerStatus {
		const tasks = [...this.#tasks.values()].map(task => this.#buildReport(task))
		return {
			workerId: this.#options.workerId,
			incarnation: this.#options.incarnation,
			epoch: this.#epoch,
			generation: this.#generation,
			clockMs: this.#clock.now(),
			capacity: this.#options.capacity,
			revision: this.#computeRevision(tasks),
			tasks
		}
	}

	/** Hash of the incarnation, the capacity and the states of the tasks; run times are left out. */
	#computeRevision(tasks: readonly TaskReport[]): string {
		const states = tasks.map(task => ({...task, ranMs: undefined}))
		return hashText(JSON.stringify([this.#options, states])).slice(0, REVISION_LENGTH)
	}

	reserve(request: ReserveRequest): TaskReport {
		this.#checkRequest(request)
		const known = this.#tasks.get(request.taskId)
		if (known !== undefined) return this.#buildReport(known)
		if (this.#blockedTaskIds.has(request.taskId)) throw new StandInRefusal("already-ran")
		this.#checkCapacity(request)
		const task: Task = {
			report: {
				taskId: request.taskId,
				jobId: request.jobId,
				state: TaskState.reserved,
				started: false,
				accelerators: request.accelerators,
				cpus: request.shape.cpus,
				memoryMb: request.shape.memoryMb,
				ranMs: 0
			},
			startedAt: 0,
			runMs: 0,
			resumeFrom: 0,
			checkpointable: false,
			stopRequestedAt: undefined,
			run: undefined,
			cancelTimer: this.#clock.schedule(request.ttlMs, () => {
				this.#tasks.delete(request.taskId)
				this.#blockedTaskIds.add(request.taskId)
			})
		}
		this.#tasks.set(request.taskId, task)
		return task.report
	}

	start(request: StartRequest): TaskReport {
		this.#checkRequest(request)
		const task = this.#tasks.get(request.taskId)
		if (task?.report.started === true) return this.#buildReport(task)
		if (this.#blockedTaskIds.has(request.taskId)) throw new StandInRefusal("already-ran")
		if (request.generation < this.#generation) throw new StandInRefusal("stale-generation")
		if (this.#clock.now() >= this.#permitUntilMs) this.#refuseStart(request.taskId, "permit-lapsed")
		if (task === undefined) return this.#refuseStart(request.taskId, "not-reserved")
		this.#runTask(task, request)
		return this.#buildReport(task)
	}

	/** Stops the task and blocks its id; a running task may be asked for a checkpoint first. */
	stop(request: StopRequest): TaskReport {
		this.#checkRequest(request)
		const {taskId, checkpointFirst} = request
		this.#blockedTaskIds.add(taskId)
		const task = this.#tasks.get(taskId)
		if (task === undefined) return buildStoppedReport(taskId, this.#startedTaskIds.has(taskId))
		if (task.report.state === TaskState.reserved) {
			task.cancelTimer()
			this.#tasks.delete(taskId)
			return {...task.report, state: TaskState.stopped}
		}
		if (task.report.state === TaskState.running) this.#stopRunning(task, checkpointFirst)
		return this.#buildReport(task)
	}

	/** Deletes an ended task's report; its id stays blocked. */
	release(taskId: string): void {
		const task = this.#tasks.get(taskId)
		if (task === undefined || task.report.state === TaskState.running) return
		task.cancelTimer()
		this.#blockedTaskIds.add(taskId)
		this.#tasks.delete(taskId)
	}

	/** Ends this incarnation and all its tasks. */
	kill(): void {
		this.#cancelLease()
		for (const task of this.#tasks.values()) {
			this.#endTask(task, TaskState.stopped, {error: "the worker was killed"})
			task.cancelTimer()
		}
	}

	/** Refuses requests for another incarnation, whose state this one doesn't have. */
	#checkRequest({
		epoch,
		incarnation
	}: {
		readonly epoch: number
		readonly incarnation: string
	}): void {
		this.#checkEpoch(epoch)
		if (incarnation !== this.#options.incarnation) throw new StandInRefusal("other-incarnation")
	}

	#checkEpoch(epoch: number): void {
		if (epoch < this.#epoch) throw new StandInRefusal("stale-epoch", `${epoch} < ${this.#epoch}`)
	}

	#checkCapacity({accelerators, shape}: ReserveRequest): void {
		const usedAccelerators = new Set<number>()
		let {cpus, memoryMb} = this.#options.capacity
		for (const {report} of this.#tasks.values()) {
			if (report.state !== TaskState.reserved && report.state !== TaskState.running) continue
			for (const index of report.accelerators) usedAccelerators.add(index)
			cpus -= report.cpus
			memoryMb -= report.memoryMb
		}
		const isFree = (index: number) =>
			index < this.#options.capacity.accelerators && !usedAccelerators.has(index)
		if (!accelerators.every(isFree) || cpus < shape.cpus || memoryMb < shape.memoryMb)
			throw new StandInRefusal("no-room")
	}

	#refuseStart(taskId: string, code: string): never {
		this.#blockedTaskIds.add(taskId)
		throw new StandInRefusal(code)
	}

	#runTask(task: Task, request: StartRequest): void {
		task.cancelTimer()
		this.#blockedTaskIds.add(request.taskId)
		this.#startedTaskIds.add(request.taskId)
		const {runMs, answer} = readPayload(request.payload, request.declaredRunMs)
		task.startedAt = this.#clock.now()
		task.runMs = runMs * this.switches.runFactor
		task.resumeFrom = request.resumeFrom
		task.checkpointable = request.checkpointable
		task.report = {...task.report, state: TaskState.running, started: true}
		task.run = {
			taskId: request.taskId,
			jobId: request.jobId,
			workerId: this.#options.workerId,
			epoch: request.epoch,
			generation: request.generation,
			startedWallMs: this.#clock.readWallClock(),
			endedWallMs: undefined,
			end: undefined
		}
		this.#runs.push(task.run)
		this.#options.onRun?.(task.run)
		const remainingMs = this.switches.failAll ? 0 : task.runMs * (1 - task.resumeFrom)
		task.cancelTimer = this.#clock.schedule(remainingMs, () => {
			if (this.switches.failAll)
				this.#endTask(task, TaskState.failed, {
					error: "failAll is set: this worker fails every task"
				})
			else this.#endTask(task, TaskState.completed, {answer})
		})
	}

	#stopRunning(task: Task, checkpointFirst: boolean): void {
		task.stopRequestedAt ??= this.#clock.now()
		if (checkpointFirst && this.#clock.now() - task.stopRequestedAt < this.switches.ignoreStopMs)
			return
		const progress =
			task.resumeFrom + (this.#clock.now() - task.startedAt) / Math.max(1, task.runMs)
		const checkpoint = checkpointFirst && task.checkpointable ? Math.min(0.99, progress) : undefined
		this.#endTask(task, TaskState.stopped, checkpoint === undefined ? {} : {checkpoint})
	}

	#endTask(task: Task, state: TaskState, fields: Partial<TaskReport>): void {
		if (task.report.state !== TaskState.running) return
		task.cancelTimer()
		task.report = {...task.report, ...fields, state, ranMs: this.#clock.now() - task.startedAt}
		if (task.run !== undefined) {
			task.run.endedWallMs = this.#clock.readWallClock()
			task.run.end = state
			this.#options.onRun?.(task.run)
		}
	}

	/** Stops all tasks and permits no start until the next renewal. */
	#expireLease(): void {
		this.#permitUntilMs = 0
		for (const task of this.#tasks.values())
			this.#endTask(task, TaskState.stopped, {error: "the lease expired"})
	}

	#buildReport(task: Task): TaskReport {
		if (task.report.state !== TaskState.running) return task.report
		return {...task.report, ranMs: this.#clock.now() - task.startedAt}
	}
}

function buildStoppedReport(taskId: string, started: boolean): TaskReport {
	return {
		taskId,
		jobId: "",
		state: TaskState.stopped,
		started,
		accelerators: [],
		cpus: 0,
		memoryMb: 0,
		ranMs: 0
	}
}

/** Reads a payload: JSON with `runMs` and `answer`, both optional; by default the payload itself is the answer. */
export function readPayload(
	payload: string,
	declaredRunMs: number
): {runMs: number; answer: string} {
	try {
		const {runMs, answer} = JSON.parse(payload) as {runMs?: number; answer?: string}
		return {runMs: runMs ?? Math.min(declaredRunMs, DEFAULT_RUN_MS), answer: answer ?? payload}
	} catch {
		return {runMs: Math.min(declaredRunMs, DEFAULT_RUN_MS), answer: payload}
	}
}
