/**
 * Aligned blocks of accelerators. A worker's accelerators are split like memory in a buddy allocator: a block of
 * 2^k accelerators begins at a multiple of 2^k, and a free block that no larger free block contains is maximal.
 */
import {type FleetWorker, type GangShape} from "../../internal.js"

/** Size of the aligned block that holds `count` accelerators: the next power of two. */
export function computeBlockSize(count: number): number {
	let size = 1
	while (size < count) size *= 2
	return size
}

/** Exponent of the largest power of two that is at most `count`; -1 for none. */
export function computeOrder(count: number): number {
	return count === 0 ? -1 : 31 - Math.clz32(count)
}

export function isBlockFree(free: readonly boolean[], start: number, count: number): boolean {
	for (let at = start; at < start + count; at++) if (free[at] !== true) return false
	return true
}

export function listBlock(start: number, count: number): readonly number[] {
	return Array.from({length: count}, (_, offset) => start + offset)
}

/** Starts of all aligned blocks for `count` accelerators, free or not. */
export function listBlockStarts(accelerators: number, count: number): readonly number[] {
	if (count === 0) return [0]
	const size = computeBlockSize(count)
	const starts: number[] = []
	for (let start = 0; start + size <= accelerators; start += size) starts.push(start)
	return starts
}

/** Index of the first accelerator of a free aligned block of `count`, or -1. */
export function findFreeBlock(free: readonly boolean[], count: number): number {
	if (count === 0) return 0
	const size = computeBlockSize(count)
	for (let start = 0; start + size <= free.length; start += size)
		if (isBlockFree(free, start, count)) return start
	return -1
}

/** Like `findFreeBlock`, but within the smallest maximal free block that suffices, so that larger ones stay whole. */
export function findTightestBlock(free: readonly boolean[], count: number): number {
	if (count === 0) return 0
	const size = computeBlockSize(count)
	let tightest = -1
	let tightestSize = Infinity
	for (let start = 0; start + size <= free.length; start += size) {
		if (!isBlockFree(free, start, count)) continue
		const enclosing = computeEnclosingSize(free, start, size)
		if (enclosing >= tightestSize) continue
		tightest = start
		tightestSize = enclosing
	}
	return tightest
}

/**
 * Size of the maximal free block around the aligned block at `start`; `size` itself if that block is not entirely
 * free.
 */
function computeEnclosingSize(free: readonly boolean[], start: number, size: number): number {
	let enclosing = size
	while (enclosing * 2 <= free.length) {
		const next = enclosing * 2
		const from = start - (start % next)
		if (from + next > free.length || !isBlockFree(free, from, next)) break
		enclosing = next
	}
	return enclosing
}

/** Sizes of the maximal free blocks. */
export function listFreeSizes(free: readonly boolean[]): readonly number[] {
	const sizes: number[] = []
	let at = 0
	while (at < free.length) {
		const size = computeMaximalSize(free, at)
		if (size > 0) sizes.push(size)
		at += Math.max(1, size)
	}
	return sizes
}

/** Bit k is set if there is a maximal free block of 2^k accelerators. */
export function computeFreeOrders(free: readonly boolean[]): number {
	return listFreeSizes(free).reduce((orders, size) => orders | size, 0)
}

function computeMaximalSize(free: readonly boolean[], start: number): number {
	if (free[start] !== true) return 0
	let size = 1
	while (start % (size * 2) === 0 && isBlockFree(free, start, size * 2)) size *= 2
	return size
}

export function countFree(free: readonly boolean[]): number {
	let count = 0
	for (const isFree of free) if (isFree) count++
	return count
}

/** True if one member of `shape` fits on the worker now. */
export function isMemberFitting(worker: FleetWorker, shape: GangShape): boolean {
	return (
		worker.usable &&
		worker.freeCpus >= shape.cpus &&
		worker.freeMemoryMb >= shape.memoryMb &&
		findFreeBlock(worker.free, shape.accelerators) >= 0
	)
}
