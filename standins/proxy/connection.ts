/** One connection through a link: it forwards bytes between two sockets and applies the link's faults. */
import {type Socket, connect} from "node:net"
import {type Link} from "./link.js"
import {type Trap, TrapAction, TrapPoint} from "./trap.js"

export class LinkConnection {
	readonly #link: Link
	readonly #client: Socket
	readonly #target: Socket
	readonly #onClose: () => void
	/** Text of the current request, to match against the traps. */
	#request = ""
	/** Trap for the next answer. */
	#answerTrap: Trap | undefined
	#heldForward: Buffer[] | undefined
	#heldBackward: Buffer[] | undefined
	#silent = false
	#lostBytes = false

	constructor(link: Link, client: Socket, onClose: () => void) {
		this.#link = link
		this.#client = client
		this.#onClose = onClose
		this.#target = connect({host: "127.0.0.1", port: link.targetPort, noDelay: true})
		client.on("data", chunk => {
			this.#forward(chunk)
		})
		this.#target.on("data", chunk => {
			this.#sendBack(chunk)
		})
		for (const socket of [client, this.#target])
			socket
				.on("error", () => undefined)
				.on("close", () => {
					this.#close()
				})
	}

	get hasLostBytes(): boolean {
		return this.#lostBytes
	}

	silence(): void {
		this.#silent = true
	}

	reset(): void {
		resetSocket(this.#client)
		resetSocket(this.#target)
		this.#onClose()
	}

	#forward(chunk: Buffer): void {
		if (this.#silent || this.#link.cut.forward) {
			this.#lostBytes = true
			return
		}
		this.#request += chunk.toString("latin1")
		this.#matchTraps()
		if (this.#heldForward !== undefined) this.#heldForward.push(chunk)
		else this.#send(this.#target, chunk, () => this.#link.cut.forward)
	}

	#sendBack(chunk: Buffer): void {
		this.#request = ""
		if (this.#silent || this.#link.cut.backward) {
			this.#lostBytes = true
			return
		}
		this.#trapAnswer()
		if (this.#heldBackward !== undefined) this.#heldBackward.push(chunk)
		else this.#send(this.#client, chunk, () => this.#link.cut.backward)
	}

	#matchTraps(): void {
		const trap = this.#link.traps.find(candidate => candidate.tryMatch(this.#request))
		if (trap === undefined) return
		if (trap.options.at === TrapPoint.answer) {
			this.#answerTrap = trap
			return
		}
		if (trap.options.action === TrapAction.reset) this.reset()
		this.#heldForward = []
		trap.recordHit(() => {
			const held = this.#heldForward ?? []
			this.#heldForward = undefined
			for (const chunk of held) this.#target.write(chunk)
		})
	}

	#trapAnswer(): void {
		const trap = this.#answerTrap
		if (trap === undefined) return
		this.#answerTrap = undefined
		if (trap.options.action === TrapAction.reset) this.reset()
		this.#heldBackward = []
		trap.recordHit(() => {
			const held = this.#heldBackward ?? []
			this.#heldBackward = undefined
			for (const chunk of held) this.#client.write(chunk)
		})
	}

	#send(socket: Socket, chunk: Buffer, isCut: () => boolean): void {
		setTimeout(() => {
			if (this.#silent || isCut()) this.#lostBytes = true
			else if (!socket.destroyed) socket.write(chunk)
		}, this.#link.latencyMs)
	}

	/**
	 * Closes both sockets. A held request keeps the target's socket open, since it may still be released. Once bytes were
	 * lost, a close by the target doesn't reach the client either.
	 */
	#close(): void {
		if (this.#silent || this.#lostBytes) {
			if (this.#client.destroyed) this.#target.destroy()
			return
		}
		setTimeout(() => {
			this.#client.destroy()
			if (this.#heldForward === undefined) this.#target.destroy()
			this.#onClose()
		}, this.#link.latencyMs)
	}
}

/**
 * Node.js 20 loses the handle of a socket that is reset while it connects or shuts down, and then loops endlessly
 * when the process ends; such a socket is only destroyed.
 */
function resetSocket(socket: Socket): void {
	if (socket.connecting || socket.writableEnded || socket.destroyed) socket.destroy()
	else socket.resetAndDestroy()
}
