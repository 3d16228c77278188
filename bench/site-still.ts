/**
 * Finds the jobs that stood still, from the workers' own record of starts and ends and the clients' acceptances: nothing
 * of the job ran, a task's turn had come, there was room for it twice over and under half of the room was in use.
 */
import {type SiteJob} from "./site-load.js"

const TICK_MS = 50
const STILL_MS = 3000
const CAPACITY = {cpu: 32000, mem: 131072, gpu: 8}

export interface RunEvent {
	readonly event: string
	readonly at: number
	readonly task: string
	readonly worker: string
}

export interface StillCase {
	readonly job: SiteJob
	readonly fromMs: number
	readonly toMs: number
	/** Whether something of it ran later. */
	readonly movedLater: boolean
}

interface Use {
	cpu: number
	mem: number
	gpu: number
}

export class StillCheck {
	readonly #jobs: ReadonlyMap<string, SiteJob>
	readonly #uses: Map<string, Use>
	/** Worker of each running task. */
	readonly #running = new Map<string, string>()
	readonly #runningOfJob = new Map<string, number>()
	readonly #done = new Set<string>()
	readonly #stillSince = new Map<string, number>()
	readonly cases: StillCase[] = []

	constructor(jobs: readonly SiteJob[], workers: readonly string[]) {
		this.#jobs = new Map(jobs.map(job => [job.id, job]))
		this.#uses = new Map(workers.map(id => [id, {cpu: 0, mem: 0, gpu: 0}]))
	}

	/** Plays the events, in order of time, and checks each tick until `endMs`. */
	play(events: readonly RunEvent[], beginMs: number, endMs: number): void {
		let next = 0
		for (let nowMs = beginMs; nowMs <= endMs; nowMs += TICK_MS) {
			for (
				let event = events[next];
				event !== undefined && event.at <= nowMs;
				event = events[++next]
			)
				this.#apply(event)
			this.#checkJobs(nowMs)
		}
		for (const [id, sinceMs] of this.#stillSince) this.#conclude(id, sinceMs, endMs, false)
	}

	#apply({event, task, worker}: RunEvent): void {
		if (event === "done") this.#done.add(task)
		if (event === "crash") this.#uses.delete(worker)
		if (event === "start") this.#move(task, worker, 1)
		if (event === "end" && this.#running.has(task)) this.#move(task, worker, -1)
	}

	#move(task: string, worker: string, sign: number): void {
		const [id = "", , step = ""] = task.split(".")
		const demand = this.#jobs.get(id)?.steps[Number(step)]
		const use = this.#uses.get(worker)
		if (demand === undefined || use === undefined) return
		use.cpu += sign * demand.cpu
		use.mem += sign * demand.mem_mb
		use.gpu += sign * demand.gpu
		if (sign > 0) this.#running.set(task, worker)
		else this.#running.delete(task)
		this.#runningOfJob.set(id, (this.#runningOfJob.get(id) ?? 0) + sign)
	}

	#checkJobs(nowMs: number): void {
		const isHalfFree = this.#computeUse() < 0.5
		for (const [id, job] of this.#jobs) {
			const isStill =
				isHalfFree &&
				job.acceptedAt !== undefined &&
				job.acceptedAt <= nowMs &&
				(this.#runningOfJob.get(id) ?? 0) === 0 &&
				this.#hasRoomTwice(job)
			const sinceMs = this.#stillSince.get(id)
			if (isStill && sinceMs === undefined) this.#stillSince.set(id, nowMs)
			if (isStill || sinceMs === undefined) continue
			this.#conclude(id, sinceMs, nowMs, true)
		}
	}

	#conclude(id: string, fromMs: number, toMs: number, movedLater: boolean): void {
		this.#stillSince.delete(id)
		const job = this.#jobs.get(id)
		if (job !== undefined) this.cases.push({job, fromMs, toMs, movedLater})
	}

	#computeUse(): number {
		const sum = {cpu: 0, mem: 0, gpu: 0}
		for (const {cpu, mem, gpu} of this.#uses.values()) {
			sum.cpu += cpu
			sum.mem += mem
			sum.gpu += gpu
		}
		const count = this.#uses.size
		const shares = [sum.cpu / CAPACITY.cpu, sum.mem / CAPACITY.mem, sum.gpu / CAPACITY.gpu]
		return Math.max(...shares) / count
	}

	/** One member that ended as done stands for all of its gang. */
	#isStepDone({id, steps}: SiteJob, index: number): boolean {
		const step = steps[index]
		const isTaskDone = (_: unknown, task: number) => this.#done.has(`${id}.0.${index}.${task}`)
		const tasks = Array.from({length: step?.count ?? 0})
		return step?.gang === true ? tasks.some(isTaskDone) : tasks.every(isTaskDone)
	}

	/** Whether a step whose turn has come, all of it for a gang, fits twice. */
	#hasRoomTwice(job: SiteJob): boolean {
		return job.steps.some(({count, cpu, mem_mb, gpu, after, gang}, index) => {
			if (this.#isStepDone(job, index)) return false
			if (!after.every(earlier => this.#isStepDone(job, earlier))) return false
			let found = 0
			for (const use of this.#uses.values())
				found += Math.floor(
					Math.min(
						(CAPACITY.cpu - use.cpu) / cpu,
						(CAPACITY.mem - use.mem) / mem_mb,
						(CAPACITY.gpu - use.gpu) / gpu
					)
				)
			return found >= 2 * (gang ? count : 1)
		})
	}
}

export function findStandstills(cases: readonly StillCase[]): readonly StillCase[] {
	return cases.filter(({fromMs, toMs}) => toMs - fromMs >= STILL_MS)
}
