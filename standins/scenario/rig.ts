/**
 * Starts the processes of a scenario, with a link of the fault proxy between every two that communicate, and applies
 * the scenario's faults to them. Each host has its own view of the host list, with the addresses of its own links.
 */
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {type JsonValue, postJson, sendRequest} from "./http.js"
import {stringify} from "yaml"
import {type HostRecord, type TableRow, HostRole, formatHolderKey} from "../../src/internal.js"
import {Launcher, type StartedProcess} from "../launcher.js"
import {Network} from "../proxy/network.js"
import {type BundleAuthor} from "./bundle-author.js"
import {type Incarnation, type Node, NodeRole, createNodes} from "./nodes.js"
import {ScenarioError, type Topology} from "./schema.js"
import {waitUntil} from "./wait.js"

export const PLATFORM = "platform"
export const CALLERS = "callers"
const VIEW_INTERVAL_MS = 200
const START_TIMEOUT_MS = 30000

export class Rig {
	readonly topology: Topology
	readonly nodes: Map<string, Node>
	readonly network = new Network()
	readonly #launcher = new Launcher()
	readonly #folder = mkdtempSync(join(tmpdir(), "cardamomhook-scenario-"))
	readonly #author: BundleAuthor
	readonly #callerUrls = new Map<string, string>()
	readonly #sentViews = new Map<string, string>()
	#platform!: StartedProcess
	#viewTimer: NodeJS.Timeout | undefined

	constructor(topology: Topology, author: BundleAuthor) {
		this.topology = topology
		this.#author = author
		this.nodes = createNodes(topology.zones)
	}

	async start(): Promise<void> {
		this.#platform = await this.#launcher.start("standin-platform", [])
		await Promise.all([...this.nodes.keys()].map(name => this.startNode(name)))
		this.#pollViews()
		await waitUntil("every worker and endpoint is on every host's list", START_TIMEOUT_MS, () =>
			this.#listMissing().length === 0 ? true : undefined
		)
	}

	async close(): Promise<void> {
		clearTimeout(this.#viewTimer)
		this.#viewTimer = undefined
		for (const node of this.nodes.values()) node.currentIncarnation?.process.child.kill("SIGCONT")
		await this.#launcher.killAll()
		this.network.close()
		rmSync(this.#folder, {recursive: true, force: true})
	}

	find(name: string): Node {
		const node = this.nodes.get(name)
		if (node === undefined) throw new ScenarioError(`unknown process ${name}`)
		return node
	}

	listLive(role: NodeRole, zone?: string): Node[] {
		return [...this.nodes.values()].filter(
			node => node.role === role && node.isLive && (zone === undefined || node.zone === zone)
		)
	}

	async startNode(name: string): Promise<void> {
		const node = this.find(name)
		if (node.currentIncarnation !== undefined) throw new ScenarioError(`${name} is already running`)
		const platformUrl = await this.network.connect({
			from: name,
			to: PLATFORM,
			latencyMs: this.topology.latency.zoneMs,
			targetPort: this.#platform.port
		})
		const {program, args} = this.#buildCommand(node, platformUrl)
		const process = await this.#launcher.start(program, args, name)
		const incarnation: Incarnation = {
			process,
			endedWallMs: undefined,
			exitCode: undefined,
			wasAskedToStop: false
		}
		process.child.once("exit", code => {
			incarnation.endedWallMs ??= Date.now()
			incarnation.exitCode = code
		})
		node.incarnations.push(incarnation)
		if (node.role !== NodeRole.host) return
		const url = await this.network.connect({
			from: CALLERS,
			to: name,
			latencyMs: this.topology.latency.clientMs,
			targetPort: process.port,
			service: "callers"
		})
		this.#callerUrls.set(name, url)
		await this.#registerHost(node, process)
	}

	/** Adds the host's current addresses to the platform's list; hosts don't register themselves. */
	async #registerHost(node: Node, {url, lines}: StartedProcess): Promise<void> {
		const line = lines.findLast(candidate => candidate.includes('"peerPort"')) ?? "{}"
		const {peerPort = 0} = JSON.parse(line) as {peerPort?: number}
		const record: HostRecord = {
			id: node.name,
			role: HostRole.daemon,
			zone: node.zone,
			rack: "",
			address: url,
			peerAddress: `http://127.0.0.1:${peerPort}`,
			leaving: false
		}
		await this.control(PLATFORM, "/control/pin-host", {...record})
	}

	/** Sends a signal and resolves once the process has ended. */
	async endNode(name: string, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
		const {currentIncarnation: incarnation} = this.find(name)
		if (incarnation === undefined) throw new ScenarioError(`${name} is not running`)
		if (signal === "SIGKILL") this.thaw(name)
		else incarnation.wasAskedToStop = true
		await this.#launcher.stop(incarnation.process, signal)
		incarnation.endedWallMs ??= Date.now()
	}

	freeze(name: string): void {
		const node = this.find(name)
		node.currentIncarnation?.process.child.kill("SIGSTOP")
		node.freezes.push({fromWallMs: Date.now(), untilWallMs: undefined})
	}

	thaw(name: string): void {
		const node = this.find(name)
		const freeze = node.freezes.at(-1)
		if (freeze === undefined || freeze.untilWallMs !== undefined) return
		freeze.untilWallMs = Date.now()
		node.currentIncarnation?.process.child.kill("SIGCONT")
	}

	/** The URL at which callers reach a host through the proxy; empty if the host was never started. */
	findCallerUrl(host: string): string {
		return this.#callerUrls.get(host) ?? ""
	}

	/** Posts to a control route of a stand-in, bypassing the proxy. */
	async control(name: string, path: string, body: JsonValue): Promise<void> {
		const url =
			name === PLATFORM
				? this.#platform.url
				: (this.find(name).currentIncarnation?.process.url ?? "")
		const {status} = await sendRequest(`${url}${path}`, {method: "POST", body})
		if (status !== 200)
			throw new ScenarioError(`${name} answered ${path} with status ${status}, expected 200`)
	}

	/** Reads the zone's holder from the platform's table; empty if there is none. */
	async readHolder(zone: string): Promise<string> {
		const rows = await postJson<TableRow[]>(`${this.#platform.url}/table/read`, {
			keys: [formatHolderKey(zone)]
		})
		const [row] = rows
		return row === undefined ? "" : (JSON.parse(row.value) as {holder: string}).holder
	}

	#buildCommand(node: Node, platformUrl: string): {program: string; args: string[]} {
		const {topology} = this
		const commonArgs = ["--id", node.name, "--zone", node.zone, "--platform", platformUrl]
		switch (node.role) {
			case NodeRole.worker: {
				const workerArgs = ["--rack", node.rack, "--accelerators", String(topology.accelerators)]
				return {program: "standin-worker", args: [...commonArgs, ...workerArgs]}
			}
			case NodeRole.endpoint:
				return {
					program: "standin-endpoint",
					args: [...commonArgs, "--slots", String(topology.slots)]
				}
			case NodeRole.host: {
				const path = join(this.#folder, `${node.name}-${node.incarnations.length}.yaml`)
				writeFileSync(path, stringify(this.#buildSettings(node, platformUrl)))
				return {program: "cardamomhookd", args: ["--settings", path]}
			}
		}
	}

	#buildSettings(node: Node, platformUrl: string): object {
		return {
			hostId: node.name,
			zone: node.zone,
			region: node.region,
			callerAddress: {host: "127.0.0.1", port: 0},
			peerAddress: {host: "127.0.0.1", port: 0},
			platformUrl: `${platformUrl}/as/${node.name}`,
			peerSecrets: ["a-peer-secret-for-scenarios"],
			logLevel: "debug",
			shutdownTimeoutMs: this.topology.shutdownTimeoutMs,
			...this.#author.buildSettings()
		}
	}

	#pollViews(): void {
		const poll = async (): Promise<void> => {
			await this.#updateViews()
			if (this.#viewTimer !== undefined)
				this.#viewTimer = setTimeout(() => void poll(), VIEW_INTERVAL_MS)
		}
		this.#viewTimer = setTimeout(() => void poll(), 0)
	}

	async #updateViews(): Promise<void> {
		try {
			const records = await postJson<HostRecord[]>(`${this.#platform.url}/control/hosts`, {})
			for (const viewer of this.nodes.values())
				if (viewer.role === NodeRole.host) await this.#updateView(viewer, records)
		} catch (error) {
			if (this.#viewTimer !== undefined) throw error
		}
	}

	async #updateView(viewer: Node, records: readonly HostRecord[]): Promise<void> {
		const addresses: Record<string, {address: string; peerAddress: string}> = {}
		for (const record of records) {
			const node = this.nodes.get(record.id)
			const isVisible = node?.zone === viewer.zone || node?.role === NodeRole.host
			if (node === undefined || !isVisible) continue
			if (node === viewer) {
				addresses[record.id] = {address: record.address, peerAddress: record.peerAddress}
				continue
			}
			addresses[record.id] = {
				address: await this.#connect(viewer, node, record.address, "main"),
				peerAddress: await this.#connect(viewer, node, record.peerAddress, "peer")
			}
		}
		const view = JSON.stringify(addresses)
		if (this.#sentViews.get(viewer.name) === view) return
		await postJson(`${this.#platform.url}/control/view`, {viewer: viewer.name, addresses})
		this.#sentViews.set(viewer.name, view)
	}

	async #connect(viewer: Node, node: Node, address: string, service: string): Promise<string> {
		const port = URL.canParse(address) ? Number(new URL(address).port) : 0
		if (port === 0) return address
		return this.network.connect({
			from: viewer.name,
			to: node.name,
			latencyMs: this.#findLatency(viewer, node),
			targetPort: port,
			service
		})
	}

	#findLatency(a: Node, b: Node): number {
		const {latency} = this.topology
		if (a.zone === b.zone) return 0
		return a.region === b.region ? latency.zoneMs : latency.regionMs
	}

	#listMissing(): string[] {
		const hosts = [...this.nodes.values()].filter(({role}) => role === NodeRole.host)
		return hosts.flatMap(host => {
			const view = this.#sentViews.get(host.name) ?? ""
			return [...this.nodes.values()]
				.filter(({role, zone}) => role !== NodeRole.host && zone === host.zone)
				.filter(({name}) => !view.includes(`"${name}"`))
				.map(({name}) => `${host.name} ${name}`)
		})
	}
}
