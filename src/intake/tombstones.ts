/**
 * Tombstones: the rows that a cancellation leaves if its caller has no workflow of that id. A submission commits on condition that
 * there is none for its owner, so one that is under way anywhere, is carried out late or is repeated can't be accepted after the
 * cancellation was answered. The holder deletes a tombstone once no submission of that time can be left.
 */
import {
	type RowWrite,
	type TableRow,
	type WorkflowCaller,
	type WorkflowOwner,
	TOMBSTONES_MAX,
	TOMBSTONE_KEPT_MS,
	WorkflowRowKind,
	findCallerOwner,
	formatOwnerTag,
	formatTombstoneKey,
	formatWorkflowKey,
	parseWorkflowKey
} from "../internal.js"

/** An owner may always have this part of the tombstones that a host writes. */
const FLOOR_SHARE = 1 / 64

/** The writes of a cancellation whose caller may use none of the workflows among the rows, on condition of these rows. */
export function buildTombstones(
	{workspace}: WorkflowCaller,
	id: string,
	rows: readonly TableRow[]
): RowWrite[] {
	const versions = new Map(rows.map(({key, version}) => [key, version]))
	const findVersion = (key: string) => versions.get(key) ?? 0
	const recordKey = formatWorkflowKey(id)
	const owners: WorkflowOwner[] = [{workspace: "", isPublic: true}]
	if (workspace !== undefined) owners.push({workspace, isPublic: false})
	return [
		{key: recordKey, ifVersion: findVersion(recordKey), value: undefined},
		...owners.map(owner => {
			const key = formatTombstoneKey(id, formatOwnerTag(owner))
			return {key, ifVersion: findVersion(key), value: ""}
		})
	]
}

/** The tombstone that a submission by the caller must not find. */
export function formatTombstoneKeyFor(caller: WorkflowCaller, id: string): string {
	return formatTombstoneKey(id, formatOwnerTag(findCallerOwner(caller)))
}

interface Tombstone {
	readonly version: number
	/** Monotonic time at which this holder first saw this version. */
	readonly seenAt: number
}

/** The tombstones in the table, as the holder knows them. */
export class Tombstones {
	/** By key, the one seen first is the first. */
	readonly #known = new Map<string, Tombstone>()

	clear(): void {
		this.#known.clear()
	}

	adopt({key, version}: TableRow, now: number): void {
		if (this.#known.get(key)?.version === version) return
		this.#known.delete(key)
		if (version > 0) this.#known.set(key, {version, seenAt: now})
	}

	delete(key: string): void {
		this.#known.delete(key)
	}

	/** True if the owner's workflow of this id was cancelled before it was accepted. */
	has(id: string, owner: WorkflowOwner): boolean {
		return this.#known.has(formatTombstoneKey(id, formatOwnerTag(owner)))
	}

	/** Deletions of those that are no longer needed. */
	listExpired(now: number): RowWrite[] {
		const writes: RowWrite[] = []
		for (const [key, {version, seenAt}] of this.#known) {
			if (now < seenAt + TOMBSTONE_KEPT_MS) break
			writes.push({key, ifVersion: version, value: null})
		}
		return writes
	}

	/** Monotonic time at which the next one is no longer needed. */
	findNextExpiry(): number {
		for (const {seenAt} of this.#known.values()) return seenAt + TOMBSTONE_KEPT_MS
		return Infinity
	}
}

/**
 * How many tombstones this host writes in the time that one is kept. An owner is refused once it has written more than what is
 * left for all, so that one that cancels without end leaves room for the others.
 */
export class TombstoneQuota {
	/** Monotonic times, oldest first, by tag of the owner. */
	readonly #writtenAt = new Map<string, number[]>()
	#total = 0

	/** Returns false if the caller may not cause another one for now. */
	take(caller: WorkflowCaller, now: number): boolean {
		this.#removeExpired(now)
		const {workspace} = caller
		const tag = formatOwnerTag({workspace: workspace ?? "", isPublic: workspace === undefined})
		const times = this.#writtenAt.get(tag) ?? []
		const max = Math.max(TOMBSTONES_MAX * FLOOR_SHARE, TOMBSTONES_MAX - this.#total)
		if (times.length >= max) return false
		times.push(now)
		this.#total++
		this.#writtenAt.set(tag, times)
		return true
	}

	#removeExpired(now: number): void {
		for (const [tag, times] of this.#writtenAt) {
			const firstKept = times.findIndex(at => now < at + TOMBSTONE_KEPT_MS)
			const expired = firstKept === -1 ? times.length : firstKept
			times.splice(0, expired)
			this.#total -= expired
			if (times.length === 0) this.#writtenAt.delete(tag)
		}
	}
}

export function isTombstone({key}: TableRow): boolean {
	return parseWorkflowKey(key).kind === WorkflowRowKind.tombstone
}
