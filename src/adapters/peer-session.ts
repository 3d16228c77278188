/** A peer's connection, with the bytes of the calls that it has open. */
import {
	Http2ServerRequest,
	type Http2ServerResponse,
	type ServerHttp2Session,
	constants
} from "node:http2"
import {type LimitedConnection, type LimitedEntrance, LimitReason} from "./connection-limits.js"

/** A call that reports how many bytes it has received. */
export class MeteredRequest extends Http2ServerRequest {
	onReceived: (bytes: number) => void = () => undefined

	override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
		if (chunk !== null) this.onReceived(chunk.length)
		return super.push(chunk, encoding)
	}
}

interface Call {
	readonly request: MeteredRequest
	readonly response: Http2ServerResponse
}

export class PeerSession implements LimitedConnection {
	readonly #session: ServerHttp2Session
	readonly #entrance: LimitedEntrance
	readonly #calls = new Set<Call>()
	#heldBytes = 0

	constructor(session: ServerHttp2Session, entrance: LimitedEntrance) {
		this.#session = session
		this.#entrance = entrance
	}

	get heldBytes(): number {
		return this.#heldBytes
	}

	get isWorking(): boolean {
		for (const {request, response} of this.#calls)
			if (request.complete && !response.writableEnded) return true
		return false
	}

	/** Notes a call that the server has begun to receive; one that is not complete in time is cancelled. */
	begin(request: MeteredRequest, response: Http2ServerResponse): void {
		const call = {request, response}
		let received = 0
		this.#calls.add(call)
		request.onReceived = bytes => {
			received += bytes
			this.#hold(bytes)
			this.#entrance.shed()
		}
		const timer = setTimeout(() => {
			this.#entrance.report(LimitReason.slowRequest)
			request.stream.close(constants.NGHTTP2_CANCEL)
		}, this.#entrance.limits.settings.requestTimeoutMs)
		response.once("close", () => {
			clearTimeout(timer)
			this.#calls.delete(call)
			request.onReceived = () => undefined
			this.#hold(-received)
			this.#entrance.refresh(this)
		})
	}

	destroy(): void {
		this.#session.destroy()
	}

	#hold(addedBytes: number): void {
		this.#heldBytes += addedBytes
		this.#entrance.hold(addedBytes)
	}
}
