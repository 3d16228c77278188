/**
 * A caller's connection as its HTTP server sees it. Requests that were sent ahead are passed on one by one as the earlier
 * ones are answered and their answers taken; until then they stay in the socket, which is not read. What is received is
 * cut only after the blank line that ends a request's head, and a cut changes nothing for the parser.
 */
import {type IncomingMessage, type ServerResponse} from "node:http"
import {type Socket} from "node:net"
import {Duplex} from "node:stream"
import {type LimitedConnection, type LimitedEntrance, LimitReason} from "./connection-limits.js"

const HEAD_END = Buffer.from("\r\n\r\n")
/** Requests without a complete answer with which another one is still passed on. */
const UNANSWERED_MAX = 1
/** Size of a read after which the rest of what has arrived waits for a later turn of the event loop. */
const READ_MAX_BYTES = 65536
/** Most that is read of a body whose request has been answered, and how long the client may still take the answer. */
const UNNEEDED_MAX_BYTES = 65536
const LINGER_MS = 500
const SLOW_REQUEST_CODE = "ERR_HTTP_REQUEST_TIMEOUT"

type WriteCallback = (error?: Error | null) => void

interface Exchange {
	readonly request: IncomingMessage
	readonly response: ServerResponse
}

export class PacedConnection extends Duplex implements LimitedConnection {
	readonly #socket: Socket
	readonly #entrance: LimitedEntrance
	readonly #answerTimeoutMs: number
	readonly #exchanges = new Set<Exchange>()
	/** Received and not yet passed on. */
	#ahead: Buffer | undefined
	/** Bytes passed on since the last time that all requests were answered. */
	#passedBytes = 0
	#heldBytes = 0
	#isAsked = false
	#hasEnded = false
	#next: NodeJS.Immediate | undefined
	#isReadFull = false
	#isBodyNeeded = true
	#isDiscarding = false
	#lingerTimer: NodeJS.Timeout | undefined
	#stallTimer: NodeJS.Timeout | undefined

	constructor(socket: Socket, entrance: LimitedEntrance, answerTimeoutMs: number) {
		super({decodeStrings: false})
		this.#socket = socket
		this.#entrance = entrance
		this.#answerTimeoutMs = answerTimeoutMs
		socket.on("data", (chunk: Buffer) => {
			this.#accept(chunk)
		})
		socket.on("end", () => {
			this.#hasEnded = true
			if (this.#ahead === undefined) this.push(null)
		})
		socket.on("timeout", () => this.emit("timeout"))
		socket.on("error", error => {
			this.destroy(error)
		})
		socket.on("close", () => {
			this.destroy()
		})
	}

	get heldBytes(): number {
		return this.#heldBytes
	}

	get isWorking(): boolean {
		for (const {request, response} of this.#exchanges)
			if (request.complete && !response.writableEnded) return true
		return false
	}

	/** Notes a request that the server has begun to receive. */
	begin(request: IncomingMessage, response: ServerResponse): void {
		const exchange = {request, response}
		this.#exchanges.add(exchange)
		response.once("close", () => {
			if (request.complete) this.#finish(exchange)
			else {
				request.once("end", () => {
					this.#finish(exchange)
				})
				this.#isBodyNeeded = false
				this.#checkUnneeded()
			}
		})
	}

	/** Drops what was received, and reads no more. */
	dropReceived(): void {
		this.#socket.pause()
		this.#isDiscarding = true
		clearImmediate(this.#next)
		this.#ahead = undefined
		this.#passedBytes = 0
		this.#measure()
	}

	/** The HTTP server closes idle connections by this. */
	setTimeout(timeoutMs: number): this {
		this.#socket.setTimeout(timeoutMs)
		return this
	}

	/** Closes the connection once all answers are written; the HTTP server calls it after the last one. */
	destroySoon(): void {
		this.end()
		if (this.writableFinished) this.destroy()
		else this.once("finish", () => this.destroy())
	}

	override _read(): void {
		this.#isAsked = true
		if (this.#isDiscarding) return
		if (this.#ahead === undefined) this.#socket.resume()
		else this.#scheduleNext()
	}

	override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: WriteCallback): void {
		this.#socket.write(chunk, encoding, error => {
			this.#settleWrite(callback, error)
		})
		this.#watchWrite()
	}

	override _writev(
		chunks: {chunk: Buffer | string; encoding: BufferEncoding}[],
		callback: WriteCallback
	): void {
		this.#socket.cork()
		const last = chunks.pop()
		for (const {chunk, encoding} of chunks) this.#socket.write(chunk, encoding)
		if (last !== undefined)
			this.#socket.write(last.chunk, last.encoding, error => {
				this.#settleWrite(callback, error)
			})
		this.#socket.uncork()
		this.#watchWrite()
	}

	override _final(callback: WriteCallback): void {
		this.#socket.end(() => {
			callback()
		})
	}

	override _destroy(error: Error | null, callback: WriteCallback): void {
		const {code} = (error ?? {}) as {code?: unknown}
		if (code === SLOW_REQUEST_CODE) this.#entrance.report(LimitReason.slowRequest)
		clearTimeout(this.#stallTimer)
		clearTimeout(this.#lingerTimer)
		clearImmediate(this.#next)
		this.#ahead = undefined
		this.#passedBytes = 0
		this.#measure()
		this.#entrance.drop(this)
		this.#socket.destroy()
		callback(error)
	}

	#finish(exchange: Exchange): void {
		this.#exchanges.delete(exchange)
		this.#isBodyNeeded = true
		if (this.#exchanges.size === 0) this.#passedBytes = 0
		this.#measure()
		if (!this.destroyed) this.#entrance.refresh(this)
		this.#scheduleNext()
	}

	#accept(chunk: Buffer): void {
		if (this.#isDiscarding) return
		this.#isReadFull = chunk.length >= READ_MAX_BYTES
		this.#ahead = this.#ahead === undefined ? chunk : Buffer.concat([this.#ahead, chunk])
		this.#measure()
		this.#relay()
		this.#measure()
		this.#entrance.shed()
	}

	/** Stops reading a large body that nobody needs, and says so to the client, which may still read the answer. */
	#checkUnneeded(): boolean {
		if (this.#isDiscarding) return true
		if (this.#isBodyNeeded || this.#passedBytes < UNNEEDED_MAX_BYTES) return false
		this.dropReceived()
		this.end()
		this.#lingerTimer = setTimeout(() => {
			this.destroy()
		}, LINGER_MS)
		return true
	}

	/** Passes on what belongs to one request; what follows has to wait for a later turn of the event loop. */
	#relay(): void {
		const received = this.#ahead
		if (received === undefined) return
		if (!this.#isAsked || this.#exchanges.size > UNANSWERED_MAX) {
			this.#socket.pause()
			return
		}
		const cut = findCut(received)
		this.#ahead = cut < received.length ? received.subarray(cut) : undefined
		this.#passedBytes += cut
		this.#isAsked = this.push(received.subarray(0, cut))
		if (this.#checkUnneeded()) return
		if (this.#ahead !== undefined) {
			this.#socket.pause()
			this.#scheduleNext()
		} else if (this.#hasEnded) this.push(null)
		else if (this.#isReadFull) {
			this.#socket.pause()
			this.#scheduleNext()
		} else if (this.#isAsked) this.#socket.resume()
		else this.#socket.pause()
	}

	#scheduleNext(): void {
		if (this.#next !== undefined || (this.#ahead === undefined && !this.#isReadFull)) return
		if (this.#isDiscarding || !this.#isAsked || this.#exchanges.size > UNANSWERED_MAX) return
		this.#next = setImmediate(() => {
			this.#next = undefined
			this.#isReadFull = false
			if (this.#ahead === undefined) this.#socket.resume()
			else this.#relay()
			this.#measure()
		})
	}

	#measure(): void {
		const heldBytes = (this.#ahead?.length ?? 0) + this.#passedBytes
		const addedBytes = heldBytes - this.#heldBytes
		this.#heldBytes = heldBytes
		if (addedBytes !== 0) this.#entrance.hold(addedBytes)
	}

	#watchWrite(): void {
		if (this.#socket.writableLength === 0 || this.#stallTimer !== undefined) return
		this.#stallTimer = setTimeout(() => {
			this.#entrance.report(LimitReason.unreadAnswer)
			this.destroy()
		}, this.#answerTimeoutMs)
	}

	#settleWrite(callback: WriteCallback, error?: Error | null): void {
		clearTimeout(this.#stallTimer)
		this.#stallTimer = undefined
		callback(error)
	}
}

/** Returns where the first head ends if another one ends after it, else the length of all. */
function findCut(received: Buffer): number {
	const first = received.indexOf(HEAD_END)
	if (first === -1) return received.length
	const cut = first + HEAD_END.length
	return received.includes(HEAD_END, cut) ? cut : received.length
}
