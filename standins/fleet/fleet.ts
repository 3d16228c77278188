/**
 * Stand-in for the platform: its store and its workers, which answer the calls that PROTOCOL.md describes. Tests call
 * it directly, under a manual clock, or over loopback HTTP.
 */
import {z} from "zod"
import {type HttpAnswer} from "../../src/adapters/http-client.js"
import {type Clock, type ResourceDemand} from "../../src/internal.js"
import {StoreCore} from "./store.js"
import {FleetMonitor, FleetWorker} from "./worker.js"

const rowNameSchema = z.object({table: z.string(), part: z.string(), key: z.string()})
const transactionSchema = z.object({
	precondition: z.array(rowNameSchema.extend({schema_version: z.int()})).default([]),
	put: z.array(rowNameSchema.extend({value: z.base64()})).default([]),
	delete: z.array(rowNameSchema).default([])
})
const startSchema = z.object({
	task: z.string(),
	run_id: z.int(),
	spec: z.string(),
	until_ms: z.int(),
	fencing_token: z.int()
})
const stopSchema = z.object({task: z.string(), run_id: z.int(), fencing_token: z.int()})
const holdSchema = z.object({
	fencing_token: z.int(),
	ack_seq: z.int(),
	until_ms: z.int().optional(),
	wait_ms: z.int().max(2000).optional()
})

const ROWS_MAX = 500
const NOT_FOUND: HttpAnswer = {status: 404, body: undefined}
const INSTANCE_HEADER = "x-expect-instance"

export interface FleetCall {
	readonly method: string
	/** Host of the URL: `store`, or a worker's id. */
	readonly target: string
	readonly path: string
	readonly query: URLSearchParams
	readonly headers: Readonly<Record<string, string>>
	readonly body: unknown
}

export interface FleetWorkerOptions {
	readonly zone?: string
	readonly rack?: string
	readonly service?: string
	readonly labels?: readonly string[]
	readonly capacity?: ResourceDemand
	/** Address that it listens on; by default its id as the host, which `DirectExchange` needs. */
	readonly address?: string
	/** Rate of its own clock. */
	readonly clockRate?: number
}

const DEFAULT_PORT = 7000

export const STORE_TARGET = "store"
export const DEFAULT_CAPACITY: ResourceDemand = {
	cpuMillis: 32000,
	memoryMb: 131072,
	accelerators: 8
}

export class FleetStandIn {
	readonly store: StoreCore
	readonly monitor: FleetMonitor
	readonly workers = new Map<string, FleetWorker>()
	/** Why the store refused transactions as too large. */
	readonly excesses: string[] = []
	readonly #fleetWorkers = new Set<FleetWorker>()
	readonly #options = new Map<string, FleetWorkerOptions>()
	readonly #clock: Clock

	constructor(clock: Clock, monitor = new FleetMonitor()) {
		this.#clock = clock
		this.monitor = monitor
		this.store = new StoreCore(clock)
	}

	addWorker(id: string, options: FleetWorkerOptions = {}): FleetWorker {
		const capacity = options.capacity ?? DEFAULT_CAPACITY
		const worker = new FleetWorker(id, this.#clock, this.monitor, this.#fleetWorkers, capacity, {
			...(options.clockRate !== undefined && {clockRate: options.clockRate})
		})
		this.workers.set(id, worker)
		this.#options.set(id, options)
		this.register(id)
		return worker
	}

	/** Ends the worker that listens at the target, and lets one of another id listen there. */
	replaceWorker(target: string, id: string, options: FleetWorkerOptions = {}): void {
		this.workers.get(target)?.crash()
		this.addWorker(id, {...options, address: `${target}:${DEFAULT_PORT}`})
		const worker = this.workers.get(id)
		this.workers.delete(id)
		if (worker !== undefined) this.workers.set(target, worker)
		this.register(id)
	}

	/** Writes the worker's entry, as a worker does with every heartbeat. */
	register(id: string, state = "ready", remainingMs?: number): void {
		this.store.putRow("servers", id, this.describeWorker(id, state, remainingMs))
	}

	/** Builds the worker's entry. */
	describeWorker(id: string, state = "ready", remainingMs?: number) {
		const worker = [...this.#fleetWorkers].find(candidate => candidate.id === id)
		const options = this.#options.get(id) ?? {}
		const {cpuMillis, memoryMb, accelerators} = options.capacity ?? DEFAULT_CAPACITY
		return {
			service: options.service ?? "trace",
			address: options.address ?? `${id}:${DEFAULT_PORT}`,
			zone: options.zone ?? "zone-a",
			state,
			...(remainingMs !== undefined && {remaining_ms: remainingMs}),
			capacity: {cpu: cpuMillis, mem_mb: memoryMb, gpu: accelerators},
			labels: [...(options.labels ?? ["kind-a"]), options.rack ?? "rack-1"],
			clock_ms: Math.floor(worker?.clockMs ?? this.#clock.now()),
			born: worker?.born ?? 0
		}
	}

	async handle(call: FleetCall): Promise<HttpAnswer> {
		if (call.target === STORE_TARGET) return this.#handleStore(call)
		const worker = this.workers.get(call.target)
		if (worker === undefined) return NOT_FOUND
		if (call.headers[INSTANCE_HEADER] !== worker.id) return {status: 421, body: {}}
		return this.#handleWorker(worker, call)
	}

	async #handleStore({method, path, query, body}: FleetCall): Promise<HttpAnswer> {
		switch (`${method} ${path}`) {
			case "POST /v1/rows-tx": {
				const transaction = transactionSchema.parse(body)
				const excess = this.store.findExcess(transaction)
				if (excess !== undefined) {
					this.excesses.push(excess)
					return {status: 400, body: {error: excess}}
				}
				const {status, ...answer} = this.store.transact(transaction)
				return {status, body: answer}
			}
			case "GET /v1/rows-get":
				return {status: 200, body: this.#readRange(query)}
			case "GET /v1/rows-feed":
				return this.#pollFeed(query)
			default:
				return NOT_FOUND
		}
	}

	#readRange(query: URLSearchParams) {
		return this.store.readRange(
			query.get("table") ?? "",
			query.get("part") ?? "",
			query.get("from") ?? "",
			query.get("target") ?? undefined,
			Number(query.get("limit") ?? ROWS_MAX)
		)
	}

	async #pollFeed(query: URLSearchParams): Promise<HttpAnswer> {
		const table = query.get("table") ?? ""
		const waitMs = Number(query.get("wait_ms") ?? 0)
		const changes = await this.store.pollChanges(table, Number(query.get("after")), waitMs)
		return changes === undefined ? {status: 410, body: {}} : {status: 200, body: changes}
	}

	async #handleWorker(worker: FleetWorker, {method, path, body}: FleetCall): Promise<HttpAnswer> {
		switch (`${method} ${path}`) {
			case "POST /v1/run-start":
				return worker.start(startSchema.parse(body))
			case "POST /v1/run-stop":
				return worker.stop(stopSchema.parse(body))
			case "POST /v1/hold":
				return worker.hold(holdSchema.parse(body))
			default:
				return NOT_FOUND
		}
	}
}
