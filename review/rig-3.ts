/**
 * Stand-ins for the scripts of the third review: the platform's store, runners and a client, all on loopback addresses and
 * the real clock, and the project's daemon as separate processes with the command and the template of the deploy file.
 */
import {type ChildProcess, spawn} from "node:child_process"
import {appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync} from "node:fs"
import {
	type IncomingMessage,
	type Server,
	type ServerResponse,
	createServer,
	request
} from "node:http"
import {type AddressInfo, createServer as createNetServer} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"

const LOOPBACK = "127.0.0.1"
const START_MAX_MS = 20_000
const SCRIPT_MAX_MS = 110_000
const HTTP_OK = 200

export const ExitCode = {held: 0, broken: 1, notRun: 2} as const
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]

/** Bounds of the sheet of barua-hub. */
export const Bounds = {
	contactMs: 4000,
	ackMs: 5000,
	revokeMs: 5000,
	maxHoldMs: 10_000,
	stopMs: 200,
	cancelMs: 3000,
	visibleMs: 3000,
	gangTimeoutMs: 3000,
	reclaimMs: 2700
} as const

export function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)))
}

export async function waitFor(
	isTrue: () => boolean | Promise<boolean>,
	maxMs: number
): Promise<boolean> {
	const until = performance.now() + maxMs
	for (;;) {
		if (await isTrue()) return true
		if (performance.now() >= until) return false
		await pause(20)
	}
}

/** What was sent, answered and run, with the time since the start of the script. */
export class Journal {
	readonly #path: string
	readonly #startedAt = performance.now()

	constructor(folder: string) {
		this.#path = join(folder, "record.txt")
		writeFileSync(this.#path, "")
	}

	get now(): number {
		return performance.now() - this.#startedAt
	}

	write(text: string): void {
		const line = `${(this.now / 1000).toFixed(3).padStart(8)} s  ${text}\n`
		appendFileSync(this.#path, line)
		process.stdout.write(line)
	}
}

async function listen(server: Server, host = LOOPBACK): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once("error", reject)
		server.listen(0, host, resolve)
	})
	return (server.address() as AddressInfo).port
}

/** A port that nobody uses at that address now. */
async function findFreePort(host: string): Promise<number> {
	const server = createNetServer()
	await new Promise<void>(resolve => server.listen(0, host, resolve))
	const {port} = server.address() as AddressInfo
	await new Promise(resolve => server.close(resolve))
	return port
}

async function readBody(message: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = []
	for await (const chunk of message) chunks.push(chunk as Buffer)
	return Buffer.concat(chunks).toString()
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {"content-type": "application/json"})
	response.end(JSON.stringify(body))
}

interface RowName {
	readonly table: string
	readonly part: string
	readonly key: string
}
interface Row extends RowName {
	readonly value?: string
	readonly schema_version: number
	readonly deleted?: boolean
}
interface Transaction {
	readonly precondition?: (RowName & {schema_version: number})[]
	readonly put?: (RowName & {value: string})[]
	readonly delete?: RowName[]
}

const PAGE_ROWS = 500
const TRANSACTION_MS = 8
const READ_MS = 2
const HTTP_CONFLICT = 412
const HTTP_FORBIDDEN = 403
const HTTP_NOT_FOUND = 404
const FOREIGN_TABLES = new Set(["op", "servers"])

/** The platform's store. Each machine has a port of its own, which may fall silent. */
export class Store {
	readonly #rows = new Map<string, Row>()
	readonly #history: Row[] = []
	readonly #waiters = new Set<() => void>()
	readonly #servers: Server[] = []
	readonly #silent = new Set<string>()
	/** When each machine last wrote under a condition. */
	readonly wroteAt = new Map<string, number>()
	#version = 1
	#partFreeAt = 0

	/** Opens a machine's port. */
	async open(machine: string): Promise<number> {
		const server = createServer((message, response) => {
			void this.#serve(machine, message, response)
		})
		this.#servers.push(server)
		return listen(server)
	}

	/** While it is silent, the store does nothing for the machine and never answers these calls. */
	setSilent(machine: string, isSilent: boolean): void {
		if (isSilent) this.#silent.add(machine)
		else this.#silent.delete(machine)
	}

	/** Writes a row of the operator or of a runner. */
	put(table: string, key: string, value: unknown): void {
		const encoded = Buffer.from(JSON.stringify(value)).toString("base64")
		this.#apply({put: [{table, part: "", key, value: encoded}]})
	}

	drop(table: string, key: string): void {
		this.#apply({delete: [{table, part: "", key}]})
	}

	close(): void {
		for (const server of this.#servers) {
			server.close()
			server.closeAllConnections()
		}
	}

	async #serve(machine: string, message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? "/", "http://store")
		const body = await readBody(message)
		if (this.#silent.has(machine)) return
		const query = url.searchParams
		switch (url.pathname) {
			case "/v1/rows-tx":
				await this.#transact(machine, JSON.parse(body) as Transaction, response)
				return
			case "/v1/rows-get":
				await pause(READ_MS)
				sendJson(response, HTTP_OK, this.#readRange(query))
				return
			case "/v1/rows-feed":
				await this.#feed(machine, query, response)
				return
			default:
				sendJson(response, HTTP_NOT_FOUND, {})
		}
	}

	async #transact(
		machine: string,
		transaction: Transaction,
		response: ServerResponse
	): Promise<void> {
		const now = performance.now()
		this.#partFreeAt = Math.max(this.#partFreeAt, now) + TRANSACTION_MS
		await pause(this.#partFreeAt - now)
		const {precondition = [], put = [], delete: dropped = []} = transaction
		if ([...put, ...dropped].some(({table}) => FOREIGN_TABLES.has(table))) {
			sendJson(response, HTTP_FORBIDDEN, {})
			return
		}
		if (precondition.length > 0) this.wroteAt.set(machine, performance.now())
		const current = precondition.map(name => this.#rows.get(formatName(name)))
		const holds = precondition.every(
			({schema_version: version}, index) => (current[index]?.schema_version ?? 0) === version
		)
		if (!holds) {
			sendJson(response, HTTP_CONFLICT, {
				rows: current.filter(row => row !== undefined),
				...this.#stamp()
			})
			return
		}
		this.#apply({put, delete: dropped})
		sendJson(response, HTTP_OK, this.#stamp())
	}

	#stamp() {
		return {schema_version: this.#version, now_ms: Math.round(performance.now())}
	}

	#apply({put = [], delete: dropped = []}: Transaction): void {
		this.#version++
		for (const row of put) this.#write({...row, schema_version: this.#version})
		for (const {table, part, key} of dropped)
			if (this.#rows.has(formatName({table, part, key})))
				this.#write({table, part, key, schema_version: this.#version, deleted: true})
		for (const wake of [...this.#waiters]) wake()
	}

	#write(row: Row): void {
		this.#history.push(row)
		if (row.deleted === true) this.#rows.delete(formatName(row))
		else this.#rows.set(formatName(row), row)
	}

	#readRange(query: URLSearchParams) {
		const [table, part, from] = [
			query.get("table"),
			query.get("part") ?? "",
			query.get("from") ?? ""
		]
		const target = query.get("target")
		const limit = Math.min(PAGE_ROWS, Number(query.get("limit") ?? PAGE_ROWS))
		const found = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from)
			.filter(row => target === null || row.key < target)
			.sort((a, b) => (a.key < b.key ? -1 : 1))
		return {rows: found.slice(0, limit), has_more: found.length > limit, ...this.#stamp()}
	}

	async #feed(machine: string, query: URLSearchParams, response: ServerResponse): Promise<void> {
		const until = performance.now() + Number(query.get("wait_ms") ?? 0)
		const after = Number(query.get("after"))
		const list = () =>
			this.#history.filter(row => row.table === query.get("table") && row.schema_version > after)
		while (list().length === 0 && performance.now() < until) await this.#waitForChange(until)
		await pause(READ_MS)
		if (this.#silent.has(machine)) return
		sendJson(response, HTTP_OK, {rows: list(), ...this.#stamp()})
	}

	#waitForChange(until: number): Promise<void> {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer)
				this.#waiters.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, Math.max(0, until - performance.now()))
			this.#waiters.add(wake)
		})
	}
}

function formatName({table, part, key}: RowName): string {
	return JSON.stringify([table, part, key])
}

/** What a task does, as the job's `spec` says it. */
export interface Work {
	/** Time that it works; it lasts until it is stopped if this is left out. */
	readonly workMs?: number
	/** The run with this number ends as failed after `failMs`. */
	readonly failRun?: number
	readonly failMs?: number
	/** Number of members that have to be there before any of them works. */
	readonly gang?: number
	readonly gpu: number
}

interface Run {
	readonly task: string
	readonly run: number
	readonly work: Work
	readonly startedAt: number
	workingSince: number | undefined
	isStopping: boolean
	readonly timers: NodeJS.Timeout[]
}

export interface StartEntry {
	readonly task: string
	readonly run: number
	readonly runner: string
	readonly at: number
}
export interface EndEntry extends StartEntry {
	readonly how: string
}

export interface RunnerShape {
	readonly zone: string
	readonly labels: readonly string[]
	readonly cpu: number
	readonly memMb: number
	readonly gpu: number
}

const STARTUP_MS = 200
const HEARTBEAT_MS = 1500
const ENDS_LISTED_MAX = 500
const HTTP_REFUSED = 409
const HTTP_OTHER_BOOT = 421
const HTTP_SICK = 503

/** One runner. */
class Runner {
	readonly id: string
	readonly shape: RunnerShape
	readonly born = Date.now()
	readonly runs = new Map<string, Run>()
	/** While it is sick, it answers starts and stops with 503 and does nothing; it still answers what it holds. */
	isSick = false
	readonly #fleet: Fleet
	readonly #server: Server
	readonly #bootAt = performance.now()
	readonly #highestRun = new Map<string, number>()
	#port = 0
	#sequence = 0
	#token = 0
	#leaseUntil = 0
	#leaseTimer: NodeJS.Timeout | undefined
	#heartbeat: NodeJS.Timeout | undefined
	#ends: [number, string, number, string, string][] = []
	#position = 0
	readonly #waiters = new Set<() => void>()

	constructor(id: string, shape: RunnerShape, fleet: Fleet) {
		this.id = id
		this.shape = shape
		this.#fleet = fleet
		this.#server = createServer((message, response) => {
			void this.#serve(message, response)
		})
	}

	async open(): Promise<void> {
		this.#port = await listen(this.#server)
		this.#beat()
		this.#heartbeat = setInterval(() => {
			this.#beat()
		}, HEARTBEAT_MS)
	}

	close(): void {
		clearInterval(this.#heartbeat)
		clearTimeout(this.#leaseTimer)
		for (const run of this.runs.values()) run.timers.forEach(clearTimeout)
		this.#server.close()
		this.#server.closeAllConnections()
	}

	get clockMs(): number {
		return Math.floor(performance.now() - this.#bootAt) + 1
	}

	get usedGpu(): number {
		return [...this.runs.values()].reduce((sum, {work}) => sum + work.gpu, 0)
	}

	#beat(): void {
		const {zone, labels, cpu, memMb, gpu} = this.shape
		this.#fleet.store.put("servers", this.id, {
			service: this.#fleet.service,
			address: `${LOOPBACK}:${this.#port}`,
			zone,
			version: "v1",
			slots: 8,
			state: "ready",
			cold_remaining_ms: 0,
			capacity: {cpu, mem_mb: memMb, gpu},
			labels,
			clock_ms: this.clockMs,
			sequence: ++this.#sequence,
			born: this.born
		})
	}

	async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = JSON.parse((await readBody(message)) || "{}") as {
			task: string
			run_id: number
			spec?: string
			until_ms?: number
			fencing_token?: number
			ack_seq?: number
			wait_ms?: number
		}
		const expected = message.headers["x-expect-instance"]
		if (expected !== undefined && expected !== this.id) {
			sendJson(response, HTTP_OTHER_BOOT, {clock_ms: this.clockMs})
			return
		}
		const isOrder = message.url !== "/v1/hold"
		if (isOrder && this.isSick) {
			this.#fleet.journal.write(
				`${this.id} answers 503 to ${message.url ?? ""} ${body.task}, run ${body.run_id}`
			)
			sendJson(response, HTTP_SICK, {clock_ms: this.clockMs})
			return
		}
		const token = body.fencing_token ?? 0
		if (token < this.#token) {
			sendJson(response, HTTP_REFUSED, {clock_ms: this.clockMs, reason: "fence"})
			return
		}
		this.#token = token
		if (message.url === "/v1/run-start") this.#start(body, response)
		else if (message.url === "/v1/run-stop") this.#stop(body, response)
		else await this.#hold(body, response)
	}

	#start(
		{
			task,
			run_id: run,
			spec = "{}",
			until_ms: until = 0
		}: {task: string; run_id: number; spec?: string; until_ms?: number},
		response: ServerResponse
	): void {
		const refuse = (reason: string) => {
			sendJson(response, HTTP_REFUSED, {clock_ms: this.clockMs, reason})
		}
		if (this.runs.get(task)?.run === run) {
			sendJson(response, HTTP_OK, {clock_ms: this.clockMs})
			return
		}
		this.#extend(until)
		if (run <= (this.#highestRun.get(task) ?? 0)) {
			refuse("old")
			return
		}
		if (until <= this.clockMs) {
			refuse("late")
			return
		}
		this.#highestRun.set(task, run)
		const work = JSON.parse(spec) as Work
		const entry: Run = {
			task,
			run,
			work,
			startedAt: performance.now(),
			workingSince: undefined,
			isStopping: false,
			timers: []
		}
		this.runs.set(task, entry)
		this.#fleet.recordStart({task, run, runner: this.id, at: this.#fleet.journal.now})
		const members = this.#fleet.listMembers(entry)
		const size = work.gang ?? 1
		if (members.length >= size) for (const {runner, member} of members) runner.#begin(member)
		else
			entry.timers.push(
				setTimeout(() => {
					if (entry.workingSince === undefined) this.#end(entry, "alone")
				}, Bounds.gangTimeoutMs)
			)
		sendJson(response, HTTP_OK, {clock_ms: this.clockMs})
	}

	#begin(entry: Run): void {
		const {workMs, failRun, failMs} = entry.work
		entry.workingSince = performance.now()
		const isFailing = failMs !== undefined && (failRun === undefined || failRun === entry.run)
		if (isFailing)
			entry.timers.push(
				setTimeout(() => {
					this.#end(entry, "failed")
				}, failMs)
			)
		else if (workMs !== undefined)
			entry.timers.push(
				setTimeout(() => {
					this.#end(entry, "done")
				}, workMs)
			)
	}

	#stop({task, run_id: run}: {task: string; run_id: number}, response: ServerResponse): void {
		this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0))
		const entry = this.runs.get(task)
		if (entry?.run === run && !entry.isStopping) {
			entry.isStopping = true
			entry.timers.push(
				setTimeout(() => {
					this.#end(entry, "stopped")
				}, Bounds.stopMs / 2)
			)
		}
		sendJson(response, HTTP_OK, {clock_ms: this.clockMs})
	}

	async #hold(
		{
			until_ms: until,
			ack_seq: acknowledged = 0,
			wait_ms: waitMs = 0
		}: {until_ms?: number; ack_seq?: number; wait_ms?: number},
		response: ServerResponse
	): Promise<void> {
		this.#ends = this.#ends.filter(([position]) => position > acknowledged)
		if (until !== undefined) this.#extend(until)
		if (this.#ends.length === 0 && waitMs > 0) await this.#waitForEnd(waitMs)
		const running = [...this.runs.values()].map(run => [
			run.task,
			run.run,
			"",
			this.#computePercent(run),
			100
		])
		sendJson(response, HTTP_OK, {
			clock_ms: this.clockMs,
			born: this.born,
			running,
			ended_runs: this.#ends.slice(0, ENDS_LISTED_MAX)
		})
	}

	#computePercent({work, workingSince}: Run): number {
		if (workingSince === undefined) return 0
		const workedMs = performance.now() - workingSince
		if (work.workMs === undefined) return workedMs > STARTUP_MS ? 100 : 0
		return Math.min(100, Math.floor((100 * workedMs) / work.workMs))
	}

	#waitForEnd(waitMs: number): Promise<void> {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer)
				this.#waiters.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, waitMs)
			this.#waiters.add(wake)
		})
	}

	#extend(requested: number): void {
		const until = Math.min(requested, this.clockMs + Bounds.maxHoldMs)
		if (until <= this.#leaseUntil) return
		this.#leaseUntil = until
		clearTimeout(this.#leaseTimer)
		this.#leaseTimer = setTimeout(() => {
			for (const run of [...this.runs.values()]) this.#end(run, "lapsed")
		}, until - this.clockMs)
	}

	#end(entry: Run, how: string): void {
		if (this.runs.get(entry.task) !== entry) return
		this.runs.delete(entry.task)
		entry.timers.forEach(clearTimeout)
		this.#ends.push([++this.#position, entry.task, entry.run, how, ""])
		this.#fleet.recordEnd({
			task: entry.task,
			run: entry.run,
			runner: this.id,
			at: this.#fleet.journal.now,
			how
		})
		for (const wake of [...this.#waiters]) wake()
		if ((entry.work.gang ?? 1) === 1) return
		const left = how === "done" ? "done" : "broken"
		for (const {runner, member} of this.#fleet.listMembers(entry)) runner.#end(member, left)
	}
}

/** All runners of the service. */
export class Fleet {
	readonly service = "huvo11a"
	readonly store: Store
	readonly journal: Journal
	readonly runners = new Map<string, Runner>()
	readonly starts: StartEntry[] = []
	readonly ends: EndEntry[] = []

	constructor(store: Store, journal: Journal) {
		this.store = store
		this.journal = journal
	}

	async add(id: string, shape: RunnerShape): Promise<void> {
		const runner = new Runner(id, shape, this)
		this.runners.set(id, runner)
		await runner.open()
	}

	listMembers({task, run, work}: Run): {runner: Runner; member: Run}[] {
		const step = task.slice(0, task.lastIndexOf(".") + 1)
		return [...this.runners.values()].flatMap(runner =>
			[...runner.runs.values()]
				.filter(member =>
					(work.gang ?? 1) > 1
						? member.run === run && member.task.startsWith(step)
						: member.task === task && member.run === run
				)
				.map(member => ({runner, member}))
		)
	}

	recordStart(entry: StartEntry): void {
		this.starts.push(entry)
		this.journal.write(`${entry.runner} starts ${entry.task}, run ${entry.run}`)
	}

	recordEnd(entry: EndEntry): void {
		this.ends.push(entry)
		this.journal.write(`${entry.runner} ends ${entry.task}, run ${entry.run}: ${entry.how}`)
	}

	isRunning(task: string): boolean {
		return [...this.runners.values()].some(({runs}) => runs.has(task))
	}

	close(): void {
		for (const runner of this.runners.values()) runner.close()
	}
}

export interface Machine {
	readonly name: string
	readonly zone: string
	readonly ip: string
	readonly port: number
	readonly readyPort: number
	readonly process: ChildProcess
}

export interface Answer {
	/** 0 without an answer. */
	readonly status: number
	readonly body: string
}

export interface CallOptions {
	/** Empty for a call without a key. */
	readonly key: string
	readonly body?: unknown
	/** How long the client waits; it then leaves and closes its connection. */
	readonly waitMs?: number
}

/** `X-Deadline-Ms` of the sheet. */
const DEADLINE_MS = 3000

export const HOST = "nony24.example"

/** A client's call, on a new connection. */
export function call(
	{ip, port}: Machine,
	method: string,
	path: string,
	{key, body, waitMs = DEADLINE_MS}: CallOptions
): Promise<Answer> {
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body)
		const headers = {
			host: HOST,
			"x-deadline-ms": `${DEADLINE_MS}`,
			...(key !== "" && {authorization: `Bearer ${key}`}),
			...(text !== undefined && {
				"content-type": "application/json",
				"content-length": Buffer.byteLength(text)
			})
		}
		const sent = request({host: ip, port, method, path, headers, agent: false}, response => {
			void readBody(response).then(
				read => {
					clearTimeout(timer)
					resolve({status: response.statusCode ?? 0, body: read})
				},
				() => {
					resolve({status: 0, body: "broken"})
				}
			)
		})
		const timer = setTimeout(() => {
			resolve({status: 0, body: "left"})
			sent.destroy()
		}, waitMs)
		sent.on("error", () => {
			clearTimeout(timer)
			resolve({status: 0, body: "no connection"})
		})
		sent.end(text)
	})
}

const ZONES = ["nairobi-a", "mombasa-a", "kisumu-a"] as const

/** A small deployment. */
export class Rig {
	readonly journal: Journal
	readonly store = new Store()
	readonly fleet: Fleet
	readonly machines: Machine[] = []
	readonly #folder = mkdtempSync(join(tmpdir(), "review-3-"))
	/** Second byte of the machines' addresses, so that scripts don't share the fixed port of the metrics. */
	readonly #net = 1 + (process.pid % 250)

	constructor(folder: string) {
		this.journal = new Journal(folder)
		this.fleet = new Fleet(this.store, this.journal)
	}

	get isTroubled(): boolean {
		return process.env.TROUBLE !== "0"
	}

	/** Starts machines in turn over the zones, and waits until all are ready. */
	async startMachines(count: number): Promise<void> {
		for (let index = 0; index < count; index++) await this.#startMachine(index)
		const areReady = await waitFor(async () => {
			const answers = await Promise.all(this.machines.map(machine => checkReady(machine)))
			return answers.every(Boolean)
		}, START_MAX_MS)
		if (!areReady) throw new Error("the machines did not become ready")
		this.journal.write(`${count} machines are ready`)
	}

	/** The machine that wrote to the store under a condition last, and the others. */
	findHolder(): {holder: Machine; others: Machine[]} {
		const byTime = [...this.machines].sort(
			(a, b) => (this.store.wroteAt.get(b.name) ?? 0) - (this.store.wroteAt.get(a.name) ?? 0)
		)
		const [holder, ...others] = byTime
		if (holder === undefined) throw new Error("there are no machines")
		return {holder, others}
	}

	async close(): Promise<void> {
		for (const {process: child} of this.machines) child.kill("SIGKILL")
		await Promise.all(this.machines.map(({process: child}) => waitForExit(child)))
		this.fleet.close()
		this.store.close()
		rmSync(this.#folder, {recursive: true, force: true})
	}

	async #startMachine(index: number): Promise<void> {
		const zone = ZONES[index % ZONES.length] ?? ZONES[0]
		const name = `frontend-${zone}-${1 + Math.floor(index / ZONES.length)}`
		const ip = `127.${this.#net}.${1 + (Math.floor(process.pid / 250) % 250)}.${index + 1}`
		const [port, readyPort, storePort] = await Promise.all([
			findFreePort(ip),
			findFreePort(ip),
			this.store.open(name)
		])
		const settings: Record<string, string> = {
			node_name: name,
			zone,
			region: zone.slice(0, -2),
			ip,
			"listen_addrs.front": `${ip}:${port}`,
			"listen_addrs.ready_addr": `${ip}:${readyPort}`,
			"internal_ports.0": "7000",
			"platform.address": `${LOOPBACK}:${storePort}`,
			"limits.max_fds": "4100",
			"limits.memory_mb": "350",
			"limits.cores": "1",
			"limits.cpu_share": "0.675",
			"bounds.revoke_ms": `${Bounds.revokeMs}`,
			"bounds.stop_ms": `${Bounds.stopMs}`,
			"bounds.max_hold_ms": `${Bounds.maxHoldMs}`,
			"bounds.restore_ms": "250",
			"bounds.remote_factor": "3"
		}
		const template = readFileSync("deploy/settings.yaml", "utf8")
		const text = template.replace(/\{\{([^}]+)\}\}/g, (_, field: string) => settings[field] ?? "")
		const path = join(this.#folder, `${name}.yaml`)
		writeFileSync(path, text)
		const run = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1]
		const [command = "node", ...args] = (run ?? "").split(" ")
		const log = openSync(join(this.#folder, `${name}.log`), "a")
		const child = spawn(command, args, {
			stdio: ["ignore", log, log],
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CARDAMOMHOOK_SETTINGS: path}
		})
		this.machines.push({name, zone, ip, port, readyPort, process: child})
	}
}

async function waitForExit(child: ChildProcess): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) return
	await new Promise(resolve => child.once("exit", resolve))
}

async function checkReady({ip, readyPort}: Machine): Promise<boolean> {
	return new Promise(resolve => {
		const sent = request({host: ip, port: readyPort, path: "/v1/ready", agent: false}, response => {
			response.resume()
			resolve(response.statusCode === HTTP_OK)
		})
		sent.on("error", () => {
			resolve(false)
		})
		sent.end()
	})
}

/** Runs a script and ends the process with its exit code. */
export async function runScript(
	folder: string,
	script: (rig: Rig) => Promise<ExitCode>
): Promise<void> {
	const rig = new Rig(folder)
	let code: ExitCode = ExitCode.notRun
	const timeOut = pause(SCRIPT_MAX_MS).then(() => {
		throw new Error("the script took too long")
	})
	const onSignal = () => {
		void rig.close().then(() => process.exit(ExitCode.notRun))
	}
	process.once("SIGINT", onSignal)
	process.once("SIGTERM", onSignal)
	try {
		code = await Promise.race([script(rig), timeOut])
	} catch (error) {
		rig.journal.write(`could not run: ${error instanceof Error ? error.message : String(error)}`)
	}
	const words = {
		[ExitCode.held]: "the rule held",
		[ExitCode.broken]: "the rule was broken",
		[ExitCode.notRun]: "not run"
	}
	rig.journal.write(`exit ${code}: ${words[code]}`)
	await rig.close()
	process.exit(code)
}

/** The configuration: one service and three queues, each with its priority in its path. */
export function buildConfig(
	service: string,
	tenants: readonly {name: string; key: string; gpu: number}[]
) {
	const routes = [
		{
			name: "r-urgent",
			path_prefix: "/urgent/",
			target_latency_ms: 400,
			priority: 0,
			max_attempts: 2,
			stretch: 1.5
		},
		{
			name: "r-trace",
			path_prefix: "/trace/",
			target_latency_ms: 1200,
			priority: 1,
			max_attempts: 3,
			stretch: 3
		},
		{
			name: "r-sort",
			path_prefix: "/sort/",
			target_latency_ms: 3000,
			priority: 2,
			max_attempts: 4,
			stretch: 3
		}
	]
	return {
		version: 7,
		routes: routes.map(route => ({
			...route,
			host: HOST,
			kind: "non_idempotent",
			timeout_ms: DEADLINE_MS,
			service,
			public: false,
			allowed_regions: []
		})),
		services: [
			{
				name: service,
				health_path: "/health",
				max_connections: 64,
				protocol: "h1",
				tls: false,
				cold_start_s: 0,
				cold_per_s: 0,
				admission_check: false,
				standby: false
			}
		],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 262_144,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000
		},
		tenants: tenants.map(({name, key, gpu}) => ({
			name,
			api_keys: [key],
			priority: 1,
			guaranteed: {gpu},
			allowed_regions: []
		}))
	}
}
