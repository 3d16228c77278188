/**
 * Rig of the second review: daemons of the platform as separate processes, in front of a store and workers that run in
 * the process of the case. Every address is a loopback address, and every process that is started is ended.
 */
import {type ChildProcess, spawn} from "node:child_process"
import {appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync} from "node:fs"
import {type AddressInfo, createServer} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {type HttpBindings, createAdaptorServer} from "@hono/node-server"
import {Hono} from "hono"
import {Agent, request} from "undici"
import {SystemClock} from "../src/internal.js"
import {createFleetApp} from "../standins/fleet/app.js"
import {FleetStandIn, STORE_TARGET} from "../standins/fleet/fleet.js"
import {type EndRecord, FleetMonitor} from "../standins/fleet/worker.js"

export const EXIT_HELD = 0
export const EXIT_BROKEN = 1
export const EXIT_FAILED = 2
/** False if the case plays without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0"

const PROGRAM = "target/cardamomhook-platform.mjs"
const TEMPLATE = "deploy/settings.yaml"
const HEARTBEAT_MS = 1500
/** Three ping intervals of silence, after which a runner's entry is removed. */
const ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS
/** Time that a call to the store takes, and that a transaction occupies its part. */
const STORE_ANSWER_MS = 4
const TRANSACTION_MS = 1000 / 150
const TRANSACTION_QUEUE_MAX_MS = 1000
const HTTP_TOO_MANY = 429
const CLIENT_TIMEOUT_MS = 3000
const ZONES = ["nairobi-a", "mombasa-a", "kisumu-a"]
/** Loopback network of this process, so that cases may run beside each other. */
const NETWORK = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`

export const QUEUE_HOST = "site.example"
export const API_KEY = "key-of-the-tenant"

export function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms)
	})
}

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export class CaseRecord {
	readonly #path: string
	readonly #startedAt = performance.now()

	constructor(folder: string) {
		this.#path = join(folder, "record.txt")
		writeFileSync(this.#path, "")
	}

	get now(): number {
		return Math.round(performance.now() - this.#startedAt)
	}

	add(text: string): void {
		appendFileSync(this.#path, `${String(this.now).padStart(7)} ms  ${text}\n`)
	}
}

/** Records every start, end and acknowledgement that the workers see. */
class RecordingMonitor extends FleetMonitor {
	readonly failed: EndRecord[] = []
	readonly #record: CaseRecord

	constructor(record: CaseRecord) {
		super()
		this.#record = record
	}

	override recordStart(...start: Parameters<FleetMonitor["recordStart"]>): void {
		const [task, run, worker] = start
		super.recordStart(...start)
		this.#record.add(`worker ${worker} begins task ${task} run ${run}`)
	}

	override recordEnd(end: EndRecord): void {
		super.recordEnd(end)
		if (end.outcome === "failed") this.failed.push(end)
		this.#record.add(`worker ${end.worker} ended task ${end.task} run ${end.run}: ${end.outcome}`)
	}

	override recordAcknowledged(ends: readonly EndRecord[]): void {
		super.recordAcknowledged(ends)
		for (const {worker, task, run, outcome, position} of ends)
			this.#record.add(
				`worker ${worker}: end ${position} of task ${task} run ${run} (${outcome}) is taken note of`
			)
	}
}

/** Decides what becomes of an order to a worker. */
export const OrderFate = {
	answered: "answered",
	/** Carried out at once, and not answered. */
	unanswered: "unanswered",
	/** Carried out seconds later, and not answered. */
	late: "late"
} as const
export type OrderFate = (typeof OrderFate)[keyof typeof OrderFate]

export interface Order {
	readonly worker: string
	readonly kind: "start" | "stop"
	readonly task: string
	readonly run: number
}

/** Delay of orders that are carried out late, the shortest that the pages name. */
const LATE_ORDER_MS = 2000

type App = Hono<{Bindings: HttpBindings}>

function serveApp(app: App): Promise<number> {
	const server = createAdaptorServer({fetch: app.fetch})
	return new Promise(resolve => {
		server.listen(0, "127.0.0.1", () => {
			resolve((server.address() as AddressInfo).port)
		})
	})
}

export class Site {
	readonly record: CaseRecord
	readonly monitor: RecordingMonitor
	readonly fleet: FleetStandIn
	readonly hosts: HostProcess[] = []
	decideOrder: (order: Order) => OrderFate = () => OrderFate.answered
	#storeUrl = ""
	#partFreeAt = 0
	readonly #folder = mkdtempSync(join(tmpdir(), "review-2-"))
	readonly #heartbeats: NodeJS.Timeout[] = []
	readonly #silent = new Set<string>()
	readonly #restarts: NodeJS.Timeout[] = []
	readonly #keptLogs: boolean

	constructor(record: CaseRecord) {
		this.record = record
		this.monitor = new RecordingMonitor(record)
		this.fleet = new FleetStandIn(new SystemClock(), this.monitor)
		this.#keptLogs = process.env.KEEP_LOGS === "1"
	}

	async startStore(config: unknown): Promise<void> {
		const app: App = new Hono()
		app.use(async (context, next) => {
			let waitMs = STORE_ANSWER_MS
			if (context.req.path === "/v1/rows-tx") {
				this.#partFreeAt = Math.max(this.#partFreeAt, performance.now()) + TRANSACTION_MS
				waitMs += this.#partFreeAt - performance.now()
			}
			if (waitMs > TRANSACTION_QUEUE_MAX_MS) return context.json({}, HTTP_TOO_MANY)
			await pause(waitMs)
			await next()
			return undefined
		})
		app.route("/", createFleetApp(this.fleet, STORE_TARGET))
		this.#storeUrl = `http://127.0.0.1:${await serveApp(app)}`
		this.writeConfig(config)
	}

	writeConfig(config: unknown): void {
		this.fleet.store.putRow("op", "config", config)
		this.record.add("the operator wrote a configuration")
	}

	async addWorkers(count: number, cpu = 32000, gpu = 8): Promise<void> {
		for (let index = 0; index < count; index++) {
			const id = `runner-${index}`
			const app: App = new Hono()
			app.use(async (context, next) => {
				// Nothing reaches the runner, and nothing comes back.
				if (this.#silent.has(id)) return new Promise<Response>(() => undefined)
				const kind = /^\/v1\/run-(start|stop)$/.exec(context.req.path)?.[1]
				if (kind !== "start" && kind !== "stop") {
					await next()
					return undefined
				}
				const body = await context.req.json<{task: string; run_id: number}>()
				const order: Order = {worker: id, kind, task: body.task, run: body.run_id}
				const fate = this.decideOrder(order)
				this.record.add(`order to ${id}: ${kind} task ${order.task} run ${order.run} (${fate})`)
				if (fate === OrderFate.late) await pause(LATE_ORDER_MS)
				await next()
				if (fate !== OrderFate.answered) return new Promise<Response>(() => undefined)
				return undefined
			})
			app.route("/", createFleetApp(this.fleet, id))
			const address = `127.0.0.1:${await serveApp(app)}`
			const zone = ZONES[index % ZONES.length] ?? ""
			this.fleet.addWorker(id, {
				zone,
				rack: `${zone}-r0`,
				service: "barua-trace",
				address,
				capacity: {cpuMillis: cpu, memoryMb: 131072, accelerators: gpu}
			})
			this.#heartbeats.push(
				setInterval(() => {
					if (!this.#silent.has(id)) this.fleet.register(id)
				}, HEARTBEAT_MS)
			)
		}
	}

	/** Takes the runner's power: it runs nothing more, and calls to it hang. */
	silence(worker: string): void {
		this.record.add(`${worker} loses power`)
		this.#silent.add(worker)
		this.fleet.workers.get(worker)?.crash()
		setTimeout(() => {
			this.fleet.store.deleteRow("servers", worker)
		}, ENTRY_EXPIRY_MS)
	}

	/** Restarts each process that ends by itself, after a delay, as the platform does. */
	restartEnded(delayMs: number): void {
		for (const host of this.hosts)
			host.onOwnEnd = () => {
				this.#restarts.push(
					setTimeout(() => {
						host.start()
					}, delayMs)
				)
			}
	}

	async startHosts(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			const host = new HostProcess(index, this.#storeUrl, this.#folder, this.record)
			await host.prepare()
			this.hosts.push(host)
			host.start()
		}
		await waitFor("all hosts are ready", 20000, async () => {
			const ready = await Promise.all(this.hosts.map(host => host.isReady()))
			return ready.every(Boolean)
		})
	}

	/** The host that the store names as holder of the domain. */
	findHolder(): HostProcess | undefined {
		const {rows} = this.fleet.store.readRange("zone", "main", "fleet/holder", "fleet/holder~", 1)
		const text = Buffer.from(rows[0]?.value ?? "", "base64").toString()
		const {holder} = (text === "" ? {} : JSON.parse(text)) as {holder?: string}
		return this.hosts.find(({id}) => id === holder)
	}

	async waitForHolder(): Promise<HostProcess> {
		await waitFor("a host holds the domain", 10000, () => this.findHolder() !== undefined)
		const holder = this.findHolder()
		if (holder === undefined) throw new Error("no holder")
		return holder
	}

	close(): void {
		for (const heartbeat of this.#heartbeats) clearInterval(heartbeat)
		for (const restart of this.#restarts) clearTimeout(restart)
		for (const host of this.hosts) host.kill()
		if (this.#keptLogs) process.stdout.write(`logs in ${this.#folder}\n`)
		else rmSync(this.#folder, {recursive: true, force: true})
	}
}

export async function waitFor(
	what: string,
	timeoutMs: number,
	check: () => boolean | Promise<boolean>
): Promise<void> {
	const until = performance.now() + timeoutMs
	while (!(await check())) {
		if (performance.now() > until) throw new Error(`not in ${timeoutMs} ms: ${what}`)
		await pause(20)
	}
}

function findFreePort(host: string): Promise<number> {
	return new Promise((resolve, reject) => {
		const server = createServer()
		server.once("error", reject)
		server.listen(0, host, () => {
			const {port} = server.address() as AddressInfo
			server.close(() => {
				resolve(port)
			})
		})
	})
}

export interface ClientAnswer {
	/** 0 if the connection ended, or the time limit passed, without an answer. */
	readonly status: number
	readonly text: string
	readonly error: string
}

/** One process of the daemon, started as the deploy file says. */
export class HostProcess {
	readonly id: string
	readonly ip: string
	/** Times at which the process ended without having been told to, with the exit code or the signal. */
	readonly ownEnds: string[] = []
	onOwnEnd: () => void = () => undefined
	frontPort = 0
	#readyPort = 0
	readonly #storeUrl: string
	readonly #folder: string
	readonly #record: CaseRecord
	#child: ChildProcess | undefined
	readonly #agent = new Agent({connections: 256, pipelining: 1})

	constructor(index: number, storeUrl: string, folder: string, record: CaseRecord) {
		this.id = `host-${index}`
		this.ip = `${NETWORK}.${index + 1}`
		this.#storeUrl = storeUrl
		this.#folder = folder
		this.#record = record
	}

	get isRunning(): boolean {
		return this.#child !== undefined
	}

	get logPath(): string {
		return join(this.#folder, `${this.id}.log`)
	}

	readLog(): string {
		return readFileSync(this.logPath, "utf8")
	}

	async prepare(): Promise<void> {
		this.frontPort = await findFreePort(this.ip)
		this.#readyPort = await findFreePort(this.ip)
		const zone = ZONES[(Number(this.id.slice(5)) || 0) % ZONES.length] ?? ""
		const values: Readonly<Record<string, string | number>> = {
			node_name: this.id,
			zone,
			region: zone.replace(/-a$/, ""),
			"listen_addrs.front": `${this.ip}:${this.frontPort}`,
			"listen_addrs.ready_addr": `${this.ip}:${this.#readyPort}`,
			"internal_ports.0": 7000,
			ip: this.ip,
			"platform.address": this.#storeUrl.replace("http://", ""),
			"bounds.revoke_ms": 5000,
			"bounds.stop_ms": 200,
			"bounds.max_hold_ms": 10000,
			"bounds.remote_factor": 3,
			"limits.cores": 1,
			"limits.cpu_share": 0.675
		}
		const text = readFileSync(TEMPLATE, "utf8").replace(
			/{{(.*?)}}/g,
			(_, name: string) => `${values[name] ?? ""}`
		)
		writeFileSync(join(this.#folder, `${this.id}.yaml`), text)
	}

	start(): void {
		const log = openSync(this.logPath, "a")
		const child = spawn(process.execPath, ["--max-old-space-size=200", PROGRAM], {
			stdio: ["ignore", log, log],
			env: {
				PATH: process.env.PATH,
				CARDAMOMHOOK_SETTINGS: join(this.#folder, `${this.id}.yaml`)
			}
		})
		this.#child = child
		this.#record.add(`${this.id} is started`)
		child.once("exit", (code, signal) => {
			if (this.#child !== child) return
			this.#child = undefined
			this.ownEnds.push(`${code ?? signal ?? ""}`)
			this.#record.add(`${this.id} ended: ${code ?? signal ?? ""}`)
			this.onOwnEnd()
		})
	}

	signal(name: NodeJS.Signals): void {
		this.#record.add(`${this.id} gets ${name}`)
		this.#child?.kill(name)
	}

	kill(): void {
		const child = this.#child
		this.#child = undefined
		if (child === undefined) return
		this.#record.add(`${this.id} is killed`)
		child.kill("SIGCONT")
		child.kill("SIGKILL")
	}

	async isReady(): Promise<boolean> {
		try {
			const answer = await request(`http://${this.ip}:${this.#readyPort}/v1/ready`, {
				signal: AbortSignal.timeout(1000)
			})
			await answer.body.dump()
			return answer.statusCode === 200
		} catch {
			return false
		}
	}

	/** Sends one request of a client. */
	async call(
		method: "GET" | "POST" | "DELETE",
		path: string,
		body?: unknown
	): Promise<ClientAnswer> {
		const sentAt = this.#record.now
		let answer: ClientAnswer
		try {
			const {statusCode, body: answerBody} = await request(
				`http://${this.ip}:${this.frontPort}${path}`,
				{
					method,
					dispatcher: this.#agent,
					headers: {
						host: QUEUE_HOST,
						authorization: `Bearer ${API_KEY}`,
						"content-type": "application/json",
						"x-deadline-ms": `${CLIENT_TIMEOUT_MS}`
					},
					body: body === undefined ? null : JSON.stringify(body),
					signal: AbortSignal.timeout(CLIENT_TIMEOUT_MS)
				}
			)
			answer = {status: statusCode, text: await answerBody.text(), error: ""}
		} catch (error) {
			answer = {status: 0, text: "", error: error instanceof Error ? error.message : String(error)}
		}
		const outcome = answer.status === 0 ? `no answer: ${answer.error}` : `${answer.status}`
		this.#record.add(
			`client, sent at ${sentAt} ms to ${this.id}: ${method} ${path} -> ${outcome} ${answer.text}`
		)
		return answer
	}
}

export interface QueueOptions {
	readonly name: string
	readonly priority: number
	readonly attempts: number
}

export function createConfig(version: number, queues: readonly QueueOptions[]) {
	return {
		version,
		routes: queues.map(({name, priority, attempts}) => ({
			name,
			host: QUEUE_HOST,
			path_prefix: `/${name}/`,
			service: "barua-trace",
			priority,
			max_attempts: attempts,
			stretch: 3,
			target_latency_ms: 1000
		})),
		services: [{name: "barua-trace"}],
		limits: {max_body_bytes: 262144},
		tenants: [{name: "tenant", api_keys: [API_KEY], guaranteed: {gpu: 0}}]
	}
}

/** Plays a case and exits with 1 if it returns true: the rule was broken. */
export async function runCase(
	folder: string,
	play: (site: Site) => Promise<boolean>
): Promise<never> {
	const record = new CaseRecord(folder)
	record.add(HAS_TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)")
	const site = new Site(record)
	let code: number = EXIT_FAILED
	try {
		code = (await play(site)) ? EXIT_BROKEN : EXIT_HELD
		record.add(code === EXIT_BROKEN ? "the rule was broken" : "the rule was held")
	} catch (error) {
		record.add(
			`the case could not run: ${error instanceof Error ? (error.stack ?? "") : String(error)}`
		)
	}
	site.close()
	process.exit(code)
}
