/**
 * One link of the fault proxy: the connections from one process to another, with a delay each way. A link can be cut
 * in either direction, silence its open connections, and trap a request or its answer. Bytes of a cut or silenced
 * connection are dropped, and a connection that lost bytes is reset when the link heals.
 */
import {type AddressInfo, type Server, createServer} from "node:net"
import {LinkConnection} from "./connection.js"
import {type Trap} from "./trap.js"

export interface LinkCut {
	/** Bytes from the client are lost. */
	forward: boolean
	/** Bytes from the target are lost. */
	backward: boolean
}

export interface LinkOptions {
	readonly from: string
	readonly to: string
	readonly latencyMs: number
	readonly targetPort: number
	/** Which of the target's ports, if it has several. */
	readonly service?: string
}

export class Link {
	readonly from: string
	readonly to: string
	readonly latencyMs: number
	readonly cut: LinkCut = {forward: false, backward: false}
	readonly traps: Trap[] = []
	targetPort: number
	readonly #connections = new Set<LinkConnection>()
	#server: Server | undefined

	constructor({from, to, latencyMs, targetPort}: LinkOptions) {
		this.from = from
		this.to = to
		this.latencyMs = latencyMs
		this.targetPort = targetPort
	}

	/** Listens on loopback; resolves with the port. */
	listen(): Promise<number> {
		const server = createServer({noDelay: true}, socket => {
			const connection = new LinkConnection(this, socket, () => {
				this.#connections.delete(connection)
			})
			this.#connections.add(connection)
		})
		this.#server = server
		return new Promise(resolve => {
			server.listen(0, "127.0.0.1", () => {
				resolve((server.address() as AddressInfo).port)
			})
		})
	}

	/** Drops all further bytes of the open connections; new connections work. */
	silenceConnections(): void {
		for (const connection of this.#connections) connection.silence()
	}

	/** Resets the open connections. */
	resetConnections(): void {
		for (const connection of [...this.#connections]) connection.reset()
	}

	heal(): void {
		this.cut.forward = false
		this.cut.backward = false
		for (const connection of [...this.#connections]) if (connection.hasLostBytes) connection.reset()
	}

	close(): void {
		this.#server?.close()
		this.resetConnections()
	}
}
