/**
 * All error classes of the project. Errors are returned as values (neverthrow); only an `InvariantError` is thrown,
 * and it stops the process.
 */
import {type ReasonCode} from "../internal.js"

export class CardamomError extends Error {
	constructor(message: string, options?: ErrorOptions) {
		super(message, options)
		this.name = new.target.name
	}
}

/** A violated invariant; the process stops instead of acting on an invalid state. */
export class InvariantError extends CardamomError {
	constructor(detail: string) {
		super(`invariant broken: ${detail}`)
	}
}

/** A call without an answer. Whether it took effect is unknown, unless `sent` is false. */
export class TransportError extends CardamomError {
	readonly sent: boolean
	constructor(target: string, detail: string, sent: boolean) {
		super(`no answer from ${target}: ${detail}`)
		this.sent = sent
	}
}

/** The receiver refused the call with a stable code. */
export class RefusedError extends CardamomError {
	readonly code: string
	constructor(target: string, code: string, detail = "") {
		super(`${target} refused: ${code}${detail === "" ? "" : ` (${detail})`}`)
		this.code = code
	}
}

/** An answer or input that could not be parsed or validated. */
export class MalformedError extends CardamomError {
	constructor(subject: string, detail: string) {
		super(`malformed ${subject}: ${detail}`)
	}
}

/** A request that was refused before any of its work ran. */
export class RefusalError extends CardamomError {
	readonly reason: ReasonCode
	constructor(reason: ReasonCode, detail: string) {
		super(detail)
		this.reason = reason
	}
}

export type CallError = TransportError | RefusedError | MalformedError
