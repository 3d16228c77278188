/**
 * How much urgent work has arrived lately. The largest demand that arrived within one horizon, over the last few seconds,
 * is what has to be expected within the next one. It is counted from the workflows themselves, so that a new holder knows
 * it from those that it has loaded.
 */
import {type ResourceDemand, type WorkflowEntry, NO_DEMAND, addUse, scaleUse} from "../internal.js"

/** How long an arrival counts: over several bursts, and not over a change of load. */
const ARRIVAL_KEPT_MS = 10000

interface Arrival {
	readonly service: string
	readonly demand: ResourceDemand
	readonly at: number
}

export interface ExpectedArrivals {
	readonly demand: ResourceDemand
	readonly arrivals: number
}

export class UrgentArrivals {
	/** By workflow, in the order in which they were first seen. */
	readonly #arrivals = new Map<string, Arrival>()

	record({record, acceptedAt}: WorkflowEntry, service: string): void {
		const {id, spec} = record
		if (this.#arrivals.has(id)) return
		const first = spec.steps.filter(({after}) => after.length === 0)
		const demand = first.reduce(
			(sum, step) => addUse(sum, scaleUse(step.demand, step.tasks)),
			NO_DEMAND
		)
		this.#arrivals.set(id, {service, demand, at: acceptedAt})
	}

	/** Forgets what arrived too long ago to count. */
	expire(now: number): void {
		for (const [id, {at}] of this.#arrivals)
			if (now - at > ARRIVAL_KEPT_MS) this.#arrivals.delete(id)
	}

	clear(): void {
		this.#arrivals.clear()
	}

	/** The largest demand, in each resource, that arrived for the service within any span of `horizonMs`. */
	computeExpected(service: string, horizonMs: number): ExpectedArrivals {
		const arrivals = [...this.#arrivals.values()]
			.filter(arrival => arrival.service === service)
			.sort((a, b) => a.at - b.at)
		let sum = NO_DEMAND
		let largest = NO_DEMAND
		let oldest = 0
		for (const {at, demand} of arrivals) {
			sum = addUse(sum, demand)
			for (
				let first = arrivals[oldest];
				first && at - first.at > horizonMs;
				first = arrivals[oldest]
			) {
				sum = addUse(sum, scaleUse(first.demand, -1))
				oldest++
			}
			largest = computeMaximum(largest, sum)
		}
		return {demand: largest, arrivals: arrivals.length}
	}
}

function computeMaximum(a: ResourceDemand, b: ResourceDemand): ResourceDemand {
	return {
		cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
		memoryMb: Math.max(a.memoryMb, b.memoryMb),
		accelerators: Math.max(a.accelerators, b.accelerators)
	}
}
