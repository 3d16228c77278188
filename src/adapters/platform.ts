/** The platform's table, object store and host list over HTTP. */
import {type Result} from "neverthrow"
import {type CallError, type Command, CommandKind, InvariantError} from "../internal.js"
import {type CommandExecutor} from "./command-runner.js"
import {type HttpClient} from "./http-client.js"
import {
	commitAnswerSchema,
	hostListAnswerSchema,
	nullSchema,
	objectBodySchema,
	tableRowsSchema
} from "./schemas.js"

export class PlatformClient implements CommandExecutor {
	readonly kinds = [
		CommandKind.tableRead,
		CommandKind.tableScan,
		CommandKind.tableCommit,
		CommandKind.objectPut,
		CommandKind.objectGet,
		CommandKind.hostList
	]
	readonly #http: HttpClient
	readonly #url: string

	constructor(http: HttpClient, url: string) {
		this.#http = http
		this.#url = url
	}

	execute({kind, request, timeoutMs}: Command): Promise<Result<unknown, CallError>> {
		switch (kind) {
			case CommandKind.tableRead:
				return this.#http.post(`${this.#url}/table/read`, request, tableRowsSchema, timeoutMs)
			case CommandKind.tableScan:
				return this.#http.post(`${this.#url}/table/scan`, request, tableRowsSchema, timeoutMs)
			case CommandKind.tableCommit:
				return this.#http.post(`${this.#url}/table/commit`, request, commitAnswerSchema, timeoutMs)
			case CommandKind.objectPut:
				return this.#http.post(`${this.#url}/objects/put`, request, nullSchema, timeoutMs)
			case CommandKind.objectGet:
				return this.#http.post(`${this.#url}/objects/get`, request, objectBodySchema, timeoutMs)
			case CommandKind.hostList:
				return this.#http.post(`${this.#url}/hosts/list`, request, hostListAnswerSchema, timeoutMs)
			default:
				throw new InvariantError(`not a platform command: ${kind}`)
		}
	}
}
