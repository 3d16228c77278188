/**
 * Capacity that less urgent work leaves free for urgent work that is about to arrive. Without it a full service serves
 * urgent work by preemption: the runs that make way take time to stop, their work is lost, and a queue whose target is
 * shorter than that is missed from the start. Work yields only while it has time to spare, and not for long while nothing
 * of it runs, so that nothing is late or stands still because of it.
 */
import {
	type Board,
	type Catalog,
	type CapacityByService,
	type HeadroomEntry,
	type HeadroomPolicy,
	type NodeCapacity,
	type QueueConfig,
	type ReadyStep,
	type ResourceDemand,
	type WorkflowEntry,
	EventLevel,
	Punctuality,
	RackHeadroom,
	UrgentArrivals,
	computeObjective,
	computePunctuality,
	computeRank,
	isMostlyIdle
} from "../internal.js"

/** Time that a preemption takes beyond the stop itself: the report of the end, the plan and its commit. */
const PREEMPTION_OVERHEAD_MS = 400

/** Part of its objective that yielding work keeps, since estimates are wrong and a run may be lost. */
const TIME_KEPT_SHARE = 0.25

/** Longest time for which work of which nothing runs yields. */
const IDLE_WAIT_MAX_MS = 2000

/** Interval of log entries for one service. */
const LOG_INTERVAL_MS = 2000

/** What is left free on one worker. */
interface Reservation {
	readonly node: NodeCapacity
	readonly kept: ResourceDemand
}

export class Headroom {
	readonly #policy: HeadroomPolicy
	readonly #arrivals = new UrgentArrivals()
	/** Reservations of this round by service, made when its first yielding step is placed. */
	readonly #reservations = new Map<string, readonly Reservation[]>()
	/** Services whose reservations are subtracted from their workers at present. */
	readonly #applied = new Set<string>()
	readonly #loggedAt = new Map<string, number>()
	#queues: ReadonlyMap<string, QueueConfig> = new Map()

	constructor(policy: HeadroomPolicy = new RackHeadroom()) {
		this.#policy = policy
	}

	/** Forgets everything at the end of a term. */
	clear(board: Board): void {
		this.#arrivals.clear()
		this.#loggedAt.clear()
		for (const service of [...board.headroom.keys()]) board.headroom.delete(service)
	}

	/** Computes what each service should have free in this round. */
	beginRound(
		board: Board,
		catalog: Catalog,
		active: readonly WorkflowEntry[],
		capacityByService: CapacityByService,
		now: number
	): void {
		this.#reservations.clear()
		this.#applied.clear()
		const stopMs = board.settings.domain?.stopMs ?? 0
		this.#queues = new Map(catalog.queues.map(queue => [queue.name, queue]))
		const wanting = catalog.queues.filter(queue => isHeadroomWanted(queue, stopMs))
		const services = new Set(wanting.map(({service}) => service))
		const serviceOfQueue = new Map(wanting.map(({name, service}) => [name, service]))
		for (const workflow of active) {
			const {queue, priority, spec} = workflow.record
			const service = serviceOfQueue.get(queue)
			if (service !== undefined && priority === 0 && spec.schedule === undefined)
				this.#arrivals.record(workflow, service)
		}
		this.#arrivals.expire(now)
		const horizonMs = stopMs + PREEMPTION_OVERHEAD_MS
		for (const service of [...board.headroom.keys()])
			if (!capacityByService.has(service)) board.headroom.delete(service)
		for (const [service, nodes] of capacityByService) {
			const {demand, arrivals} = this.#arrivals.computeExpected(service, horizonMs)
			if (!services.has(service) || arrivals === 0 || isMostlyIdle(nodes))
				board.headroom.delete(service)
			else board.headroom.set(service, {service, size: demand, arrivals, horizonMs})
		}
	}

	/** Makes the free capacity of the service's workers what the step may use. Returns true if the step leaves headroom. */
	apply(
		board: Board,
		step: ReadyStep,
		service: string,
		nodes: readonly NodeCapacity[],
		waitedMs: number,
		now: number
	): boolean {
		const entry = board.headroom.get(service)
		if (entry === undefined) return false
		const {id, queue} = step.workflow.record
		const mayYield = waitedMs < IDLE_WAIT_MAX_MS || board.runs.hasRunOf(id)
		const isYielding = mayYield && hasTimeToSpare(step, this.#queues.get(queue), now)
		if (isYielding === this.#applied.has(service)) return isYielding
		if (isYielding) {
			const reservations =
				this.#reservations.get(service) ?? this.#reserve(board, entry, nodes, now)
			addReservations(reservations, -1)
			this.#applied.add(service)
		} else {
			addReservations(this.#reservations.get(service) ?? [], 1)
			this.#applied.delete(service)
		}
		return isYielding
	}

	/** Urgent steps come first in a round, so what is free now is what they left. */
	#reserve(
		board: Board,
		{service, size, arrivals, horizonMs}: HeadroomEntry,
		nodes: readonly NodeCapacity[],
		now: number
	): readonly Reservation[] {
		const chosen = this.#policy.choose(size, nodes)
		const reservations = chosen.map(node => ({node, kept: computeSpare(node)}))
		this.#reservations.set(service, reservations)
		if (now - (this.#loggedAt.get(service) ?? -Infinity) < LOG_INTERVAL_MS) return reservations
		this.#loggedAt.set(service, now)
		const fields = {
			service,
			wantedAccelerators: size.accelerators,
			wantedCpuMillis: size.cpuMillis,
			wantedMemoryMb: size.memoryMb,
			keptAccelerators: reservations.reduce((sum, {kept}) => sum + kept.accelerators, 0),
			workers: reservations.length,
			arrivals,
			horizonMs
		}
		board.record(EventLevel.info, "headroom-kept", fields)
		return reservations
	}
}

/** True if a preemption takes longer than the queue allows beyond the work itself. */
export function isHeadroomWanted(
	{priority, targetLatencyMs}: QueueConfig,
	stopMs: number
): boolean {
	return priority === 0 && targetLatencyMs < stopMs
}

/** True if the step leaves headroom: less urgent work with time to spare. Long-running work runs wherever it can. */
function hasTimeToSpare(
	{rank, punctuality, spec, workflow, stepIndex}: ReadyStep,
	queue: QueueConfig | undefined,
	now: number
): boolean {
	// Without a queue there is no objective, so that nothing would end the wait.
	if (rank <= computeRank(0) || spec.longRunning || queue === undefined) return false
	// The age of an occurrence counts from when it was due, which its punctuality covers.
	if (punctuality !== Punctuality.onTime || workflow.record.spec.schedule !== undefined)
		return punctuality === Punctuality.onTime
	const {criticalPathsMs} = workflow.forecast
	const keptMs = TIME_KEPT_SHARE * computeObjective(criticalPathsMs, queue)
	const ageMs = now - workflow.acceptedAt + keptMs
	return computePunctuality(criticalPathsMs, stepIndex, queue, ageMs) === Punctuality.onTime
}

/** What is withheld from other work may have made some of it negative. */
function computeSpare({free}: NodeCapacity): ResourceDemand {
	return {
		cpuMillis: Math.max(0, free.cpuMillis),
		memoryMb: Math.max(0, free.memoryMb),
		accelerators: Math.max(0, free.accelerators)
	}
}

function addReservations(reservations: readonly Reservation[], sign: 1 | -1): void {
	for (const {node, kept} of reservations) {
		node.free.cpuMillis += sign * kept.cpuMillis
		node.free.memoryMb += sign * kept.memoryMb
		node.free.accelerators += sign * kept.accelerators
	}
}
