/** Workers and endpoints over HTTP. */
import {type Result} from "neverthrow"
import {type CallError, type Command, CommandKind, InvariantError} from "../internal.js"
import {type CommandExecutor} from "./command-runner.js"
import {type HttpClient} from "./http-client.js"
import {
	callReportSchema,
	endpointStatusSchema,
	nullSchema,
	taskReportSchema,
	workerStatusSchema
} from "./schemas.js"

export class WorkerClient implements CommandExecutor {
	readonly kinds = [
		CommandKind.workerRenew,
		CommandKind.workerReserve,
		CommandKind.workerStart,
		CommandKind.workerRelease,
		CommandKind.workerStop
	]
	readonly #http: HttpClient

	constructor(http: HttpClient) {
		this.#http = http
	}

	execute({kind, request, target, timeoutMs}: Command): Promise<Result<unknown, CallError>> {
		switch (kind) {
			case CommandKind.workerRenew:
				return this.#http.post(`${target}/renew`, request, workerStatusSchema, timeoutMs)
			case CommandKind.workerReserve:
				return this.#http.post(`${target}/reserve`, request, taskReportSchema, timeoutMs)
			case CommandKind.workerStart:
				return this.#http.post(`${target}/start`, request, taskReportSchema, timeoutMs)
			case CommandKind.workerRelease:
				return this.#http.post(`${target}/release`, request, nullSchema, timeoutMs)
			case CommandKind.workerStop:
				return this.#http.post(`${target}/stop`, request, taskReportSchema, timeoutMs)
			default:
				throw new InvariantError(`not a worker command: ${kind}`)
		}
	}
}

export class EndpointClient implements CommandExecutor {
	readonly kinds = [
		CommandKind.endpointStatus,
		CommandKind.endpointCall,
		CommandKind.endpointInspect
	]
	readonly #http: HttpClient

	constructor(http: HttpClient) {
		this.#http = http
	}

	execute({kind, request, target, timeoutMs}: Command): Promise<Result<unknown, CallError>> {
		switch (kind) {
			case CommandKind.endpointStatus:
				return this.#http.post(`${target}/status`, {}, endpointStatusSchema, timeoutMs)
			case CommandKind.endpointCall:
				return this.#http.post(`${target}/call`, request, callReportSchema, timeoutMs)
			case CommandKind.endpointInspect:
				return this.#http.post(`${target}/inspect`, request, callReportSchema, timeoutMs)
			default:
				throw new InvariantError(`not an endpoint command: ${kind}`)
		}
	}
}
