/** An HTTP server of a host, each of whose connections is paced and counts against the limits of its entrance. */
import {type IncomingMessage, type ServerResponse, createServer} from "node:http"
import {type AddressInfo, type Socket} from "node:net"
import {getRequestListener} from "@hono/node-server"
import {type Hono} from "hono"
import {InvariantError, type SocketAddress} from "../internal.js"
import {type LimitedEntrance, LimitReason} from "./connection-limits.js"
import {PacedConnection} from "./paced-connection.js"

/** How often connections are checked against the timeouts. */
const CONNECTION_CHECK_INTERVAL_MS = 1000
const RETRY_AFTER_S = 1
const HTTP_UNAVAILABLE = 503

export class HttpServer {
	readonly #entrance: LimitedEntrance
	readonly #handle: ReturnType<typeof getRequestListener>
	readonly #server

	constructor(app: Hono, entrance: LimitedEntrance) {
		this.#entrance = entrance
		this.#handle = getRequestListener(app.fetch)
		const {headersTimeoutMs, requestTimeoutMs} = entrance.limits.settings
		this.#server = createServer(
			{
				headersTimeout: headersTimeoutMs,
				requestTimeout: requestTimeoutMs,
				connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS
			},
			(request, response) => {
				this.#serve(request, response)
			}
		)
		this.#paceConnections()
	}

	/** Resolves with the port once the server is listening. */
	listen({host, port}: SocketAddress): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.once("error", reject)
			this.#server.listen(port, host, () => {
				resolve((this.#server.address() as AddressInfo).port)
			})
		})
	}

	/** Accepts no new connections, closes idle ones, and calls back once none is open. */
	close(onClosed: () => void): void {
		this.#server.close(onClosed)
	}

	closeAllConnections(): void {
		this.#server.closeAllConnections()
	}

	/** Gives the server's own listeners a paced connection in place of each socket. */
	#paceConnections(): void {
		const {answerTimeoutMs} = this.#entrance.limits.settings
		const listeners = this.#server.listeners("connection")
		this.#server.removeAllListeners("connection")
		this.#server.on("connection", (socket: Socket) => {
			const connection = new PacedConnection(socket, this.#entrance, answerTimeoutMs)
			if (!this.#entrance.admit(connection)) return
			for (const listener of listeners) Reflect.apply(listener, this.#server, [connection])
		})
	}

	#serve(request: IncomingMessage, response: ServerResponse): void {
		const connection: unknown = request.socket
		if (!(connection instanceof PacedConnection))
			throw new InvariantError("a request arrived on a connection that is not paced")
		connection.begin(request, response)
		if (this.#entrance.limits.isFull) this.#refuse(connection, response)
		else void this.#handle(request, response)
	}

	#refuse(connection: PacedConnection, response: ServerResponse): void {
		this.#entrance.report(LimitReason.refused)
		// The body is not read, so the connection cannot be reused.
		response
			.writeHead(HTTP_UNAVAILABLE, {"retry-after": `${RETRY_AFTER_S}`, connection: "close"})
			.end()
		connection.dropReceived()
	}
}
