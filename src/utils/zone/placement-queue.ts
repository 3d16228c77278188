/** Tracks the zone's queued tasks from changes of the board, instead of listing them again at every step. */
import {
	type Board,
	type JobEntry,
	JobKind,
	JobState,
	PLACEMENT_RETRY_DELAY_MS
} from "../../internal.js"

interface Watches {
	readonly jobs: Set<string>
	readonly gangs: Set<string>
	readonly placements: Set<string>
}

export class PlacementQueue {
	readonly #jobs = new Map<string, JobEntry>()
	readonly #placedAt = new Map<string, number>()
	#watches: Watches | undefined
	#changed = true

	get size(): number {
		return this.#jobs.size
	}

	/** Applies the changes since the last call. */
	sync(board: Board): void {
		const watches = this.#watch(board)
		for (const changed of Object.values(watches) as Set<string>[]) {
			for (const id of changed) this.#update(board, id)
			changed.clear()
		}
	}

	/** True if the queued jobs have changed since the last call. */
	takeChanged(): boolean {
		const changed = this.#changed
		this.#changed = false
		return changed
	}

	recordPlaced(id: string, now: number): void {
		this.#jobs.delete(id)
		this.#placedAt.set(id, now)
	}

	/** Workspaces that have queued jobs. */
	listWorkspaces(): ReadonlySet<string> {
		return new Set([...this.#jobs.values()].map(({record}) => record.workspace))
	}

	listReady(now: number): readonly JobEntry[] {
		return [...this.#jobs.values()].filter(job => this.#computeReadyAt(job) <= now)
	}

	/** Time at which the next delayed job becomes ready; undefined if there is none. */
	findNextReadyAt(now: number): number | undefined {
		let earliest: number | undefined
		for (const job of this.#jobs.values()) {
			const readyAt = this.#computeReadyAt(job)
			if (readyAt > now && (earliest === undefined || readyAt < earliest)) earliest = readyAt
		}
		return earliest
	}

	#watch(board: Board): Watches {
		if (this.#watches !== undefined) return this.#watches
		const {jobs, gangs, placements} = board
		this.#watches = {jobs: jobs.watch(), gangs: gangs.watch(), placements: placements.watch()}
		for (const id of jobs.keys()) this.#watches.jobs.add(id)
		return this.#watches
	}

	#update(board: Board, id: string): void {
		const job = board.jobs.get(id)
		if (job === undefined) this.#placedAt.delete(id)
		const {record} = job ?? {}
		const waits =
			record?.spec.kind === JobKind.task &&
			record.state === JobState.queued &&
			!record.cancelRequested &&
			!board.gangs.has(id) &&
			!board.placements.has(id)
		if (waits && job !== undefined) {
			this.#changed ||= this.#jobs.get(id) !== job
			this.#jobs.set(id, job)
		} else if (this.#jobs.delete(id)) board.waiting.delete(id)
	}

	#computeReadyAt(job: JobEntry): number {
		const placedAt = this.#placedAt.get(job.record.id)
		const retryAt = placedAt === undefined ? 0 : placedAt + PLACEMENT_RETRY_DELAY_MS
		return Math.max(retryAt, job.notBefore)
	}
}
