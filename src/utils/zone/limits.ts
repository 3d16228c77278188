/** Limits on what a workspace may hold and queue, and on what a zone's workers could ever hold. */
import {
	type BundleContent,
	type FleetWorker,
	type GangShape,
	type JobEntry,
	type JobRecord,
	type QueueContext,
	Adjacency,
	PRIORITY_RANKS,
	groupBy
} from "../../internal.js"

export function countAccelerators({members, accelerators}: GangShape): number {
	return members * accelerators
}

/** Tracks the accelerators that each workspace holds during one round of placement. */
export class AcceleratorQuotas {
	readonly #limits: ReadonlyMap<string, number>
	readonly #held: Map<string, number>

	constructor(content: BundleContent, {workspaces}: QueueContext) {
		this.#limits = new Map(
			content.workspaces.map(({name, maxAccelerators}) => [name, maxAccelerators])
		)
		this.#held = new Map([...workspaces].map(([name, {accelerators}]) => [name, accelerators]))
	}

	isAllowed({workspace, spec}: JobRecord): boolean {
		const held = this.#held.get(workspace) ?? 0
		const limit = this.#limits.get(workspace) ?? 0
		return held + countAccelerators(spec.shape) <= limit
	}

	take({workspace, spec}: JobRecord): void {
		const held = this.#held.get(workspace) ?? 0
		this.#held.set(workspace, held + countAccelerators(spec.shape))
	}
}

/** True if the workers could hold the whole gang when they are otherwise empty. */
export function isEverFitting(shape: GangShape, workers: Iterable<FleetWorker>): boolean {
	const fitting = [...workers].filter(
		({accelerators, cpus, memoryMb}) =>
			accelerators >= shape.accelerators && cpus >= shape.cpus && memoryMb >= shape.memoryMb
	)
	if (shape.adjacency === Adjacency.any) return fitting.length >= shape.members
	const racks = groupBy(fitting, ({rack}) => rack)
	return [...racks.values()].some(({length}) => length >= shape.members)
}

/** Jobs beyond their workspace's limit on queued jobs: the lowest class first, the latest first within a class. */
export function listOverflow(queued: readonly JobEntry[], content: BundleContent): JobEntry[] {
	const limits = new Map(content.workspaces.map(({name, maxQueued}) => [name, maxQueued]))
	const overflow: JobEntry[] = []
	for (const [workspace, jobs] of groupBy(queued, ({record}) => record.workspace)) {
		const excess = jobs.length - (limits.get(workspace) ?? jobs.length)
		if (excess > 0) overflow.push(...jobs.sort(compareForShedding).slice(0, excess))
	}
	return overflow
}

function compareForShedding(a: JobEntry, b: JobEntry): number {
	return (
		PRIORITY_RANKS[b.record.spec.priority] - PRIORITY_RANKS[a.record.spec.priority] ||
		b.seenAt - a.seenAt
	)
}
