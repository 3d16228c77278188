/**
 * Indexes the fleet so that a decision examines few workers. Usable workers that are equivalent for best fit (the same
 * maximal free blocks, as many free accelerators, about as many free processors) share a bucket. Racks are grouped by
 * how many of their workers have a free block of at least each size.
 */
import {
	type FleetWorker,
	type GangShape,
	computeFreeOrders,
	computeOrder,
	countFree
} from "../../internal.js"

/** Usable workers that are equivalent for best fit. */
export interface FleetBucket {
	readonly key: string
	/** Bit k is set if the workers have a maximal free block of 2^k accelerators. */
	readonly orders: number
	readonly freeAccelerators: number
	/** Free processors are at least 2^cpuClass - 1 and below 2^(cpuClass + 1) - 1. */
	readonly cpuClass: number
	readonly workers: Map<string, FleetWorker>
}

/** The usable workers of a rack, and how many of them have a free block of at least each size. */
export interface FleetRack {
	readonly name: string
	readonly workers: Map<string, FleetWorker>
	/** At index k + 1: workers with a free block of at least 2^k; at index 0: all. */
	readonly counts: readonly number[]
}

const ORDER_SLOTS = 8

export class FleetIndex {
	readonly #workers = new Map<string, FleetWorker>()
	readonly #buckets = new Map<string, FleetBucket>()
	readonly #bucketOf = new Map<string, FleetBucket>()
	readonly #racks = new Map<string, {rack: FleetRack; counts: number[]}>()
	/** For each block size, racks by the number of workers that have it. */
	readonly #racksByCount: Map<number, Map<string, FleetRack>>[] = Array.from(
		{length: ORDER_SLOTS},
		() => new Map<number, Map<string, FleetRack>>()
	)
	#version = 0
	#freeAccelerators = 0

	/** Incremented by every change, so that a reader can detect changes. */
	get version(): number {
		return this.#version
	}

	/** Free accelerators of usable workers. */
	get freeAccelerators(): number {
		return this.#freeAccelerators
	}

	get size(): number {
		return this.#workers.size
	}

	get(id: string): FleetWorker | undefined {
		return this.#workers.get(id)
	}

	values(): MapIterator<FleetWorker> {
		return this.#workers.values()
	}

	set(worker: FleetWorker): void {
		this.#version++
		const known = this.#workers.get(worker.id)
		if (known !== undefined) this.#unlink(known)
		this.#workers.set(worker.id, worker)
		if (worker.usable) this.#link(worker)
	}

	delete(id: string): void {
		const known = this.#workers.get(id)
		if (known === undefined) return
		this.#version++
		this.#unlink(known)
		this.#workers.delete(id)
	}

	/** Buckets that may hold a member of `shape`, the tightest fit first. */
	listBuckets(shape: GangShape): readonly FleetBucket[] {
		const order = computeOrder(shape.accelerators)
		const cpuClass = computeCpuClass(shape.cpus)
		const fitting: FleetBucket[] = []
		for (const bucket of this.#buckets.values())
			if (bucket.cpuClass >= cpuClass && bucket.orders >> Math.max(0, order) >= (order < 0 ? 0 : 1))
				fitting.push(bucket)
		return fitting.sort((a, b) => compareTightness(a, b, order))
	}

	/** Racks with at least `members` workers that have a free block for `shape`, those with the fewest first. */
	*listRacks(shape: GangShape): Generator<FleetRack> {
		const byCount = this.#racksByCount[computeOrder(shape.accelerators) + 1]
		if (byCount === undefined) return
		const counts = [...byCount.keys()].filter(count => count >= shape.members)
		for (const count of counts.sort((a, b) => a - b)) yield* byCount.get(count)?.values() ?? []
	}

	#link(worker: FleetWorker): void {
		const bucket = this.#getBucket(worker)
		bucket.workers.set(worker.id, worker)
		this.#freeAccelerators += bucket.freeAccelerators
		this.#bucketOf.set(worker.id, bucket)
		this.#updateRack(worker, rack => rack.workers.set(worker.id, worker), 1)
	}

	#unlink(worker: FleetWorker): void {
		const bucket = this.#bucketOf.get(worker.id)
		if (bucket === undefined) return
		bucket.workers.delete(worker.id)
		this.#freeAccelerators -= bucket.freeAccelerators
		this.#bucketOf.delete(worker.id)
		if (bucket.workers.size === 0) this.#buckets.delete(bucket.key)
		this.#updateRack(worker, rack => rack.workers.delete(worker.id), -1)
	}

	#getBucket(worker: FleetWorker): FleetBucket {
		const orders = computeFreeOrders(worker.free)
		const freeAccelerators = countFree(worker.free)
		const cpuClass = computeCpuClass(worker.freeCpus)
		const key = `${orders}/${freeAccelerators}/${cpuClass}`
		let bucket = this.#buckets.get(key)
		if (bucket === undefined) {
			bucket = {key, orders, freeAccelerators, cpuClass, workers: new Map()}
			this.#buckets.set(key, bucket)
		}
		return bucket
	}

	#updateRack(worker: FleetWorker, change: (rack: FleetRack) => void, by: number): void {
		let entry = this.#racks.get(worker.rack)
		if (entry === undefined) {
			const counts = Array.from({length: ORDER_SLOTS}, () => 0)
			entry = {rack: {name: worker.rack, workers: new Map(), counts}, counts}
			this.#racks.set(worker.rack, entry)
		}
		const {rack, counts} = entry
		change(rack)
		const slots = computeOrder(computeFreeOrders(worker.free)) + 2
		for (let slot = 0; slot < slots; slot++) {
			const before = counts[slot] ?? 0
			counts[slot] = before + by
			this.#moveRack(rack, slot, before, before + by)
		}
	}

	#moveRack(rack: FleetRack, slot: number, before: number, after: number): void {
		const byCount = this.#racksByCount[slot]
		if (byCount === undefined) return
		const old = byCount.get(before)
		old?.delete(rack.name)
		if (old?.size === 0) byCount.delete(before)
		if (after === 0) return
		const next = byCount.get(after) ?? new Map<string, FleetRack>()
		next.set(rack.name, rack)
		byCount.set(after, next)
	}
}

function computeCpuClass(cpus: number): number {
	return Math.floor(Math.log2(Math.max(0, cpus) + 1))
}

function compareTightness(a: FleetBucket, b: FleetBucket, order: number): number {
	return (
		computeTightOrder(a, order) - computeTightOrder(b, order) ||
		a.freeAccelerators - b.freeAccelerators ||
		a.cpuClass - b.cpuClass ||
		a.orders - b.orders
	)
}

/** Order of the smallest sufficient free block. Work without accelerators goes where it blocks the fewest free ones. */
function computeTightOrder(bucket: FleetBucket, order: number): number {
	if (order < 0) return bucket.freeAccelerators
	let at = order
	while (((bucket.orders >> at) & 1) === 0) at++
	return at
}
