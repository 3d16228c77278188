/** An entry host: the board, its controllers and the adapters around them. */
import {type Hono} from "hono"
import {
	type Clock,
	type Controller,
	type HostSettings,
	type SocketAddress,
	Board,
	ControllerLoop,
	Entrance,
	GangStage,
	Lifecycle,
	createControllers,
	findAuthorityScope
} from "./internal.js"
import {EndpointClient, WorkerClient} from "./adapters/back-ends.js"
import {createCallerApi} from "./adapters/caller-api.js"
import {type CommandExecutor, CommandRunner} from "./adapters/command-runner.js"
import {ConnectionLimits} from "./adapters/connection-limits.js"
import {Gateway} from "./adapters/gateway.js"
import {HttpClient} from "./adapters/http-client.js"
import {HttpServer} from "./adapters/http-server.js"
import {PeerSeal} from "./adapters/peer-seal.js"
import {PeerClient, PeerServer} from "./adapters/peers.js"
import {PlatformClient} from "./adapters/platform.js"
import {Telemetry} from "./adapters/telemetry.js"

const DRAIN_CHECK_INTERVAL_MS = 50
const CLOSE_MAX_MS = 1000

/** Minimum time during which open connections are still answered while the host stops. */
const CLOSE_GRACE_MS = 1000

/** Part of the shutdown time that is reserved for handing over the zone. */
const HAND_OVER_MAX_MS = 3000
const HAND_OVER_SHARE = 0.25

/** One HTTP server of a host. */
export interface FrontEnd {
	readonly app: Hono
	readonly entrance: Entrance
	readonly address: SocketAddress
}

/** The parts of a host that differ between deployments. */
export interface HostWiring {
	createExecutors(http: HttpClient, settings: HostSettings): readonly CommandExecutor[]
	createControllers(board: Board, clock: Clock): readonly Controller[]
	/** The first one serves callers; `Host.start` returns its port. */
	createFrontEnds(board: Board, gateway: Gateway, telemetry: Telemetry): readonly FrontEnd[]
	/** Whether hosts connect to each other as peers. */
	readonly hasPeers: boolean
}

/** Wiring of a host with the product's own protocols, where each zone has a holder. */
export class ZoneWiring implements HostWiring {
	readonly hasPeers = true

	createExecutors(http: HttpClient, {platformUrl}: HostSettings): readonly CommandExecutor[] {
		return [new PlatformClient(http, platformUrl), new WorkerClient(http), new EndpointClient(http)]
	}

	createControllers(_board: Board, clock: Clock): readonly Controller[] {
		return createControllers(clock)
	}

	createFrontEnds(board: Board, gateway: Gateway, telemetry: Telemetry): readonly FrontEnd[] {
		const app = createCallerApi(board, gateway, telemetry)
		return [{app, entrance: Entrance.callers, address: board.settings.callerAddress}]
	}
}

export class Host {
	readonly board: Board
	readonly #clock: Clock
	readonly #loop: ControllerLoop
	readonly #http = new HttpClient()
	readonly #runner: CommandRunner
	readonly #gateway: Gateway
	readonly #peerClient: PeerClient | undefined
	readonly #peerServer: PeerServer | undefined
	readonly #telemetry: Telemetry
	readonly #frontEnds: readonly FrontEnd[]
	readonly #limits: ConnectionLimits
	readonly #servers: HttpServer[] = []

	constructor(settings: HostSettings, clock: Clock, wiring: HostWiring = new ZoneWiring()) {
		this.board = new Board(settings)
		this.#clock = clock
		this.#telemetry = new Telemetry(this.board)
		this.#limits = new ConnectionLimits(settings.limits, (entrance, reason) => {
			this.#telemetry.countLimit(entrance, reason)
		})
		const executors = [...wiring.createExecutors(this.#http, settings)]
		if (wiring.hasPeers) {
			const seal = new PeerSeal(settings.peerSecrets)
			this.#peerClient = new PeerClient(settings.hostId, seal)
			this.#peerServer = new PeerServer(this.board, clock, seal, this.#limits.open(Entrance.peers))
			executors.push(this.#peerClient)
		}
		this.#runner = new CommandRunner(this.board, executors, (kind, result, tookMs) => {
			this.#telemetry.observeCall(kind, result, tookMs)
		})
		this.#gateway = new Gateway(this.board, clock)
		this.#frontEnds = wiring.createFrontEnds(this.board, this.#gateway, this.#telemetry)
		const controllers = wiring.createControllers(this.board, clock)
		this.#loop = new ControllerLoop(this.board, clock, controllers, () => {
			this.#drain()
		})
	}

	get telemetry(): Telemetry {
		return this.#telemetry
	}

	/** Listens for callers and peers, starts the controllers and resolves with the ports. */
	async start(): Promise<{readonly port: number; readonly peerPort: number | undefined}> {
		const peerPort = await this.#peerServer?.start()
		const ports: number[] = []
		for (const frontEnd of this.#frontEnds) ports.push(await this.#listen(frontEnd))
		this.board.lifecycle.set("state", Lifecycle.serving)
		this.#loop.start()
		return {port: ports[0] ?? 0, peerPort}
	}

	#listen({app, entrance, address}: FrontEnd): Promise<number> {
		const server = new HttpServer(app, this.#limits.open(entrance))
		this.#servers.push(server)
		return server.listen(address)
	}

	/**
	 * Shuts down gracefully: refuses new work, answers pending requests, lets calls finish and hands over the zone.
	 * Resolves when this is done or `shutdownTimeoutMs` has passed. The controllers run until the servers are closed,
	 * because open connections still get answers.
	 */
	async stop(): Promise<void> {
		const {shutdownTimeoutMs} = this.board.settings
		const scope = findAuthorityScope(this.board.settings)
		const stoppedAt = this.#clock.now()
		const giveUpAt = stoppedAt + shutdownTimeoutMs
		const closeAt = stoppedAt + Math.min(CLOSE_GRACE_MS, shutdownTimeoutMs * HAND_OVER_SHARE)
		const handOverMs = Math.min(HAND_OVER_MAX_MS, shutdownTimeoutMs * HAND_OVER_SHARE)
		this.board.lifecycle.set("state", Lifecycle.stopping)
		await this.#waitUntil(() => this.#isIdle(), giveUpAt - handOverMs)
		this.board.lifecycle.set("state", Lifecycle.drained)
		await this.#waitUntil(() => this.board.authority.get(scope)?.isHeldHere !== true, giveUpAt)
		await this.#waitUntil(() => this.#clock.now() >= closeAt, giveUpAt)
		await Promise.all(this.#servers.map(server => this.#closeServer(server, giveUpAt)))
		this.#loop.stop()
		this.#peerServer?.close()
		this.#peerClient?.close()
		await this.#http.close()
	}

	/** Accepts no new connections, and closes the open ones once they are answered or a time limit has passed. */
	async #closeServer(server: HttpServer, giveUpAt: number): Promise<void> {
		let isClosed = false
		server.close(() => {
			isClosed = true
		})
		await this.#waitUntil(() => isClosed, Math.min(giveUpAt, this.#clock.now() + CLOSE_MAX_MS))
		server.closeAllConnections()
	}

	#isIdle(): boolean {
		const isGangStarting = [...this.board.gangs.values()].some(
			({stage}) => stage !== GangStage.running
		)
		return !isGangStarting && this.board.calls.size === 0 && this.#gateway.pending === 0
	}

	async #waitUntil(isDone: () => boolean, giveUpAt: number): Promise<void> {
		while (!isDone() && this.#clock.now() < giveUpAt) {
			await new Promise<void>(resolve => {
				this.#clock.schedule(DRAIN_CHECK_INTERVAL_MS, resolve)
			})
		}
	}

	#drain(): void {
		this.#runner.drain()
		this.#gateway.drain()
		this.#peerServer?.drain()
		this.#telemetry.drain()
	}
}
