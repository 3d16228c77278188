/**
 * Runs real daemons against stand-ins in the bench's own process, so that a daemon's process shows only its own cost.
 * Counts every byte that a daemon exchanges with the platform, the workers and its peers.
 */
import {generateKeyPairSync, randomBytes} from "node:crypto"
import {mkdtempSync, readFileSync, writeFileSync} from "node:fs"
import {type AddressInfo, type Socket, connect, createServer} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {serve} from "@hono/node-server"
import {request} from "undici"
import {stringify} from "yaml"
import {
	type BundleContent,
	type HostRecord,
	HostRole,
	SystemClock,
	bundleContentSchema,
	hashText,
	signBundle
} from "../src/internal.js"
import {FaultSwitch} from "../standins/faults.js"
import {Launcher, type StartedProcess} from "../standins/launcher.js"
import {createPlatformApp} from "../standins/platform/app.js"
import {PlatformCore} from "../standins/platform/core.js"
import {type StandInApp} from "../standins/serve.js"
import {createWorkerApp} from "../standins/worker/app.js"
import {WorkerCore} from "../standins/worker/core.js"

export const OPERATOR_TOKEN = "operator-token-of-the-bench"
export const CALLER_TOKEN = "caller-token-of-the-bench"
const LOOPBACK = "127.0.0.1"
const CAPACITY = {accelerators: 8, cpus: 130, memoryMb: 512000}
const WORKERS_PER_RACK = 8
const POLL_INTERVAL_MS = 20

/** Counts the bytes sent and received over a set of sockets. */
class ByteCounter {
	readonly #open = new Set<Socket>()
	#closed = 0

	add(socket: Socket): void {
		this.#open.add(socket)
		socket.once("close", () => {
			this.#open.delete(socket)
			this.#closed += socket.bytesRead + socket.bytesWritten
		})
	}

	count(): number {
		let bytes = this.#closed
		for (const socket of this.#open) bytes += socket.bytesRead + socket.bytesWritten
		return bytes
	}
}

export interface Daemon {
	readonly hostId: string
	readonly zone: string
	readonly process: StartedProcess
	/** Bytes of the peers' requests to this daemon and of its answers. */
	readonly peerBytes: ByteCounter
}

export interface ProcessUsage {
	readonly cpuMs: number
	readonly rssMb: number
}

export class DaemonRig {
	readonly clock = new SystemClock()
	readonly launcher = new Launcher()
	readonly platform = new PlatformCore()
	readonly workers = new Map<string, WorkerCore>()
	readonly daemons = new Map<string, Daemon>()
	readonly platformBytes = new ByteCounter()
	readonly workerBytes = new ByteCounter()
	readonly #folder = mkdtempSync(join(tmpdir(), "cardamomhook-bench-"))
	readonly #keys = generateKeyPairSync("ed25519")
	readonly #closers: (() => void)[] = []
	#platformUrl = ""
	#generation = 0

	async startPlatform(): Promise<void> {
		const app = createPlatformApp(this.platform, new FaultSwitch())
		this.#platformUrl = await this.#serve(app, this.platformBytes)
	}

	async addWorkers(zone: string, count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			const id = `${zone}-worker-${index}`
			const core = new WorkerCore({workerId: id, incarnation: id, capacity: CAPACITY}, this.clock)
			const address = await this.#serve(createWorkerApp(core, new FaultSwitch()), this.workerBytes)
			this.workers.set(id, core)
			const rack = `${zone}-rack-${Math.floor(index / WORKERS_PER_RACK)}`
			this.pin({id, role: HostRole.worker, zone, rack, address})
		}
	}

	pin(record: Omit<HostRecord, "peerAddress" | "leaving"> & {peerAddress?: string}): void {
		this.platform.pinHost({peerAddress: "", leaving: false, ...record}, this.clock.now())
	}

	async startDaemon(hostId: string, zone: string): Promise<Daemon> {
		const publicKey = this.#keys.publicKey.export({format: "der", type: "spki"})
		const path = join(this.#folder, `${hostId}-${randomBytes(4).toString("hex")}.yaml`)
		const settings = {
			hostId,
			zone,
			region: `region-${zone}`,
			callerAddress: {host: LOOPBACK, port: 0},
			peerAddress: {host: LOOPBACK, port: 0},
			platformUrl: this.#platformUrl,
			bundleKeys: {main: publicKey.toString("base64")},
			peerSecrets: ["a-peer-secret-of-the-bench"],
			operators: {operator: hashText(OPERATOR_TOKEN)},
			logLevel: "info"
		}
		writeFileSync(path, stringify(settings))
		const started = await this.launcher.start("cardamomhookd", ["--settings", path], hostId)
		const peerBytes = new ByteCounter()
		const peerAddress = await this.#relay(readPeerPort(started), peerBytes)
		const rack = ""
		this.pin({id: hostId, role: HostRole.daemon, zone, rack, address: started.url, peerAddress})
		const daemon = {hostId, zone, process: started, peerBytes}
		this.daemons.set(hostId, daemon)
		return daemon
	}

	async rollOut(content: BundleContent, host: StartedProcess): Promise<void> {
		const privateKey = this.#keys.privateKey.export({format: "der", type: "pkcs8"})
		const key = privateKey.toString("base64")
		const bundle = signBundle(++this.#generation, content, "main", key)
		const {statusCode, body} = await request(`${host.url}/v1/bundle`, {
			method: "PUT",
			headers: {authorization: `Bearer ${OPERATOR_TOKEN}`, "content-type": "application/json"},
			body: JSON.stringify(bundle)
		})
		const answer = await body.text()
		if (statusCode !== 200) throw new Error(`the roll-out was refused: ${answer}`)
	}

	/** Submits the job until the host accepts it. */
	async submit(host: StartedProcess, key: string, spec: object): Promise<void> {
		await waitUntil(`${key} is accepted`, async () => {
			const {statusCode, body} = await request(`${host.url}/v1/jobs`, {
				method: "POST",
				headers: {
					authorization: `Bearer ${CALLER_TOKEN}`,
					"content-type": "application/json",
					"idempotency-key": key
				},
				body: JSON.stringify(spec)
			})
			await body.dump()
			return statusCode < 300
		})
	}

	findHolder(zone: string): Daemon | undefined {
		const [row] = this.platform.read([`zone/${zone}/holder`])
		const {holder = ""} = JSON.parse(row?.value ?? "{}") as {holder?: string}
		return this.daemons.get(holder)
	}

	countRunning(): number {
		let running = 0
		for (const {runs} of this.workers.values())
			running += runs.filter(({end}) => end === undefined).length
		return running
	}

	async stop(): Promise<void> {
		await this.launcher.killAll()
		for (const close of this.#closers) close()
	}

	async #serve(app: StandInApp, counter: ByteCounter): Promise<string> {
		return new Promise(resolve => {
			const server = serve({fetch: app.fetch, hostname: LOOPBACK, port: 0}, info => {
				resolve(`http://${LOOPBACK}:${info.port}`)
			})
			server.on("connection", (socket: Socket) => {
				counter.add(socket)
			})
			this.#closers.push(() => server.close())
		})
	}

	async #relay(port: number, counter: ByteCounter): Promise<string> {
		const server = createServer(incoming => {
			const outgoing = connect(port, LOOPBACK)
			counter.add(incoming)
			incoming.pipe(outgoing).pipe(incoming)
			incoming.on("error", () => outgoing.destroy())
			outgoing.on("error", () => incoming.destroy())
		})
		this.#closers.push(() => server.close())
		return new Promise(resolve => {
			server.listen(0, LOOPBACK, () => {
				resolve(`http://${LOOPBACK}:${(server.address() as AddressInfo).port}`)
			})
		})
	}
}

export function createZoneContent(zones: readonly string[], workspaces = 1): BundleContent {
	return bundleContentSchema.parse({
		workspaces: Array.from({length: workspaces}, (_, index) => ({
			name: `team-${index}`,
			maxQueued: 100000,
			callers: {clerk: hashText(index === 0 ? CALLER_TOKEN : `token-${index}`)}
		})),
		zones: zones.map(name => ({name, region: `region-${name}`})),
		policies: {placement: "best-fit"}
	})
}

function readPeerPort({lines}: StartedProcess): number {
	const line = lines.find(text => text.includes('"peerPort"'))
	return (JSON.parse(line ?? "{}") as {peerPort: number}).peerPort
}

const CLOCK_TICK_MS = 10

/** Reads the CPU time and the resident memory of a process from procfs. */
export function readProcessUsage(pid: number): ProcessUsage {
	const stat = readFileSync(`/proc/${pid}/stat`, "utf8")
	const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ")
	const ticks = Number(fields[11]) + Number(fields[12])
	const status = readFileSync(`/proc/${pid}/status`, "utf8")
	const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
	return {cpuMs: ticks * CLOCK_TICK_MS, rssMb: rssKb / 1024}
}

export async function waitUntil(
	description: string,
	check: () => Promise<boolean> | boolean,
	timeoutMs = 60000
): Promise<void> {
	const giveUpAt = performance.now() + timeoutMs
	while (performance.now() < giveUpAt) {
		if (await check()) return
		await pause(POLL_INTERVAL_MS)
	}
	throw new Error(`timed out after ${timeoutMs} ms waiting until ${description}`)
}

export function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms)
	})
}
