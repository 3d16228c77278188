/**
 * Communication between peers over connect-es: sends queries and notices to other hosts, and posts those received to
 * the board. A connection on which a call timed out is closed, since it may be dead.
 */
import {type AddressInfo} from "node:net"
import {
	type Http2Server,
	type Http2ServerResponse,
	type ServerHttp2Session,
	createServer
} from "node:http2"
import {create} from "@bufbuild/protobuf"
import {
	type Client,
	Code,
	ConnectError,
	type ConnectRouter,
	createClient
} from "@connectrpc/connect"
import {
	Http2SessionManager,
	connectNodeAdapter,
	createConnectTransport
} from "@connectrpc/connect-node"
import {err, type Result} from "neverthrow"
import {
	type Board,
	type CallError,
	type Clock,
	type Command,
	type PeerStatus,
	CommandKind,
	InvariantError,
	MAX_BODY_BYTES,
	PEER_TIMEOUT_MS,
	RefusedError,
	TransportError
} from "../internal.js"
import {PeerService, type Sealed, SealedSchema} from "../gen/cardamomhook/peer/v1/peer_pb.js"
import {type CommandExecutor} from "./command-runner.js"
import {type LimitedEntrance} from "./connection-limits.js"
import {decodePeerStatus, decodeNotices, encodePeerStatus, encodeNotices} from "./peer-messages.js"
import {type PeerSeal} from "./peer-seal.js"
import {MeteredRequest, PeerSession} from "./peer-session.js"

/** Messages may contain a bundle, which can be larger than a caller's request. */
const MAX_MESSAGE_BYTES = 16 * MAX_BODY_BYTES
const IDLE_CONNECTION_MS = 30000
/** Longer than the client's, which closes a connection while no call is on its way. */
const IDLE_SESSION_MS = 2 * IDLE_CONNECTION_MS
/** Calls that a peer may have open on one connection. */
const OPEN_CALLS_MAX = 32

interface Connection {
	readonly manager: Http2SessionManager
	readonly client: Client<typeof PeerService>
}

export class PeerClient implements CommandExecutor {
	readonly kinds = [CommandKind.peerExchange, CommandKind.peerNotifyJob]
	readonly #hostId: string
	readonly #seal: PeerSeal
	readonly #connections = new Map<string, Connection>()

	constructor(hostId: string, seal: PeerSeal) {
		this.#hostId = hostId
		this.#seal = seal
	}

	async execute(command: Command): Promise<Result<unknown, CallError>> {
		switch (command.kind) {
			case CommandKind.peerExchange: {
				const {wantsBundle, ...status} = command.request
				const payload = encodePeerStatus(status, wantsBundle)
				const answer = await this.#call(command, PeerService.method.exchange.name, payload)
				return answer.andThen(decodePeerStatus)
			}
			case CommandKind.peerNotifyJob: {
				const payload = encodeNotices(this.#hostId, command.request.notices)
				const answer = await this.#call(command, PeerService.method.notifyJobs.name, payload)
				return answer.map(() => null)
			}
			default:
				throw new InvariantError(`not a peer command: ${command.kind}`)
		}
	}

	close(): void {
		for (const {manager} of this.#connections.values()) manager.abort()
		this.#connections.clear()
	}

	async #call(
		{target, timeoutMs}: Command,
		method: string,
		payload: Uint8Array
	): Promise<Result<Uint8Array, CallError>> {
		const request = this.#seal.sealRequest(method, payload)
		const connection = this.#connect(target)
		try {
			const {client} = connection
			const isExchange = method === PeerService.method.exchange.name
			const answer = isExchange
				? await client.exchange(request, {timeoutMs})
				: await client.notifyJobs(request, {timeoutMs})
			return this.#seal.openAnswer(method, request, answer)
		} catch (error) {
			return err(this.#handleFailure(target, connection, error))
		}
	}

	#connect(target: string): Connection {
		const existing = this.#connections.get(target)
		if (existing !== undefined) return existing
		const manager = new Http2SessionManager(target, {idleConnectionTimeoutMs: IDLE_CONNECTION_MS})
		const transport = createConnectTransport({
			baseUrl: target,
			httpVersion: "2",
			sessionManager: manager,
			acceptCompression: [],
			readMaxBytes: MAX_MESSAGE_BYTES
		})
		const connection = {manager, client: createClient(PeerService, transport)}
		this.#connections.set(target, connection)
		return connection
	}

	#handleFailure(target: string, connection: Connection, error: unknown): CallError {
		const {code, rawMessage} = ConnectError.from(error)
		if (code === Code.Unauthenticated || code === Code.InvalidArgument)
			return new RefusedError(target, Code[code].toLowerCase(), rawMessage)
		if (this.#connections.get(target) === connection) this.#connections.delete(target)
		connection.manager.abort()
		return new TransportError(target, rawMessage, true)
	}
}

interface PendingReply {
	readonly resolve: (status: PeerStatus) => void
	readonly cancelTimer: () => void
}

/** Receives messages from peers; replies to queries come from the board. */
export class PeerServer {
	readonly #board: Board
	readonly #clock: Clock
	readonly #seal: PeerSeal
	readonly #pendingReplies = new Map<string, PendingReply>()
	readonly #entrance: LimitedEntrance
	readonly #sessions = new Map<ServerHttp2Session, PeerSession>()
	#server: Http2Server | undefined

	constructor(board: Board, clock: Clock, seal: PeerSeal, entrance: LimitedEntrance) {
		this.#board = board
		this.#clock = clock
		this.#seal = seal
		this.#entrance = entrance
	}

	/** Resolves with the port once the server is listening. */
	start(): Promise<number> {
		const handle = connectNodeAdapter({
			routes: router => {
				this.#addRoutes(router)
			},
			grpc: false,
			grpcWeb: false,
			readMaxBytes: MAX_MESSAGE_BYTES,
			acceptCompression: []
		})
		const options = {
			Http2ServerRequest: MeteredRequest,
			settings: {maxConcurrentStreams: OPEN_CALLS_MAX}
		}
		const server = createServer(options, (request, response) => {
			this.#begin(request, response)
			handle(request, response)
		})
		server.on("session", session => {
			this.#openSession(session)
		})
		this.#server = server
		const {host, port} = this.#board.settings.peerAddress
		return new Promise((resolve, reject) => {
			server.once("error", reject)
			server.listen(port, host, () => {
				resolve((server.address() as AddressInfo).port)
			})
		})
	}

	/** Resolves the pending queries whose replies are on the board. */
	drain(): void {
		for (const [id, status] of [...this.#board.peerReplies.entries()]) {
			this.#board.peerReplies.take(id)
			const pending = this.#pendingReplies.get(id)
			this.#pendingReplies.delete(id)
			pending?.cancelTimer()
			pending?.resolve(status)
		}
	}

	close(): void {
		for (const session of this.#sessions.keys()) session.destroy()
		this.#server?.close()
	}

	#openSession(session: ServerHttp2Session): void {
		const peerSession = new PeerSession(session, this.#entrance)
		this.#sessions.set(session, peerSession)
		session.setTimeout(IDLE_SESSION_MS, () => {
			session.destroy()
		})
		session.on("close", () => {
			this.#sessions.delete(session)
			this.#entrance.drop(peerSession)
		})
		this.#entrance.admit(peerSession)
	}

	#begin(request: MeteredRequest, response: Http2ServerResponse): void {
		const {session} = request.stream
		if (session === undefined) return
		this.#sessions.get(session as ServerHttp2Session)?.begin(request, response)
	}

	#addRoutes(router: ConnectRouter): void {
		router.service(PeerService, {
			exchange: sealed => this.#handleQuery(sealed),
			notifyJobs: sealed => this.#handleNotices(sealed)
		})
	}

	async #handleQuery(sealed: Sealed): Promise<Sealed> {
		const method = PeerService.method.exchange.name
		const received = unwrap(this.#seal.openRequest(method, sealed).andThen(decodePeerStatus))
		const id = `${received.hostId}-p${this.#board.nextSequence()}`
		const status = await new Promise<PeerStatus>((resolve, reject) => {
			const cancelTimer = this.#clock.schedule(PEER_TIMEOUT_MS, () => {
				this.#pendingReplies.delete(id)
				reject(new ConnectError("no reply in time", Code.DeadlineExceeded))
			})
			this.#pendingReplies.set(id, {resolve, cancelTimer})
			this.#board.peerRequests.set(id, {id, query: received, arrivedAt: this.#clock.now()})
		})
		return this.#seal.sealAnswer(method, sealed.nonce, encodePeerStatus(status, false))
	}

	#handleNotices(sealed: Sealed): Sealed {
		const method = PeerService.method.notifyJobs.name
		const notices = unwrap(this.#seal.openRequest(method, sealed).andThen(decodeNotices))
		for (const notice of notices)
			this.#board.notices.set(`${notice.hostId}-n${this.#board.nextSequence()}`, notice)
		return this.#seal.sealAnswer(method, sealed.nonce, create(SealedSchema).payload)
	}
}

/** Throws errors as `ConnectError`, as connect-es expects of handlers. */
function unwrap<T>(result: Result<T, Error>): T {
	if (result.isOk()) return result.value
	const code = result.error instanceof RefusedError ? Code.Unauthenticated : Code.InvalidArgument
	throw new ConnectError(result.error.message, code)
}
