/** Client of the hosts' HTTP API. */
import {err, ok, type Result} from "neverthrow"
import {request} from "undici"
import {CardamomError, ReasonCode} from "../internal.js"

const ANSWER_TIMEOUT_MS = 45000
const HTTP_CLIENT_ERROR_MIN = 400

/** A host answered with a problem document (RFC 9457). */
export class ProblemError extends CardamomError {
	readonly status: number
	readonly problem: Readonly<Record<string, unknown>>
	constructor(status: number, problem: Readonly<Record<string, unknown>>) {
		const reason = typeof problem.reason === "string" ? problem.reason : `status ${status}`
		const detail = typeof problem.detail === "string" ? problem.detail : ""
		super(detail === "" || detail === reason ? reason : `${reason}: ${detail}`)
		this.status = status
		this.problem = problem
	}
}

export class HostUnreachableError extends CardamomError {
	constructor(urls: readonly string[], detail: string) {
		super(`no host answers at ${urls.join(", ")}: ${detail}`)
	}
}

export type ApiError = ProblemError | HostUnreachableError

export interface ApiCall {
	readonly method: "GET" | "POST" | "PUT"
	readonly path: string
	readonly body?: unknown
	readonly headers?: Readonly<Record<string, string>>
}

export class ApiClient {
	readonly #urls: readonly string[]
	readonly #token: string

	constructor(urls: readonly string[], token: string) {
		this.#urls = urls
		this.#token = token
	}

	/**
	 * Asks the hosts in turn until one answers. Calls can be retried safely: a submission carries its idempotency key,
	 * and a roll-out its generation.
	 */
	async call<T>(call: ApiCall): Promise<Result<T, ApiError>> {
		let last: ApiError = new HostUnreachableError(this.#urls, "no address given")
		for (const url of this.#urls) {
			const answer = await this.#callHost<T>(url, call)
			if (answer.isOk()) return answer
			last = answer.error
			if (last instanceof ProblemError && last.problem.reason !== ReasonCode.stopping) break
		}
		return err(last)
	}

	/** Asks every host. Returns all successful answers, or the first error if there is none. */
	async callAll<T>(call: ApiCall): Promise<Result<readonly T[], ApiError>> {
		const answers = await Promise.all(this.#urls.map(url => this.#callHost<T>(url, call)))
		const values = answers.flatMap(answer => (answer.isOk() ? [answer.value] : []))
		const [first] = answers
		return values.length === 0 && first?.isErr() === true ? err(first.error) : ok(values)
	}

	async #callHost<T>(
		url: string,
		{method, path, body, headers}: ApiCall
	): Promise<Result<T, ApiError>> {
		try {
			const response = await request(`${url}${path}`, {
				method,
				headers: {
					authorization: `Bearer ${this.#token}`,
					"content-type": "application/json",
					...headers
				},
				body: body === undefined ? null : JSON.stringify(body),
				signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS)
			})
			const answer = (await response.body.json()) as T
			if (response.statusCode < HTTP_CLIENT_ERROR_MIN) return ok(answer)
			return err(new ProblemError(response.statusCode, answer as Record<string, unknown>))
		} catch (error) {
			const detail = error instanceof Error ? error.message : String(error)
			return err(new HostUnreachableError(this.#urls, detail))
		}
	}
}
