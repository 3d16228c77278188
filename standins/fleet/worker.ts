/**
 * Stand-in for a worker of the platform. It refuses commands with a lower token than the highest seen, runs all tasks
 * under one lease, and lists ended runs until they are acknowledged. The JSON payload of a task sets its behaviour. All
 * workers of a fleet share a monitor, which records violated rules.
 */
import {z} from "zod"
import {type Clock, type ResourceDemand} from "../../src/internal.js"

const payloadSchema = z.object({
	workMs: z.number().default(1000),
	/** Time after which it reports a progress of 100%; by default `workMs`. */
	reportedMs: z.number().optional(),
	/** Size of its gang; the members work only while all of them run. */
	gang: z.number().default(1),
	/** The run ends as failed. */
	fails: z.boolean().default(false),
	/** Listed with the end of each run. */
	checkpoint: z.string().default(""),
	cpu: z.number().default(0),
	gpu: z.number().default(0),
	/** The job's steps, if their order is to be checked. */
	steps: z
		.array(z.object({count: z.number().default(1), after: z.array(z.number()).default([])}))
		.default([])
})
type Payload = z.infer<typeof payloadSchema>

interface Run {
	readonly task: string
	readonly run: number
	readonly payload: Payload
	readonly cancelTimer: () => void
	/** When the last member of its gang started; undefined before. */
	workingSince: number | undefined
	isStopping: boolean
}

/** An ended run as the protocol lists it: its position, task, run id, outcome and checkpoint. */
type End = readonly [number, string, number, string, string]

export type CommandAnswer =
	| {readonly status: 200; readonly body: Readonly<Record<string, unknown>>}
	| {readonly status: 409; readonly body: {readonly clock_ms: number; readonly reason: string}}
	| {readonly status: 421; readonly body: Readonly<Record<string, never>>}

/** Share of its runs' progress that a slow worker loses. */
const SLOW_LOSS = 0.8
const PERCENT_DONE = 100
/** Ends listed at a time. */
const ENDS_LISTED_MAX = 500
/** How long a run lasts that fails because of its worker. */
const FAILED_START_MS = 100

/** Outcome of a run that was lost with its worker. */
const OUTCOME_LOST = "lost"
const OUTCOME_DONE = "done"

export interface EndRecord {
	readonly task: string
	readonly run: number
	readonly worker: string
	readonly outcome: string
	/** Position in its worker's list; 0 if it is not listed. */
	readonly position: number
}

/** Records the runs on all workers of a fleet, and the rules that they violate. */
export class FleetMonitor {
	readonly violations: string[] = []
	readonly starts: {readonly task: string; readonly run: number; readonly worker: string}[] = []
	readonly done = new Set<string>()
	readonly acknowledged: EndRecord[] = []
	readonly #running = new Map<string, string>()

	recordStart(task: string, run: number, worker: string, steps: Payload["steps"]): void {
		this.starts.push({task, run, worker})
		this.#checkStepOrder(task, steps)
		const other = this.#running.get(task)
		if (other !== undefined) this.violations.push(`${task} runs on both ${other} and ${worker}`)
		if (this.done.has(task)) this.violations.push(`${task} was started after it was done`)
		this.#running.set(task, worker)
	}

	/** Checks that every task of the steps that this one depends on is done. */
	#checkStepOrder(task: string, steps: Payload["steps"]): void {
		const [id = "", occurrence = "", step = ""] = task.split(".")
		for (const earlier of steps[Number(step)]?.after ?? [])
			for (let index = 0; index < (steps[earlier]?.count ?? 0); index++) {
				const needed = `${id}.${occurrence}.${earlier}.${index}`
				if (!this.done.has(needed))
					this.violations.push(`${task} was started before ${needed} was done`)
			}
	}

	/** Takes back completions that were not acknowledged when their worker restarted or lost its lease. */
	recordLostEnds(ends: readonly EndRecord[]): void {
		for (const {task, outcome} of ends) if (outcome === OUTCOME_DONE) this.done.delete(task)
	}

	recordDone({task}: EndRecord): void {
		this.done.add(task)
	}

	/** Records a run that is over, whether its end will be listed or is lost with its worker. */
	recordEnd({task, worker}: EndRecord): void {
		if (this.#running.get(task) === worker) this.#running.delete(task)
	}

	/** Records ends that a holder has acknowledged. */
	recordAcknowledged(ends: readonly EndRecord[]): void {
		this.acknowledged.push(...ends)
	}
}

export class FleetWorker {
	readonly id: string
	readonly #clock: Clock
	readonly #monitor: FleetMonitor
	readonly #fleetWorkers: Set<FleetWorker>
	readonly #capacity: ResourceDemand
	/** Time that it takes to stop a run. */
	stopMs: number
	/** From now on, every run that it starts fails; those it started before go on. */
	failsStarts = false
	/** Time that it takes for a task, relative to the task's `workMs`; applies to runs that begin to work from now on. */
	pace = 1
	/** Since when its runs report a fifth of their progress; undefined while it is well. */
	#slowSince: number | undefined
	/** Progress lost to earlier slow times, in ms. */
	#lostMs = 0
	/** Longest lease that it grants. */
	leaseMaxMs = 10000
	/** Start of this incarnation, by the wall clock. */
	born: number
	#token = 0
	#restarts = 0
	#ends: End[] = []
	#position = 0
	/** Time of the shared clock at which its own began; the first incarnation uses the shared one. */
	#clockOrigin = 0
	/** Rate of its own clock. */
	readonly #clockRate: number
	/** End of its lease, on its own clock. */
	#leaseUntil = 0
	#cancelLease: () => void = () => undefined
	readonly #runs = new Map<string, Run>()
	readonly #highestRun = new Map<string, number>()
	readonly #waiters = new Set<() => void>()

	constructor(
		id: string,
		clock: Clock,
		monitor: FleetMonitor,
		fleetWorkers: Set<FleetWorker>,
		capacity: ResourceDemand,
		{stopMs = 100, clockRate = 1}: {stopMs?: number; clockRate?: number} = {}
	) {
		this.id = id
		this.#clock = clock
		this.#monitor = monitor
		this.#fleetWorkers = fleetWorkers
		this.#capacity = capacity
		this.stopMs = stopMs
		this.#clockRate = clockRate
		this.born = clock.readWallClock()
		fleetWorkers.add(this)
	}

	/** Makes its runs report a fifth of the progress that they should; they end when they would have. */
	set isSlow(isSlow: boolean) {
		this.#lostMs = this.#sumLost()
		this.#slowSince = isSlow ? this.#clock.now() : undefined
	}

	get running(): readonly string[] {
		return [...this.#runs.keys()]
	}

	get ends(): readonly End[] {
		return this.#ends
	}

	/** Its own clock, which starts anew with each incarnation. */
	get clockMs(): number {
		return (this.#clock.now() - this.#clockOrigin) * this.#clockRate
	}

	/** Starts a new incarnation at the same address, without the runs and the state of the previous one. */
	restart(): void {
		for (const run of [...this.#runs.values()]) this.#remove(run, OUTCOME_LOST)
		this.#recordLostEnds()
		this.#ends = []
		this.#position = 0
		this.#token = 0
		this.#highestRun.clear()
		this.#cancelLease()
		this.#leaseUntil = 0
		this.#clockOrigin = this.#clock.now()
		this.#restarts++
		this.born = this.#clock.readWallClock()
	}

	/** Loses its runs, which breaks the gangs that they belong to. */
	crash(): void {
		for (const run of [...this.#runs.values()])
			for (const {worker, member} of this.#listMembers(run))
				if (worker !== this) worker.#endRun(member, "broken")
		this.restart()
	}

	start(command: {
		task: string
		run_id: number
		spec: string
		until_ms: number
		fencing_token: number
	}): CommandAnswer {
		if (!this.#acceptToken(command.fencing_token)) return this.#refuse("fence")
		const {task, run_id: run} = command
		const present = this.#runs.get(task)
		if (present?.run === run) return this.#answer()
		this.#renew(command.until_ms)
		if (run <= (this.#highestRun.get(task) ?? 0)) return this.#refuse("old")
		if (command.until_ms <= this.clockMs) return this.#refuse("late")
		const payload = payloadSchema.parse(JSON.parse(command.spec === "" ? "{}" : command.spec))
		this.#highestRun.set(task, run)
		this.#monitor.recordStart(task, run, this.id, payload.steps)
		this.#begin(task, run, payload)
		return this.#answer()
	}

	stop(command: {task: string; run_id: number; fencing_token: number}): CommandAnswer {
		if (!this.#acceptToken(command.fencing_token)) return this.#refuse("fence")
		const {task, run_id: run} = command
		this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0))
		const present = this.#runs.get(task)
		if (present?.run === run && !present.isStopping) {
			present.isStopping = true
			this.#clock.schedule(this.stopMs, () => {
				this.#endRun(present, "stopped")
			})
		}
		return this.#answer()
	}

	async hold(command: {
		fencing_token: number
		ack_seq: number
		until_ms?: number | undefined
		wait_ms?: number | undefined
	}): Promise<CommandAnswer> {
		if (!this.#acceptToken(command.fencing_token)) return this.#refuse("fence")
		this.#acknowledgeEnds(command.ack_seq)
		if (command.until_ms !== undefined) this.#renew(command.until_ms)
		const restarts = this.#restarts
		if (this.#ends.length === 0 && command.wait_ms !== undefined && command.wait_ms > 0)
			await this.#waitForEnd(command.wait_ms)
		// The connections of an earlier incarnation are gone.
		if (restarts !== this.#restarts) return new Promise(() => undefined)
		const running = [...this.#runs.values()].map(run => [
			run.task,
			run.run,
			"",
			this.#computePercent(run)
		])
		const ended_runs = this.#ends.slice(0, ENDS_LISTED_MAX)
		return this.#answer({running, ended_runs, born: this.born})
	}

	#begin(task: string, run: number, payload: Payload): void {
		const entry: Run = {
			task,
			run,
			payload,
			cancelTimer: () => undefined,
			workingSince: undefined,
			isStopping: false
		}
		this.#runs.set(task, entry)
		this.#checkCapacity()
		if (this.failsStarts) {
			this.#clock.schedule(FAILED_START_MS, () => {
				this.#endRun(entry, "failed")
			})
			return
		}
		const members = this.#listMembers(entry)
		if (members.length < payload.gang) return
		for (const {worker, member} of members) {
			member.workingSince = this.#clock.now()
			worker.#clock.schedule(payload.workMs * worker.pace, () => {
				if (worker.#runs.get(member.task) === member)
					worker.#endRun(member, payload.fails ? "failed" : "done")
			})
		}
	}

	#listMembers({task, run, payload}: Run): {worker: FleetWorker; member: Run}[] {
		if (payload.gang === 1) {
			const member = this.#runs.get(task)
			return member === undefined ? [] : [{worker: this, member}]
		}
		const step = task.slice(0, task.lastIndexOf(".") + 1)
		return [...this.#fleetWorkers].flatMap(worker =>
			[...worker.#runs.values()]
				.filter(member => member.run === run && member.task.startsWith(step))
				.map(member => ({worker, member}))
		)
	}

	#checkCapacity(): void {
		const used = {cpu: 0, gpu: 0}
		for (const {payload} of this.#runs.values()) {
			used.cpu += payload.cpu
			used.gpu += payload.gpu
		}
		if (used.cpu > this.#capacity.cpuMillis || used.gpu > this.#capacity.accelerators)
			this.#monitor.violations.push(`${this.id} runs more than its capacity allows`)
	}

	#endRun(run: Run, outcome: string): void {
		if (this.#runs.get(run.task) !== run) return
		this.#remove(run, outcome)
		const end: End = [++this.#position, run.task, run.run, outcome, run.payload.checkpoint]
		this.#ends.push(end)
		if (outcome === "done") this.#monitor.recordDone(this.#describeEnd(end))
		for (const wake of [...this.#waiters]) wake()
		if (outcome === "done" || run.payload.gang === 1) return
		for (const {worker, member} of this.#listMembers(run)) worker.#endRun(member, "broken")
	}

	#remove(run: Run, outcome: string): void {
		this.#runs.delete(run.task)
		this.#monitor.recordEnd(this.#describeEnd([0, run.task, run.run, outcome, ""]))
	}

	#describeEnd([position, task, run, outcome]: End): EndRecord {
		return {task, run, worker: this.id, outcome, position}
	}

	#acknowledgeEnds(position: number): void {
		const acknowledged = this.#ends.filter(([listed]) => listed <= position)
		if (acknowledged.length === 0) return
		this.#ends = this.#ends.filter(([listed]) => listed > position)
		this.#monitor.recordAcknowledged(acknowledged.map(end => this.#describeEnd(end)))
	}

	#renew(requestedUntil: number): void {
		const until = Math.min(requestedUntil, this.clockMs + this.leaseMaxMs)
		if (until <= this.#leaseUntil) return
		this.#leaseUntil = until
		this.#cancelLease()
		this.#cancelLease = this.#clock.schedule((until - this.clockMs) / this.#clockRate, () => {
			this.#recordLostEnds()
			for (const run of [...this.#runs.values()]) this.#endRun(run, "lapsed")
		})
	}

	#recordLostEnds(): void {
		this.#monitor.recordLostEnds(this.#ends.map(end => this.#describeEnd(end)))
	}

	#sumLost(): number {
		if (this.#slowSince === undefined) return this.#lostMs
		return this.#lostMs + (this.#clock.now() - this.#slowSince) * SLOW_LOSS
	}

	#computePercent({workingSince, payload}: Run): number {
		if (workingSince === undefined) return 0
		const workedMs = this.#clock.now() - workingSince - this.#sumLost()
		const share = Math.max(0, workedMs) / (payload.reportedMs ?? payload.workMs * this.pace)
		return Math.min(PERCENT_DONE, Math.round(share * PERCENT_DONE))
	}

	#acceptToken(token: number): boolean {
		if (token < this.#token) return false
		this.#token = token
		return true
	}

	#waitForEnd(waitMs: number): Promise<void> {
		return new Promise(resolve => {
			const wake = () => {
				this.#waiters.delete(wake)
				cancel()
				resolve()
			}
			const cancel = this.#clock.schedule(waitMs, wake)
			this.#waiters.add(wake)
		})
	}

	#answer(fields: Readonly<Record<string, unknown>> = {}): CommandAnswer {
		return {status: 200, body: {clock_ms: Math.floor(this.clockMs), ...fields}}
	}

	#refuse(reason: string): CommandAnswer {
		return {status: 409, body: {clock_ms: Math.floor(this.clockMs), reason}}
	}
}
