/**
 * JSON over HTTP to the platform, workers and endpoints. Every call has a deadline; a connection without an answer
 * by then is closed and not reused.
 */
import {err, ok, type Result} from "neverthrow"
import {Agent, request} from "undici"
import {type z} from "zod"
import {
	type CallError,
	MalformedError,
	RefusedError,
	TransportError,
	checkValue
} from "../internal.js"

const CONNECT_TIMEOUT_MS = 1000
const KEEP_ALIVE_MS = 10000
const CONNECTIONS_PER_ORIGIN = 16
const HTTP_CLIENT_ERROR_MIN = 400
const HTTP_SERVER_ERROR_MIN = 500

/** Error codes of connections that were never made. */
const UNCONNECTED_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"])
/** The same if the call that failed is the one that connects; an open connection may fail with them too. */
const UNREACHABLE_CODES = new Set(["EHOSTUNREACH", "ENETUNREACH"])
const CONNECT_CALL = "connect"

export interface HttpRequest {
	readonly method: "GET" | "POST"
	readonly url: string
	readonly headers?: Readonly<Record<string, string>>
	/** Sent as JSON; undefined sends no body. */
	readonly body?: unknown
	readonly timeoutMs: number
}

export interface HttpAnswer {
	readonly status: number
	/** The parsed JSON body; undefined if there is none. */
	readonly body: unknown
}

/** Sends requests over HTTP, or to stand-ins within the process. */
export interface HttpExchange {
	exchange(request: HttpRequest): Promise<Result<HttpAnswer, CallError>>
}

interface RefusalBody {
	readonly code?: unknown
	readonly detail?: unknown
}

/** Aborts a call. A busy process fires timers late and before it reads answers, so those that have arrived are read first. */
class Deadline {
	readonly #controller = new AbortController()
	readonly #timer: NodeJS.Timeout
	#immediate: NodeJS.Immediate | undefined

	constructor(timeoutMs: number) {
		this.#timer = setTimeout(() => {
			this.#immediate = setImmediate(() => {
				this.#controller.abort(new Error("no answer in time"))
			})
		}, timeoutMs)
	}

	get signal(): AbortSignal {
		return this.#controller.signal
	}

	clear(): void {
		clearTimeout(this.#timer)
		clearImmediate(this.#immediate)
	}
}

export class HttpClient implements HttpExchange {
	readonly #agent = new Agent({
		connect: {timeout: CONNECT_TIMEOUT_MS},
		connections: CONNECTIONS_PER_ORIGIN,
		keepAliveTimeout: KEEP_ALIVE_MS,
		pipelining: 1
	})

	/** Posts `body` and validates the answer against `schema`. */
	async post<T>(
		url: string,
		body: unknown,
		schema: z.ZodType<T>,
		timeoutMs: number
	): Promise<Result<T, CallError>> {
		const answer = await this.exchange({method: "POST", url, body, timeoutMs})
		return answer.andThen((answered): Result<T, CallError> => {
			if (answered.status >= HTTP_SERVER_ERROR_MIN)
				return err(new TransportError(url, `status ${answered.status}`, true))
			if (answered.status >= HTTP_CLIENT_ERROR_MIN)
				return err(buildRefusedError(url, answered.body))
			return checkValue(`answer of ${url}`, schema, answered.body)
		})
	}

	/** Sends one request and returns its answer, whatever the status. */
	async exchange({
		method,
		url,
		headers = {},
		body,
		timeoutMs
	}: HttpRequest): Promise<Result<HttpAnswer, CallError>> {
		const deadline = new Deadline(timeoutMs)
		try {
			const response = await request(url, {
				method,
				dispatcher: this.#agent,
				headers: body === undefined ? headers : {"content-type": "application/json", ...headers},
				body: body === undefined ? null : JSON.stringify(body),
				signal: deadline.signal
			})
			const text = await response.body.text()
			return ok({
				status: response.statusCode,
				body: text === "" ? undefined : (JSON.parse(text) as unknown)
			})
		} catch (error) {
			return err(describeFailure(url, error))
		} finally {
			deadline.clear()
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy()
	}
}

function buildRefusedError(url: string, answer: unknown): RefusedError {
	const {code, detail} = (answer ?? {}) as RefusalBody
	return new RefusedError(
		url,
		typeof code === "string" ? code : "refused",
		typeof detail === "string" ? detail : ""
	)
}

function describeFailure(url: string, error: unknown): CallError {
	if (error instanceof SyntaxError) return new MalformedError(`answer of ${url}`, error.message)
	const {code, syscall} = error as {code?: unknown; syscall?: unknown}
	const detail = error instanceof Error ? error.message : String(error)
	const isUnreachable = syscall === CONNECT_CALL && UNREACHABLE_CODES.has(String(code))
	const sent = !UNCONNECTED_CODES.has(String(code)) && !isUnreachable
	const text = typeof code === "string" ? `${code} ${detail}` : detail
	return new TransportError(url, text, sent)
}
