/**
 * Drains the board's events into pino log lines and prom-client metrics. Lines are written asynchronously; if standard
 * output is not read and the buffer is full, lines are dropped and counted.
 */
import {type Logger, destination, pino} from "pino"
import {Counter, Gauge, Histogram, Registry} from "prom-client"
import {
	type Board,
	type BoardEvent,
	type CommandKind,
	type Entrance,
	JobState,
	ReasonCode,
	findAuthorityScope,
	listCapUse,
	listWeightedShares
} from "../internal.js"

const STDOUT_FD = 1
/** Maximum size of the log buffer, in characters. */
const LOG_BUFFER_MAX_CHARS = 1048576
/** Linux's PIPE_BUF: a larger write to a pipe may be split, and its reader may see part of it only. */
const LOG_WRITE_MAX_BYTES = 4096

const MS_PER_S = 1000
const LIMIT_LOG_INTERVAL_MS = 10000
/** Histogram buckets, from the duration of a call within a zone to the longest wait of a caller. */
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]

/** Events with a duration: the field that holds it, in milliseconds, and the field that labels the series. */
const TIMED_EVENTS: Readonly<Record<string, {readonly field: string; readonly label: string}>> = {
	"request-answered": {field: "tookMs", label: "action"},
	"run-placed": {field: "waitedMs", label: "rank"}
}

/** Queues with series of their own. */
const QUEUES_SHOWN_MAX = 50

type LogOutput = ReturnType<typeof destination>

/** Creates a stream that writes whole lines in the background, several at a time up to the maximum of one write. */
export function createLogOutput(fd: number): LogOutput {
	return destination({
		dest: fd,
		sync: false,
		maxLength: LOG_BUFFER_MAX_CHARS,
		maxWrite: LOG_WRITE_MAX_BYTES
	})
}

export class Telemetry {
	readonly #board: Board
	readonly #log: Logger
	readonly #registry = new Registry()
	readonly #events: Counter<"event" | "reason">
	readonly #problems: Counter<"reason">
	readonly #limits: Counter<"entrance" | "reason">
	/** Clients limited since the last log line, and when that was, by entrance and reason. */
	readonly #limitLogs = new Map<string, {count: number; loggedAt: number}>()
	readonly #jobs: Gauge<"state">
	readonly #standstills: Gauge<"gate">
	readonly #runTimeErrors: Gauge<"queue" | "of">
	readonly #capUse: Gauge<"workspace">
	readonly #weightedShares: Gauge<"workspace">
	readonly #headroom: Gauge<"service">
	readonly #durations: Histogram<"event" | "of">
	readonly #lostWork: Counter<"cause">
	readonly #calls: Histogram<"kind" | "result">
	readonly #droppedLines: Counter
	readonly #output = createLogOutput(STDOUT_FD)

	constructor(board: Board) {
		this.#board = board
		const {hostId, logLevel} = board.settings
		this.#log = pino({level: logLevel, base: {host: hostId}}, this.#output)
		this.#events = new Counter({
			name: "cardamomhook_events_total",
			help: "Events by name and reason",
			labelNames: ["event", "reason"],
			registers: [this.#registry]
		})
		this.#problems = new Counter({
			name: "cardamomhook_api_problems_total",
			help: "Refused requests of callers and operators by reason",
			labelNames: ["reason"],
			registers: [this.#registry]
		})
		for (const reason of Object.values(ReasonCode)) this.#problems.inc({reason}, 0)
		this.#limits = new Counter({
			name: "cardamomhook_limited_clients_total",
			help: "Connections closed and requests refused because clients went beyond the limits, by entrance and reason",
			labelNames: ["entrance", "reason"],
			registers: [this.#registry]
		})
		this.#jobs = new Gauge({
			name: "cardamomhook_jobs",
			help: "Jobs of the zone that this host schedules, by state",
			labelNames: ["state"],
			registers: [this.#registry]
		})
		this.#standstills = new Gauge({
			name: "cardamomhook_still_workflows",
			help: "Workflows of the domain of which nothing runs though a step's turn has come, by what holds them",
			labelNames: ["gate"],
			registers: [this.#registry]
		})
		this.#runTimeErrors = new Gauge({
			name: "cardamomhook_run_time_error",
			help: "How far expected run times have been off by queue, as the logarithm of the factor",
			labelNames: ["queue", "of"],
			registers: [this.#registry]
		})
		this.#capUse = new Gauge({
			name: "cardamomhook_workspace_cap_used_ratio",
			help: "Part of its cap that a workspace of the domain uses, of the resource that it uses most of",
			labelNames: ["workspace"],
			registers: [this.#registry]
		})
		this.#weightedShares = new Gauge({
			name: "cardamomhook_workspace_weighted_share",
			help: "Largest share of a resource of the domain that a workspace uses, divided by its weight",
			labelNames: ["workspace"],
			registers: [this.#registry]
		})
		this.#headroom = new Gauge({
			name: "cardamomhook_headroom_accelerators",
			help: "Accelerators that less urgent work is to leave free for urgent work about to arrive, by service",
			labelNames: ["service"],
			registers: [this.#registry]
		})
		this.#durations = new Histogram({
			name: "cardamomhook_event_seconds",
			help: "Durations reported by events, such as of a caller's request or the wait for placement",
			labelNames: ["event", "of"],
			buckets: LATENCY_BUCKETS_S,
			registers: [this.#registry]
		})
		this.#lostWork = new Counter({
			name: "cardamomhook_lost_core_seconds_total",
			help: "Work of runs that were released before they were done, since their start or latest checkpoint, by cause",
			labelNames: ["cause"],
			registers: [this.#registry]
		})
		this.#calls = new Histogram({
			name: "cardamomhook_call_seconds",
			help: "Durations of calls to the platform, workers, endpoints and peers by kind and result",
			labelNames: ["kind", "result"],
			buckets: LATENCY_BUCKETS_S,
			registers: [this.#registry]
		})
		this.#droppedLines = new Counter({
			name: "cardamomhook_log_lines_dropped_total",
			help: "Log lines dropped because standard output was not read in time",
			registers: [this.#registry]
		})
		this.#output.on("drop", () => {
			this.#droppedLines.inc()
		})
	}

	get log(): Logger {
		return this.#log
	}

	drain(): void {
		for (const [id, event] of [...this.#board.events.entries()]) {
			this.#board.events.take(id)
			this.#events.inc({event: event.name, reason: event.reason ?? ""})
			this.#observeDuration(event)
			this.#countLostWork(event)
			const {zone} = this.#board.settings
			const catalog = this.#board.catalog.get("current")?.catalog
			const generation =
				this.#board.bundle.get("current")?.bundle.generation ?? catalog?.version ?? 0
			const epoch = this.#board.authority.get(findAuthorityScope(this.#board.settings))?.epoch ?? 0
			// The event's own zone and generation take precedence over the host's.
			const fields = {zone, epoch, generation, ...event.fields, reason: event.reason}
			this.#log[event.level](fields, event.name)
		}
	}

	observeCall(kind: CommandKind, result: string, tookMs: number): void {
		this.#calls.observe({kind, result}, tookMs / MS_PER_S)
	}

	/** Flushes the log buffer before the process exits. */
	close(): void {
		this.#output.flushSync()
	}

	#observeDuration({name, fields}: BoardEvent): void {
		const timed = TIMED_EVENTS[name]
		if (timed === undefined) return
		const tookMs = fields[timed.field]
		if (typeof tookMs !== "number") return
		this.#durations.observe({event: name, of: `${fields[timed.label] ?? ""}`}, tookMs / MS_PER_S)
	}

	#countLostWork({name, fields: {cause, lost}}: BoardEvent): void {
		if (name !== "run-released" || typeof lost !== "number") return
		this.#lostWork.inc({cause: String(cause)}, lost)
	}

	countProblem(reason: string): void {
		this.#problems.inc({reason})
	}

	/** Counts a client that went beyond a limit, and logs it with those since the last line. */
	countLimit(entrance: Entrance, reason: string): void {
		this.#limits.inc({entrance, reason})
		const key = `${entrance} ${reason}`
		const limited = this.#limitLogs.get(key) ?? {count: 0, loggedAt: -Infinity}
		this.#limitLogs.set(key, limited)
		limited.count++
		const now = performance.now()
		if (now - limited.loggedAt < LIMIT_LOG_INTERVAL_MS) return
		this.#log.warn({entrance, reason, count: limited.count}, "clients-limited")
		limited.count = 0
		limited.loggedAt = now
	}

	async formatMetrics(): Promise<string> {
		const counts = new Map<string, number>(Object.values(JobState).map(state => [state, 0]))
		for (const {record} of this.#board.jobs.values())
			counts.set(record.state, (counts.get(record.state) ?? 0) + 1)
		for (const [state, count] of counts) this.#jobs.set({state}, count)
		this.#standstills.reset()
		for (const {held} of this.#board.standstills.values()) this.#standstills.inc({gate: held.gate})
		this.#runTimeErrors.reset()
		const errors = this.#board.stepTimes.get("current")?.listErrors() ?? []
		for (const {queue, caller, chosen} of errors.slice(0, QUEUES_SHOWN_MAX)) {
			this.#runTimeErrors.set({queue, of: "caller"}, caller)
			this.#runTimeErrors.set({queue, of: "forecast"}, chosen)
		}
		this.#capUse.reset()
		for (const {workspace, value} of listCapUse(this.#board)) this.#capUse.set({workspace}, value)
		this.#weightedShares.reset()
		for (const {workspace, value} of listWeightedShares(this.#board))
			this.#weightedShares.set({workspace}, value)
		this.#headroom.reset()
		for (const {service, size} of this.#board.headroom.values())
			this.#headroom.set({service}, size.accelerators)
		return this.#registry.metrics()
	}
}
