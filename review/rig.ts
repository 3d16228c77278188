/**
 * Runs the platform's daemons as processes against stand-ins of the store and of the workers, all on loopback and on
 * the real clock. Everything that is sent, answered and run goes into the case's record.
 */
import {type ChildProcess, spawn} from "node:child_process"
import {closeSync, mkdtempSync, openSync, rmSync, writeFileSync, writeSync} from "node:fs"
import {
	type IncomingMessage,
	type Server,
	type ServerResponse,
	createServer,
	request
} from "node:http"
import {type AddressInfo, type Socket, createServer as createSocketServer} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {type HttpAnswer} from "../src/adapters/http-client.js"
import {SystemClock} from "../src/internal.js"
import {type FleetCall, FleetStandIn, STORE_TARGET} from "../standins/fleet/fleet.js"

export const LOOPBACK = "127.0.0.1"
export const HOST_NAME = "queue.example"
export const KEY = "key-of-the-office"
export const BATCH = "/batch/"

const ZONES = ["zone-a", "zone-b", "zone-c"]
const HEARTBEAT_MS = 1500
/** Limits of one transaction of the platform's store. */
const ENTRIES_MAX = 100
const CALL_BYTES_MAX = 1_000_000
const ROW_BYTES_MAX = 65536
/** Number of ended runs that a worker lists at a time; the others follow once these are acknowledged. */
const ENDS_LISTED_MAX = 500
/** A case that has not finished by then could not run. */
const CASE_MAX_MS = 115000
const HTTP_UNAVAILABLE = 503

export const EXIT_HELD = 0
export const EXIT_BROKEN = 1
export const EXIT_NOT_RUN = 2

export interface Answer {
	readonly status: number
	readonly body: Readonly<Record<string, unknown>>
}

/** Whether the worker's machine has no power, and which of its connections belong to an earlier life. */
interface Power {
	isDark: boolean
	readonly open: Set<Socket>
	readonly stale: Set<Socket>
	/** Stale connections on which something arrived while the machine had no power. */
	readonly unanswered: Set<Socket>
}

export function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}

export function hasTrouble(): boolean {
	return process.env.TROUBLE !== "0"
}

export class Rig {
	readonly fleet: FleetStandIn
	readonly startedAt = Date.now()
	readonly #temporary = mkdtempSync(join(tmpdir(), "review-"))
	readonly #recordFile: number
	readonly #servers: Server[] = []
	readonly #daemons: ChildProcess[] = []
	readonly #ports: number[] = []
	readonly #powers = new Map<string, Power>()
	readonly #workers: string[] = []
	readonly #seenEnds = new Set<string>()
	#storePort = 0
	#isStoreDown = false
	#heartbeat: NodeJS.Timeout | undefined

	constructor(folder: string) {
		this.#recordFile = openSync(join(folder, "record.txt"), "w")
		this.fleet = new FleetStandIn(new SystemClock())
		this.record(`trouble: ${hasTrouble() ? "yes" : "no"}`)
		process.on("exit", () => {
			this.#killDaemons()
		})
		for (const signal of ["SIGTERM", "SIGINT"])
			process.on(signal, () => {
				process.exit(EXIT_NOT_RUN)
			})
		setTimeout(() => {
			this.finish(EXIT_NOT_RUN, "it took too long")
		}, CASE_MAX_MS).unref()
	}

	record(line: string): void {
		const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3)
		writeSync(this.#recordFile, `${seconds.padStart(8)} ${line}\n`)
	}

	async startStore(): Promise<void> {
		const buildRoute = (name: string, prefix: string, priority: number, stretch: number) => ({
			name,
			host: HOST_NAME,
			path_prefix: prefix,
			service: "trace",
			priority,
			max_attempts: 3,
			stretch,
			target_latency_ms: 400
		})
		this.fleet.store.putRow("op", "config", {
			version: 1,
			routes: [buildRoute("urgent", "/urgent/", 0, 1.5), buildRoute("batch", BATCH, 2, 3)],
			services: [{name: "trace", admission_check: false}],
			limits: {max_body_bytes: 262144},
			tenants: [{name: "office", api_keys: [KEY], guaranteed: {gpu: 16}}]
		})
		this.#storePort = await this.#listen(STORE_TARGET)
	}

	/** While it is down, the store answers each call with 503 and does nothing. */
	setStoreDown(isDown: boolean): void {
		this.#isStoreDown = isDown
		this.record(isDown ? "store down" : "store up")
	}

	async addWorker(id: string, stopMs: number): Promise<void> {
		this.#powers.set(id, {
			isDark: false,
			open: new Set(),
			stale: new Set(),
			unanswered: new Set()
		})
		const port = await this.#listen(id)
		const zone = ZONES[this.#workers.length % ZONES.length] ?? "zone-a"
		const rack = `rack-${Math.floor(this.#workers.length / 8)}`
		const worker = this.fleet.addWorker(id, {address: `${LOOPBACK}:${port}`, zone, rack})
		Object.defineProperty(worker, "stopMs", {value: stopMs})
		this.#workers.push(id)
		this.#heartbeat ??= setInterval(() => {
			for (const name of this.#workers)
				if (this.#powers.get(name)?.isDark !== true) this.fleet.register(name)
		}, HEARTBEAT_MS)
	}

	/** The worker's machine loses power: it answers nothing, and its runs are gone. */
	cutPower(id: string): void {
		const power = this.#powers.get(id)
		if (power === undefined) return
		power.isDark = true
		for (const socket of power.open) power.stale.add(socket)
		this.fleet.workers.get(id)?.restart()
		this.record(`power lost: ${id}`)
	}

	/** The worker starts again under its id, with nothing of before. */
	restorePower(id: string): void {
		const power = this.#powers.get(id)
		if (power === undefined) return
		power.isDark = false
		this.fleet.workers.get(id)?.restart()
		this.fleet.register(id)
		this.record(`power back, new boot under the same id: ${id}`)
		// The new boot resets the connections of the old one once something arrives on them again.
		for (const socket of power.unanswered) socket.resetAndDestroy()
		power.unanswered.clear()
	}

	async startDaemons(count: number, stopMs: number): Promise<void> {
		for (let index = 0; index < count; index++) await this.#startDaemon(index, stopMs)
		for (const port of this.#ports) await this.#waitUntilServing(port)
	}

	/** Sends a caller's request to one daemon and records it with its answer. */
	async call(
		daemon: number,
		method: "GET" | "POST" | "DELETE",
		path: string,
		body?: unknown
	): Promise<Answer> {
		const answer = await sendCall(this.#ports[daemon % this.#ports.length] ?? 0, method, path, body)
		this.record(`caller: ${method} ${path} -> ${answer.status} ${JSON.stringify(answer.body)}`)
		return answer
	}

	/** True if a daemon has ended by itself. */
	hasLostDaemon(): boolean {
		return this.#daemons.some(({exitCode, signalCode}) => exitCode !== null || signalCode !== null)
	}

	/** Ends everything that the rig has started, and the process with this code. */
	finish(code: number, reason: string): never {
		const outcomes = ["the rule was kept", "the rule was broken", "the case could not run"]
		this.record(`${outcomes[code] ?? ""}: ${reason}`)
		process.stdout.write(`${outcomes[code] ?? ""}: ${reason}\n`)
		clearInterval(this.#heartbeat)
		this.#killDaemons()
		for (const server of this.#servers) server.closeAllConnections()
		closeSync(this.#recordFile)
		rmSync(this.#temporary, {recursive: true, force: true})
		process.exit(code)
	}

	#killDaemons(): void {
		for (const daemon of this.#daemons) daemon.kill("SIGKILL")
	}

	async #startDaemon(index: number, stopMs: number): Promise<void> {
		const zone = ZONES[index % ZONES.length] ?? "zone-a"
		const [port, readiness, metrics, peer] = await findPorts(4)
		// The fields of deploy/settings.yaml, filled in as for a machine of a small deployment.
		const settings = [
			`hostId: frontend-${zone}-${index + 1}`,
			`zone: ${zone}`,
			`region: region-${zone}`,
			`callerAddress: ${LOOPBACK}:${port}`,
			`peerAddress: ${LOOPBACK}:${peer}`,
			`platformUrl: http://${LOOPBACK}:${this.#storePort}`,
			"bundleKeys: {}",
			"peerSecrets: [unused-in-a-domain]",
			"shutdownTimeoutMs: 4500",
			"domain:",
			"  name: fleet",
			`  readinessAddress: ${LOOPBACK}:${readiness}`,
			`  metricsAddress: ${LOOPBACK}:${metrics}`,
			"  revokeMs: 5000",
			`  stopMs: ${stopMs}`,
			"  workerLeaseMaxMs: 10000",
			"  stateKeptMs: 180000",
			"  remoteFactor: 3",
			"  cores: 1",
			"  coreShare: 0.675"
		]
		const path = join(this.#temporary, `settings-${index}.yaml`)
		writeFileSync(path, `${settings.join("\n")}\n`)
		const log = openSync(
			join(process.env.REVIEW_LOGS ?? this.#temporary, `daemon-${index}.log`),
			"w"
		)
		const daemon = spawn("node", ["--max-old-space-size=200", "target/cardamomhook-platform.mjs"], {
			env: {...process.env, CARDAMOMHOOK_SETTINGS: path},
			stdio: ["ignore", log, log]
		})
		closeSync(log)
		this.#daemons.push(daemon)
		this.#ports.push(port ?? 0)
		this.record(`daemon ${index} started in ${zone}`)
	}

	async #waitUntilServing(port: number): Promise<void> {
		for (let tries = 0; tries < 100; tries++) {
			const answer = await sendCall(port, "GET", BATCH).catch(() => undefined)
			if (answer?.status === 200) return
			await sleep(100)
		}
		this.finish(EXIT_NOT_RUN, "a daemon does not serve")
	}

	#listen(target: string): Promise<number> {
		const server = createServer((incoming, response) => {
			void this.#handle(target, incoming, response)
		})
		server.keepAliveTimeout = 60000
		const power = this.#powers.get(target)
		if (power !== undefined)
			server.on("connection", (socket: Socket) => {
				power.open.add(socket)
				// Nobody completes the connection while the machine has no power.
				if (power.isDark) power.stale.add(socket)
				socket.on("close", () => {
					power.open.delete(socket)
					power.stale.delete(socket)
					power.unanswered.delete(socket)
				})
				socket.on("error", () => undefined)
			})
		this.#servers.push(server)
		return new Promise(resolve => {
			server.listen(0, LOOPBACK, () => {
				resolve((server.address() as AddressInfo).port)
			})
		})
	}

	async #handle(
		target: string,
		incoming: IncomingMessage,
		response: ServerResponse
	): Promise<void> {
		const {socket} = incoming
		const power = this.#powers.get(target)
		if (power?.stale.has(socket) === true) {
			if (!power.isDark) socket.resetAndDestroy()
			else if (socket.bytesWritten > 0) power.unanswered.add(socket)
			return
		}
		const text = await readText(incoming)
		const url = new URL(incoming.url ?? "/", `http://${LOOPBACK}`)
		const call: FleetCall = {
			method: incoming.method ?? "GET",
			target,
			path: url.pathname,
			query: url.searchParams,
			headers: {"x-expect-instance": readHeader(incoming, "x-expect-instance")},
			body: text === "" ? undefined : (JSON.parse(text) as unknown)
		}
		const problem = target === STORE_TARGET ? findExcess(call, text) : undefined
		const answer = await this.#answer(call, problem)
		this.#recordCall(call, answer, problem)
		if (power?.stale.has(socket) === true) return
		response.writeHead(answer.status, {"content-type": "application/json"})
		response.end(JSON.stringify(answer.body ?? {}))
	}

	async #answer(call: FleetCall, problem: string | undefined): Promise<HttpAnswer> {
		if (call.target === STORE_TARGET && this.#isStoreDown)
			return {status: HTTP_UNAVAILABLE, body: {}}
		if (problem !== undefined) return {status: 400, body: {error: problem}}
		const answer = await this.fleet.handle(call)
		const body = answer.body as {ended_runs?: readonly unknown[]} | undefined
		if (body?.ended_runs === undefined) return answer
		return {...answer, body: {...body, ended_runs: body.ended_runs.slice(0, ENDS_LISTED_MAX)}}
	}

	#recordCall(call: FleetCall, answer: {status: number; body: unknown}, problem?: string): void {
		if (problem !== undefined) this.record(`store: ${call.path} -> 400 ${problem}`)
		if (call.path === "/v1/run-start" || call.path === "/v1/run-stop") {
			const {task, run_id} = call.body as {task: string; run_id: number}
			this.record(`${call.target}: ${call.path} ${task} run ${run_id} -> ${answer.status}`)
		}
		if (call.path !== "/v1/hold") return
		const {ended_runs: ends = []} = answer.body as {ended_runs?: (string | number)[][]}
		const born = this.fleet.workers.get(call.target)?.born ?? 0
		for (const [position, task, run, how] of ends) {
			const key = `${call.target} ${born} ${position}`
			if (this.#seenEnds.has(key)) continue
			this.#seenEnds.add(key)
			this.record(`${call.target}: lists the end of ${task} run ${run}: ${how}`)
		}
	}
}

/** What makes the store refuse a transaction; undefined if it is within its limits. */
function findExcess({path, body}: FleetCall, text: string): string | undefined {
	if (path !== "/v1/rows-tx") return undefined
	const {
		precondition = [],
		put = [],
		delete: deletions = []
	} = body as {precondition?: unknown[]; put?: {value: string}[]; delete?: unknown[]}
	const entries = precondition.length + put.length + deletions.length
	if (entries > ENTRIES_MAX) return `${entries} entries in one call, at most ${ENTRIES_MAX}`
	if (Buffer.byteLength(text) > CALL_BYTES_MAX) return "more than 1 MB in one call"
	const isLarge = put.some(({value}) => Buffer.from(value, "base64").length > ROW_BYTES_MAX)
	return isLarge ? `a row of more than ${ROW_BYTES_MAX} bytes` : undefined
}

function readHeader({headers}: IncomingMessage, name: string): string {
	const value = headers[name]
	return typeof value === "string" ? value : ""
}

async function readText(incoming: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = []
	for await (const chunk of incoming) chunks.push(chunk as Buffer)
	return Buffer.concat(chunks).toString()
}

function sendCall(
	port: number,
	method: "GET" | "POST" | "DELETE",
	path: string,
	body?: unknown
): Promise<Answer> {
	return new Promise((resolve, reject) => {
		const text = body === undefined ? "" : JSON.stringify(body)
		const headers = {
			host: HOST_NAME,
			authorization: `Bearer ${KEY}`,
			"x-deadline-ms": "3000",
			"content-type": "application/json",
			"content-length": `${Buffer.byteLength(text)}`
		}
		const outgoing = request(
			{host: LOOPBACK, port, method, path, headers, timeout: 3000, agent: false},
			response => {
				readText(response).then(answer => {
					const parsed = answer === "" ? {} : (JSON.parse(answer) as Record<string, unknown>)
					resolve({status: response.statusCode ?? 0, body: parsed})
				}, reject)
			}
		)
		outgoing.on("timeout", () => {
			outgoing.destroy(new Error("no answer"))
		})
		outgoing.on("error", reject)
		outgoing.end(text)
	})
}

async function findPorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createSocketServer())
	const ports = await Promise.all(
		servers.map(
			server =>
				new Promise<number>(resolve => {
					server.listen(0, LOOPBACK, () => {
						resolve((server.address() as AddressInfo).port)
					})
				})
		)
	)
	for (const server of servers) server.close()
	return ports
}
