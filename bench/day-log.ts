/**
 * Reads the log lines of a domain's daemons and puts together what became of each workflow and each run. Lines may have
 * a prefix, as `fleetbench run --log all` prints them; whatever is no log line is skipped.
 */

export interface LogEvent {
	readonly time: number
	readonly msg: string
	readonly host: string
	readonly reason?: string
	readonly [field: string]: unknown
}

/** One attempt of one task. */
export interface RunLog {
	readonly task: string
	readonly run: number
	readonly startedAt: number
	/** Time at which its end was reported or it was released; undefined if the log has neither. */
	endedAt: number | undefined
	/** How it ended, as its worker reported it or as it was released. */
	end: string | undefined
	/** Why the scheduler stopped it; undefined if it did not. */
	stopReason: string | undefined
	stopAskedAt: number | undefined
	readonly cores: number
	readonly checkpoints: boolean
}

export interface WorkflowLog {
	readonly id: string
	queue: string
	workspace: string
	/** Time of the first answer to its caller, a refusal or an acceptance. */
	firstAnsweredAt: number
	acceptedAt: number | undefined
	takenUpAt: number | undefined
	objectiveMs: number | undefined
	endedAt: number | undefined
	/** Time at which its final state could be shown to callers. */
	shownAt: number | undefined
	state: string | undefined
	readonly runs: RunLog[]
	/** Times at which one of its tasks was logged as waiting for room, and as waiting for others to stop. */
	readonly noRoomAt: number[]
	readonly roomHeldAt: number[]
	/** The gates that held it while nothing of it ran, as far as the log names them. */
	readonly gates: GateLog[]
}

export interface GateLog {
	readonly time: number
	/** Since when the holder had seen nothing of the workflow run. */
	readonly since: number
	readonly gate: string
	readonly worker: string | undefined
}

/** A time without a holder that has loaded the workflows. */
export interface HolderGap {
	readonly from: number
	readonly to: number
}

export interface DayLog {
	readonly startedAt: number
	readonly endedAt: number
	readonly workflows: readonly WorkflowLog[]
	readonly gaps: readonly HolderGap[]
}

const FINAL_STATES = new Set(["completed", "failed", "cancelled"])

export function parseLogLine(line: string): LogEvent | undefined {
	const start = line.indexOf("{")
	if (start < 0 || !line.includes('"msg"')) return undefined
	try {
		const value = JSON.parse(line.slice(start)) as Partial<LogEvent>
		return typeof value.time === "number" && typeof value.msg === "string"
			? (value as LogEvent)
			: undefined
	} catch {
		return undefined
	}
}

export class DayLogReader {
	readonly #workflows = new Map<string, WorkflowLog>()
	readonly #runs = new Map<string, RunLog>()
	/** Cores and checkpoints of a step's tasks, by occurrence and step. */
	readonly #steps = new Map<string, {cores: number; checkpoints: boolean}>()
	readonly #gaps: HolderGap[] = []
	#freeSince: number | undefined
	#startedAt = Infinity
	#endedAt = 0

	read(event: LogEvent): void {
		this.#startedAt = Math.min(this.#startedAt, event.time)
		this.#endedAt = Math.max(this.#endedAt, event.time)
		const task = typeof event.task === "string" ? event.task : undefined
		if (task !== undefined) this.#readTaskEvent(event, task)
		else if (event.msg.startsWith("request-")) this.#readAnswer(event)
		else if (event.msg.startsWith("workflow-")) this.#readWorkflowEvent(event)
		else this.#readTermEvent(event)
	}

	finish(): DayLog {
		const workflows = [...this.#workflows.values()].filter(({takenUpAt}) => takenUpAt !== undefined)
		return {startedAt: this.#startedAt, endedAt: this.#endedAt, workflows, gaps: this.#gaps}
	}

	#findWorkflow(id: string, time: number): WorkflowLog {
		const known = this.#workflows.get(id)
		if (known !== undefined) return known
		const workflow: WorkflowLog = {
			id,
			queue: "",
			workspace: "",
			firstAnsweredAt: time,
			acceptedAt: undefined,
			takenUpAt: undefined,
			objectiveMs: undefined,
			endedAt: undefined,
			shownAt: undefined,
			state: undefined,
			runs: [],
			noRoomAt: [],
			roomHeldAt: [],
			gates: []
		}
		this.#workflows.set(id, workflow)
		return workflow
	}

	#readAnswer({msg, time, workflow, path, action, outcome}: LogEvent): void {
		if (action !== "submit") return
		const id = msg === "request-refused" ? String(path).split("/").at(-1) : workflow
		if (typeof id !== "string" || id === "") return
		const log = this.#findWorkflow(id, time)
		if (outcome === "queued") log.acceptedAt ??= time
	}

	#readWorkflowEvent(event: LogEvent): void {
		const {msg, time, workflow: id} = event
		if (typeof id !== "string") return
		const workflow = this.#findWorkflow(id, time)
		if (msg === "workflow-taken-up") {
			workflow.queue = String(event.queue)
			workflow.workspace = String(event.workspace)
			workflow.takenUpAt ??= time
			workflow.acceptedAt ??= time - Number(event.ageMs)
			if (typeof event.objectiveMs === "number") workflow.objectiveMs = event.objectiveMs
		} else if (msg === "workflow-ended") {
			workflow.endedAt ??= time
			workflow.state ??= String(event.state)
			if (typeof event.objectiveMs === "number") workflow.objectiveMs = event.objectiveMs
		} else if (msg === "workflow-state" && FINAL_STATES.has(String(event.state)))
			workflow.shownAt ??= time
	}

	#readTermEvent({msg, time, unrenewedMs}: LogEvent): void {
		if (msg === "zone-taken") this.#freeSince ??= time - Number(unrenewedMs)
		if (msg !== "workflows-loaded" || this.#freeSince === undefined) return
		this.#gaps.push({from: this.#freeSince, to: time})
		this.#freeSince = undefined
	}

	#readTaskEvent(event: LogEvent, task: string): void {
		const {msg, time, run, reason} = event
		const workflow = this.#findWorkflow(task.split(".")[0] ?? "", time)
		if (msg === "run-placed") {
			const cores = Number(event.cores ?? 0)
			this.#steps.set(findStep(task), {cores, checkpoints: event.checkpoints === true})
		} else if (msg === "run-waiting") workflow.noRoomAt.push(time)
		else if (msg === "run-room-held") workflow.roomHeldAt.push(time)
		else if (msg === "workflow-still") workflow.gates.push(readGate(event))
		if (typeof run !== "number") return
		const key = `${task} ${run}`
		const log = this.#runs.get(key)
		if (msg === "start-sent" && log === undefined) {
			const started: RunLog = {
				task,
				run,
				startedAt: time,
				endedAt: undefined,
				end: undefined,
				stopReason: undefined,
				stopAskedAt: undefined,
				...(this.#steps.get(findStep(task)) ?? {cores: 0, checkpoints: false})
			}
			this.#runs.set(key, started)
			workflow.runs.push(started)
		} else if (log !== undefined) settleRun(log, event, reason)
	}
}

function readGate({time, reason = "unknown", worker, stillMs}: LogEvent): GateLog {
	const since = typeof stillMs === "number" ? time - stillMs : time
	return {time, since, gate: reason, worker: typeof worker === "string" ? worker : undefined}
}

/** Occurrence and step of a task's id. */
function findStep(task: string): string {
	return task.slice(0, task.lastIndexOf("."))
}

function settleRun(log: RunLog, {msg, time, end}: LogEvent, reason: string | undefined): void {
	if (msg === "stop-asked") {
		log.stopReason ??= reason
		log.stopAskedAt ??= time
	} else if (msg === "run-ended") {
		log.end ??= String(end)
		log.endedAt ??= time
	} else if (msg === "run-released") {
		log.end ??= reason
		log.endedAt ??= time
	}
}
