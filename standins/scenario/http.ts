/**
 * HTTP client for the scenario's own requests. Each has a timeout, and no two share a connection at the same time, so
 * that a connection blocked by a fault delays no other request.
 */
import {Agent, request} from "undici"

const TIMEOUT_MS = 5000

export type JsonValue =
	string | number | boolean | null | readonly JsonValue[] | Readonly<Record<string, unknown>>

export interface SendOptions {
	readonly method: "GET" | "POST" | "PUT"
	readonly token?: string
	readonly key?: string
	readonly body?: unknown
	readonly timeoutMs?: number
}

export interface HttpAnswer {
	readonly status: number
	readonly body: unknown
}

const agent = new Agent({pipelining: 1, connections: 64})

export async function sendRequest(
	url: string,
	{method, token, key, body, timeoutMs = TIMEOUT_MS}: SendOptions
): Promise<HttpAnswer> {
	const response = await request(url, {
		method,
		dispatcher: agent,
		headers: {
			"content-type": "application/json",
			...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
			...(key === undefined ? {} : {"idempotency-key": key})
		},
		body: body === undefined ? null : JSON.stringify(body),
		signal: AbortSignal.timeout(timeoutMs)
	})
	const text = await response.body.text()
	return {status: response.statusCode, body: decodeBody(text)}
}

export async function postJson<T>(url: string, body: unknown): Promise<T> {
	const answer = await sendRequest(url, {method: "POST", body})
	return answer.body as T
}

function decodeBody(text: string): unknown {
	try {
		return JSON.parse(text) as unknown
	} catch {
		return text
	}
}
