/**
 * Hosts, workers, endpoints and the platform in one process, without a network and under any clock, for unit tests,
 * model tests and benches. A `FaultPlan` decides the delay of each command and whether it or its answer is lost.
 */
import {err, ok, type Result} from "neverthrow"
import {
	type BundleContent,
	type CallError,
	type Clock,
	type Command,
	type Completion,
	type Controller,
	type HostRecord,
	type HostRequest,
	type HostSettings,
	type JobNotice,
	type PeerStatus,
	type PeerQuery,
	type Policies,
	type Reply,
	type WorkerCapacity,
	ANY_VERSION,
	BUNDLE_HEAD_KEY,
	BUNDLE_KEY,
	Board,
	CommandKind,
	ControllerLoop,
	HostRole,
	Lifecycle,
	RefusedError,
	TransportError,
	createControllers,
	signBundle
} from "../src/internal.js"
import {generateKeyPairSync} from "node:crypto"
import {EndpointCore} from "./endpoint/core.js"
import {DefaultFaultPlan, type FaultPlan, DeliveryAction} from "./fault-plan.js"
import {PausableClock} from "./pausable-clock.js"
import {PlatformCore} from "./platform/core.js"
import {StandInRefusal} from "./serve.js"
import {type RunEntry, WorkerCore} from "./worker/core.js"

export interface InProcessOptions {
	readonly clock: Clock
	readonly plan?: FaultPlan
	readonly policies?: Policies
}

export interface InProcessHost {
	readonly board: Board
	readonly loop: ControllerLoop
	readonly clock: PausableClock
	/** False once killed: it neither steps nor receives anything. */
	alive: boolean
}

type WithoutEnvelope<T> = T extends unknown ? Omit<T, "id" | "arrivedAt"> : never
type NewRequest = WithoutEnvelope<HostRequest>

const KEY_ID = "main"

export class InProcessCluster {
	readonly platform = new PlatformCore()
	readonly hosts = new Map<string, InProcessHost>()
	readonly workers = new Map<string, WorkerCore>()
	readonly endpoints = new Map<string, EndpointCore>()
	readonly #clock: Clock
	readonly #policies: Policies | undefined
	readonly #keys = generateKeyPairSync("ed25519")
	readonly #pendingReplies = new Map<string, (reply: Reply) => void>()
	readonly pastRuns: RunEntry[] = []
	readonly #pendingPeerReplies = new Map<string, (status: PeerStatus) => void>()
	plan: FaultPlan

	constructor({clock, plan = new DefaultFaultPlan(), policies}: InProcessOptions) {
		this.#clock = clock
		this.#policies = policies
		this.plan = plan
	}

	addHost(hostId: string, zone: string, controllers?: readonly Controller[]): InProcessHost {
		const board = new Board(this.#buildSettings(hostId, zone))
		const clock = new PausableClock(this.#clock)
		const loop = new ControllerLoop(
			board,
			clock,
			controllers ?? createControllers(clock, this.#policies),
			() => {
				this.#drain(host)
			}
		)
		const host: InProcessHost = {board, loop, clock, alive: true}
		this.hosts.set(hostId, host)
		this.#pinHost({id: hostId, role: HostRole.daemon, zone})
		board.lifecycle.set("state", Lifecycle.serving)
		loop.start()
		return host
	}

	addWorker(workerId: string, zone: string, rack: string, capacity: WorkerCapacity): WorkerCore {
		const incarnation = `${workerId}-${this.#clock.now()}`
		const core = new WorkerCore({workerId, incarnation, capacity}, this.#clock)
		this.workers.set(workerId, core)
		this.#pinHost({id: workerId, role: HostRole.worker, zone, rack})
		return core
	}

	addEndpoint(endpointId: string, zone: string, slots: number): EndpointCore {
		const core = new EndpointCore(
			endpointId,
			`${endpointId}-${this.#clock.now()}`,
			slots,
			this.#clock
		)
		this.endpoints.set(endpointId, core)
		this.#pinHost({id: endpointId, role: HostRole.endpoint, zone})
		return core
	}

	/** Ends the worker's process with all its tasks and replaces it by a new incarnation. */
	restartWorker(workerId: string): void {
		const core = this.workers.get(workerId)
		if (core === undefined) return
		core.kill()
		const incarnation = `${workerId}-${this.#clock.now()}`
		this.workers.set(
			workerId,
			new WorkerCore({workerId, incarnation, capacity: core.capacity}, this.#clock)
		)
		this.pastRuns.push(...core.runs)
	}

	/** Like `restartWorker`, for an endpoint. */
	restartEndpoint(endpointId: string): void {
		const core = this.endpoints.get(endpointId)
		if (core === undefined) return
		core.kill()
		this.pastRuns.push(...core.runs)
		const incarnation = `${endpointId}-${this.#clock.now()}`
		this.endpoints.set(
			endpointId,
			new EndpointCore(endpointId, incarnation, core.slots, this.#clock)
		)
	}

	/** Lists the runs of all workers and endpoints, including those of earlier incarnations. */
	listRuns(): RunEntry[] {
		const currentRuns = [...this.workers.values(), ...this.endpoints.values()].flatMap(({runs}) => [
			...runs
		])
		return [...this.pastRuns, ...currentRuns]
	}

	/** A killed host never steps again; a new one may be added under the same id. */
	killHost(hostId: string): void {
		const host = this.hosts.get(hostId)
		if (host === undefined) return
		host.alive = false
		host.loop.stop()
		this.hosts.delete(hostId)
	}

	/** Writes a signed bundle directly into the table, as a roll-out would. */
	installBundle(generation: number, content: BundleContent): void {
		const privateKey = this.#keys.privateKey.export({format: "der", type: "pkcs8"})
		const bundle = signBundle(generation, content, KEY_ID, privateKey.toString("base64"))
		const [row] = this.platform.read([BUNDLE_KEY])
		this.platform.commit([
			{key: BUNDLE_KEY, ifVersion: row?.version ?? 0, value: JSON.stringify(bundle)},
			{key: BUNDLE_HEAD_KEY, ifVersion: ANY_VERSION, value: String(generation)}
		])
	}

	/** Puts a request on a host's board; `onReply` receives its reply. */
	ask(hostId: string, request: NewRequest, onReply: (reply: Reply) => void): void {
		const host = this.hosts.get(hostId)
		if (host === undefined) return
		const id = `${hostId}-r${host.board.nextSequence()}`
		this.#pendingReplies.set(id, onReply)
		host.board.requests.set(id, {...request, id, arrivedAt: this.#clock.now()})
	}

	#buildSettings(hostId: string, zone: string): HostSettings {
		const publicKey = this.#keys.publicKey.export({format: "der", type: "spki"})
		return {
			hostId,
			zone,
			region: zone,
			callerAddress: {host: "127.0.0.1", port: 0},
			peerAddress: {host: "127.0.0.1", port: 0},
			platformUrl: "http://127.0.0.1",
			bundleKeys: {[KEY_ID]: publicKey.toString("base64")},
			peerSecrets: ["in-process-peer-secret"],
			operators: {},
			logLevel: "silent",
			shutdownTimeoutMs: 1000
		}
	}

	#pinHost({
		id,
		role,
		zone,
		rack = ""
	}: {
		id: string
		role: HostRole
		zone: string
		rack?: string
	}): void {
		const record: HostRecord = {id, role, zone, rack, address: id, peerAddress: id, leaving: false}
		this.platform.pinHost(record, this.#clock.now())
	}

	#drain(host: InProcessHost): void {
		const {board} = host
		for (const [id, command] of [...board.outbox.entries()]) {
			board.outbox.take(id)
			this.#send(host, command)
		}
		for (const [id, reply] of [...board.replies.entries()]) {
			board.replies.take(id)
			this.#pendingReplies.get(id)?.(reply)
			this.#pendingReplies.delete(id)
		}
		for (const [id, status] of [...board.peerReplies.entries()]) {
			board.peerReplies.take(id)
			this.#pendingPeerReplies.get(id)?.(status)
			this.#pendingPeerReplies.delete(id)
		}
		for (const id of [...board.events.keys()]) board.events.take(id)
	}

	#send(host: InProcessHost, command: Command): void {
		const {hostId} = host.board.settings
		const delayMs = this.plan.computeDelay(hostId, command)
		const action = this.plan.decide(hostId, command)
		let settled = false
		const settle = (result: Result<unknown, CallError>): void => {
			if (settled || !host.alive) return
			settled = true
			cancelTimeout()
			host.clock.run(() => {
				host.board.completions.set(command.id, {command, result} as Completion)
			})
		}
		const cancelTimeout = this.#clock.schedule(command.timeoutMs, () => {
			settle(err(new TransportError(command.target, "timeout", true)))
		})
		if (action === DeliveryAction.loseRequest) return
		this.#clock.schedule(delayMs, () => {
			this.#execute(command, result => {
				if (action === DeliveryAction.loseAnswer) return
				this.#clock.schedule(delayMs, () => {
					settle(result)
				})
			})
		})
	}

	#execute(command: Command, onResult: (result: Result<unknown, CallError>) => void): void {
		try {
			if (command.kind === CommandKind.peerExchange) {
				this.#queryPeer(command.target, command.request, onResult)
				return
			}
			if (command.kind === CommandKind.endpointCall) {
				this.#findEndpoint(command.target).callWithCallback(command.request, report => {
					onResult(ok(report))
				})
				return
			}
			onResult(ok(this.#perform(command)))
		} catch (error) {
			if (!(error instanceof StandInRefusal)) throw error
			onResult(err(new RefusedError(command.target, error.code, error.message)))
		}
	}

	#perform(command: Command): unknown {
		const {platform} = this
		switch (command.kind) {
			case CommandKind.tableRead:
				return platform.read(command.request.keys)
			case CommandKind.tableScan:
				return platform.scan(command.request.prefix)
			case CommandKind.tableCommit:
				return platform.commit(command.request.writes)
			case CommandKind.objectPut:
				platform.putObject(command.request.key, command.request.body)
				return null
			case CommandKind.objectGet:
				return platform.getObject(command.request.key)
			case CommandKind.hostList:
				return platform.listHosts(this.#clock.now(), command.request.knownVersion)
			case CommandKind.peerNotifyJob:
				return this.#notifyPeer(command.target, command.request.notices)
			case CommandKind.endpointStatus:
				return this.#findEndpoint(command.target).readStatus()
			case CommandKind.endpointInspect:
				return this.#findEndpoint(command.target).inspect(
					command.request.taskId,
					command.request.incarnation
				)
			default:
				return this.#performOnWorker(command)
		}
	}

	/** A killed host never replies. */
	#queryPeer(
		target: string,
		peerQuery: PeerQuery,
		onResult: (result: Result<unknown, CallError>) => void
	): void {
		const host = this.hosts.get(target)
		if (host === undefined) return
		const id = `${target}-p${host.board.nextSequence()}`
		this.#pendingPeerReplies.set(id, status => {
			onResult(ok(status))
		})
		host.board.peerRequests.set(id, {id, query: peerQuery, arrivedAt: this.#clock.now()})
	}

	#notifyPeer(target: string, notices: readonly JobNotice[]): null {
		const board = this.hosts.get(target)?.board
		if (board === undefined) throw new StandInRefusal("no-such-host")
		for (const notice of notices) board.notices.set(`n${board.nextSequence()}`, notice)
		return null
	}

	#performOnWorker(command: Command): unknown {
		const worker = this.workers.get(command.target)
		if (worker === undefined) throw new StandInRefusal("no-such-worker")
		switch (command.kind) {
			case CommandKind.workerRenew:
				return worker.renew(command.request)
			case CommandKind.workerReserve:
				return worker.reserve(command.request)
			case CommandKind.workerStart:
				return worker.start(command.request)
			case CommandKind.workerStop:
				return worker.stop(command.request)
			case CommandKind.workerRelease:
				worker.release(command.request.taskId)
				return null
			default:
				throw new StandInRefusal("not-supported")
		}
	}

	#findEndpoint(target: string): EndpointCore {
		const endpoint = this.endpoints.get(target)
		if (endpoint === undefined) throw new StandInRefusal("no-such-endpoint")
		return endpoint
	}
}
