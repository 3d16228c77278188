/** Builds the context of queue policies: what workspaces hold and how long jobs run. */
import {
	type Board,
	type JobEntry,
	type JobRecord,
	type JobSpec,
	type RunTimeEntry,
	JobKind,
	PriorityClass,
	countAccelerators
} from "../../internal.js"

/** Rank of each class in the queue, the lowest first. */
export const PRIORITY_RANKS: Readonly<Record<PriorityClass, number>> = {
	[PriorityClass.urgent]: 0,
	[PriorityClass.normal]: 1,
	[PriorityClass.batch]: 2
}

export interface WorkspaceUse {
	/** Accelerators and slots that its jobs hold in this zone. */
	readonly used: number
	/** Accelerators alone, as its quota counts them. */
	readonly accelerators: number
	/** Accelerators that the zone guarantees to it; at least 1. */
	readonly weight: number
}

export interface QueueContext {
	readonly now: number
	readonly workspaces: ReadonlyMap<string, WorkspaceUse>
	readonly runTimes: ReadonlyMap<string, RunTimeEntry>
	/** The record of a job of this zone that has not ended. */
	readonly findRecord: (jobId: string) => JobRecord | undefined
}

/** Accelerators that a job holds while it runs; work without any counts as one. */
export function computeCost({kind, shape}: JobSpec): number {
	return kind === JobKind.call ? 1 : Math.max(1, shape.members * shape.accelerators)
}

interface Use {
	readonly workspace: string
	readonly total: number
	readonly accelerators: number
}

interface Watches {
	readonly gangs: Set<string>
	readonly placements: Set<string>
	readonly calls: Set<string>
}

const NOTHING_USED: Omit<Use, "workspace"> = {total: 0, accelerators: 0}

/** Tracks what each workspace holds, so that a decision does not count all running jobs again. */
export class QueueContextBuilder {
	readonly #byJob = new Map<string, Use>()
	readonly #byWorkspace = new Map<string, Omit<Use, "workspace">>()
	#watches: Watches | undefined

	build(board: Board, now: number): QueueContext {
		this.#sync(board)
		const workspaces = new Map<string, WorkspaceUse>()
		for (const {name, guarantees} of board.bundle.get("current")?.bundle.content.workspaces ?? []) {
			let weight = 0
			for (const {zone, shape, count} of guarantees)
				if (zone === board.settings.zone) weight += shape.members * shape.accelerators * count
			const {total, accelerators} = this.#byWorkspace.get(name) ?? NOTHING_USED
			workspaces.set(name, {used: total, accelerators, weight: Math.max(1, weight)})
		}
		return {
			now,
			workspaces,
			runTimes: new Map(board.runTimes.entries()),
			findRecord: jobId => board.jobs.get(jobId)?.record
		}
	}

	#sync(board: Board): void {
		const watches = this.#watch(board)
		for (const changed of [watches.gangs, watches.placements, watches.calls]) {
			for (const id of changed) this.#update(board, id)
			changed.clear()
		}
	}

	#watch(board: Board): Watches {
		if (this.#watches !== undefined) return this.#watches
		const {gangs, placements, calls} = board
		this.#watches = {gangs: gangs.watch(), placements: placements.watch(), calls: calls.watch()}
		for (const section of [gangs, placements, calls])
			for (const id of section.keys()) this.#watches.gangs.add(id)
		return this.#watches
	}

	#update(board: Board, id: string): void {
		const before = this.#byJob.get(id)
		const holds = board.gangs.has(id) || board.placements.has(id) || board.calls.has(id)
		if (holds === (before !== undefined)) return
		if (before !== undefined) {
			this.#byJob.delete(id)
			this.#add(before, -1)
			return
		}
		const record = board.jobs.get(id)?.record
		if (record === undefined) return
		const {workspace, spec} = record
		const accelerators = countAccelerators(spec.shape)
		const use: Use = {workspace, total: computeCost(spec), accelerators}
		this.#byJob.set(id, use)
		this.#add(use, 1)
	}

	#add({workspace, total, accelerators}: Use, sign: 1 | -1): void {
		const known = this.#byWorkspace.get(workspace) ?? NOTHING_USED
		this.#byWorkspace.set(workspace, {
			total: known.total + sign * total,
			accelerators: known.accelerators + sign * accelerators
		})
	}
}

/** Oldest first: by when this host first saw each job, then by recorded time of acceptance. */
export function orderByAcceptance(jobs: readonly JobEntry[]): JobEntry[] {
	return [...jobs].sort(
		(a, b) => a.seenAt - b.seenAt || a.record.acceptedAtWallMs - b.record.acceptedAtWallMs
	)
}
