/** Listening port of one worker's stand-in, which can refuse connections for a while although its runs go on. */
import {type Socket} from "node:net"
import {createAdaptorServer} from "@hono/node-server"
import {type StandInApp} from "../serve.js"

const LOOPBACK = "127.0.0.1"
const RETRY_MS = 50

export class WorkerPort {
	readonly #app: StandInApp
	readonly #sockets = new Set<Socket>()
	#server: ReturnType<typeof createAdaptorServer> | undefined
	#port = 0

	constructor(app: StandInApp) {
		this.#app = app
	}

	get isListening(): boolean {
		return this.#server !== undefined
	}

	/** Listens at the port of before; resolves with it. */
	async open(): Promise<number> {
		for (;;) {
			const server = createAdaptorServer({fetch: this.#app.fetch})
			server.on("connection", (socket: Socket) => {
				this.#sockets.add(socket)
				socket.once("close", () => this.#sockets.delete(socket))
			})
			const isOpen = await new Promise<boolean>(resolve => {
				server.once("error", () => {
					resolve(false)
				})
				server.listen(this.#port, LOOPBACK, () => {
					resolve(true)
				})
			})
			if (isOpen) {
				const address = server.address()
				this.#port = address !== null && typeof address === "object" ? address.port : 0
				this.#server = server
				return this.#port
			}
			// An outgoing connection may have taken the port in the meantime.
			await new Promise(resolve => setTimeout(resolve, RETRY_MS))
		}
	}

	/** Resets the open connections and refuses new ones. */
	close(): void {
		this.#server?.close()
		this.#server = undefined
		for (const socket of this.#sockets) socket.resetAndDestroy()
	}
}
