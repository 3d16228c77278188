/** Runs the processes of one demo deployment (platform, workers, endpoints, hosts) and the command-line tool. */
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {request} from "undici"
import {stringify} from "yaml"
import {HostRole, hashText} from "../src/internal.js"
import {Launcher, type StartedProcess} from "../standins/launcher.js"
import {type ToolResult, runTool} from "../standins/tool.js"
import {type RunEntry} from "../standins/worker/core.js"

const READY_TIMEOUT_MS = 20000
const POLL_INTERVAL_MS = 100
export const OPERATOR_TOKEN = "demo-operator"

export interface RigOptions {
	readonly zones: readonly string[]
	readonly daemonsPerZone: number
	readonly workersPerZone: number
	readonly endpointsPerZone: number
	readonly cpus: number
	readonly memoryMb: number
}

export class Rig {
	readonly folder = mkdtempSync(join(tmpdir(), "cardamomhook-demo-"))
	readonly keyFile = join(this.folder, "signing.key")
	/** Hosts by zone. */
	readonly daemons = new Map<string, StartedProcess[]>()
	/** Ids of workers and endpoints by zone. */
	readonly backEndIds = new Map<string, Set<string>>()
	readonly #launcher = new Launcher()
	readonly #backEnds: StartedProcess[] = []
	#platformUrl = ""

	get processCount(): number {
		return this.#launcher.started.length
	}

	async start(options: RigOptions, publicKey: string): Promise<void> {
		this.#platformUrl = (await this.#launcher.start("standin-platform", [])).url
		await Promise.all(options.zones.map(zone => this.#startZone(zone, options, publicKey)))
	}

	async #startZone(zone: string, options: RigOptions, publicKey: string): Promise<void> {
		this.daemons.set(zone, [])
		this.backEndIds.set(zone, new Set())
		const starts: Promise<void>[] = []
		for (let number = 1; number <= options.workersPerZone; number++)
			starts.push(this.#startWorker(zone, `${zone}-worker-${number}`, options))
		for (let number = 1; number <= options.endpointsPerZone; number++)
			starts.push(this.#startEndpoint(zone, `${zone}-endpoint-${number}`))
		for (let number = 1; number <= options.daemonsPerZone; number++)
			starts.push(this.#startDaemon(zone, `${zone}-host-${number}`, publicKey))
		await Promise.all(starts)
	}

	async #startWorker(zone: string, id: string, {cpus, memoryMb}: RigOptions): Promise<void> {
		const args = ["--id", id, "--zone", zone, "--rack", `${zone}-rack-1`]
		args.push("--cpus", `${cpus}`, "--memory-mb", `${memoryMb}`, "--platform", this.#platformUrl)
		await this.#startBackEnd("standin-worker", args, zone, id)
	}

	async #startEndpoint(zone: string, id: string): Promise<void> {
		const args = ["--id", id, "--zone", zone, "--slots", "8", "--platform", this.#platformUrl]
		await this.#startBackEnd("standin-endpoint", args, zone, id)
	}

	async #startBackEnd(
		program: string,
		args: readonly string[],
		zone: string,
		id: string
	): Promise<void> {
		this.#backEnds.push(await this.#launcher.start(program, args, id))
		this.backEndIds.get(zone)?.add(id)
	}

	async #startDaemon(zone: string, hostId: string, publicKey: string): Promise<void> {
		const settings = {
			hostId,
			zone,
			region: zone.replace(/-a$/, ""),
			callerAddress: {host: "127.0.0.1", port: 0},
			peerAddress: {host: "127.0.0.1", port: 0},
			platformUrl: this.#platformUrl,
			bundleKeys: {main: publicKey},
			peerSecrets: ["demonstration-peer-secret"],
			operators: {committee: hashText(OPERATOR_TOKEN)}
		}
		const path = join(this.folder, `${hostId}.yaml`)
		writeFileSync(path, stringify(settings))
		const started = await this.#launcher.start("cardamomhookd", ["--settings", path], hostId)
		this.daemons.get(zone)?.push(started)
	}

	/** Runs the command-line tool with the addresses of all running hosts. */
	runTool(args: readonly string[], token: string): Promise<ToolResult> {
		const hosts = this.listDaemons().map(({url}) => url)
		return runTool(args, hosts, token)
	}

	/** Adds the hosts to the platform's host list, which a real platform maintains itself. */
	async registerDaemons(): Promise<void> {
		for (const [zone, daemons] of this.daemons)
			for (const {name, url} of daemons)
				await post(`${this.#platformUrl}/control/pin-host`, {
					id: name,
					role: HostRole.daemon,
					zone,
					rack: "",
					address: url,
					peerAddress: "",
					leaving: false
				})
	}

	listDaemons(): StartedProcess[] {
		return [...this.daemons.values()].flat()
	}

	async waitUntilReady(): Promise<void> {
		const giveUpAt = performance.now() + READY_TIMEOUT_MS
		for (const {url, name} of this.listDaemons())
			while (!(await isReady(url))) {
				if (performance.now() > giveUpAt) throw new Error(`${name} is not ready`)
				await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
			}
	}

	/** Collects the runs that workers and endpoints recorded. */
	async collectRuns(): Promise<RunEntry[]> {
		const runs = this.#backEnds.map(async ({url}) => {
			const {body} = await request(`${url}/control/runs`)
			return (await body.json()) as RunEntry[]
		})
		return (await Promise.all(runs)).flat()
	}

	/** Removes a host from `daemons`, sends it SIGTERM and resolves with its exit code. */
	async stopDaemon(zone: string, daemon: StartedProcess): Promise<number | null> {
		const remaining = (this.daemons.get(zone) ?? []).filter(one => one !== daemon)
		this.daemons.set(zone, remaining)
		return this.#launcher.stop(daemon)
	}

	async close(): Promise<void> {
		await this.#launcher.killAll()
		rmSync(this.folder, {recursive: true, force: true})
	}
}

async function post(url: string, value: unknown): Promise<void> {
	const {body} = await request(url, {
		method: "POST",
		headers: {"content-type": "application/json"},
		body: JSON.stringify(value)
	})
	await body.dump()
}

async function isReady(url: string): Promise<boolean> {
	const {statusCode, body} = await request(`${url}/readyz`)
	await body.dump()
	return statusCode === 200
}
