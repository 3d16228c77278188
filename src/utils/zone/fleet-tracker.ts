/**
 * Keeps the fleet index up to date with the board. Only the workers affected by a changed report, gang, placement or
 * hold are rebuilt.
 */
import {
	type Board,
	type FleetWorker,
	type Holding,
	type AcceleratorBlock,
	type PlacementDecision,
	FleetIndex,
	HostRole,
	buildFleetWorker,
	isSettled,
	isWorkerUsable
} from "../../internal.js"

interface WorkerHolding {
	readonly workerId: string
	readonly holding: Holding
}

interface Watches {
	readonly workers: Set<string>
	readonly hosts: Set<string>
	readonly gangs: Set<string>
	readonly placements: Set<string>
	readonly holds: Set<string>
}

const NOTHING_HELD: ReadonlyMap<string, Holding> = new Map<string, Holding>()

const NOTHING_ENDED: ReadonlySet<string> = new Set<string>()

export class FleetTracker {
	readonly index = new FleetIndex()
	readonly #held = new Map<string, Map<string, Holding>>()
	/** Current holdings of each gang, placement and hold, by its kind and job id. */
	readonly #bySource = new Map<string, readonly WorkerHolding[]>()
	/** By worker, ended tasks that its last report still contains. */
	readonly #ended = new Map<string, Set<string>>()
	readonly #stale = new Set<string>()
	#watches: Watches | undefined
	#epoch: number | undefined

	/** Updates the index; its version rises only if a worker changed. */
	sync(board: Board, now: number): void {
		const watches = this.#watch(board)
		for (const id of takeAll(watches.gangs)) {
			this.#recordEnded(board, id)
			this.#hold(`gang ${id}`, listGangHoldings(board, id))
		}
		for (const id of takeAll(watches.placements))
			this.#holdPlanned(board, "placement", id, board.placements.get(id)?.members)
		for (const id of takeAll(watches.holds))
			this.#holdPlanned(board, "hold", id, board.holds.get(id)?.members)
		for (const id of takeAll(watches.workers)) this.#stale.add(id)
		for (const id of takeAll(watches.hosts)) this.#stale.add(id)
		this.#markUsabilityChanges(board, now)
		for (const id of this.#stale) this.#rebuild(board, id, now)
		this.#stale.clear()
	}

	/** Subtracts a placement that was just decided from the free capacity. */
	reserve(board: Board, {jobId, members}: PlacementDecision, now: number): void {
		this.#holdPlanned(board, "placement", jobId, members)
		for (const {workerId} of members) this.#rebuild(board, workerId, now)
	}

	#watch(board: Board): Watches {
		if (this.#watches !== undefined) return this.#watches
		const {workers, hosts, gangs, placements, holds} = board
		this.#watches = {
			workers: workers.watch(),
			hosts: hosts.watch(),
			gangs: gangs.watch(),
			placements: placements.watch(),
			holds: holds.watch()
		}
		for (const id of workers.keys()) this.#watches.workers.add(id)
		for (const id of gangs.keys()) this.#watches.gangs.add(id)
		return this.#watches
	}

	#recordEnded(board: Board, jobId: string): void {
		for (const {workerId, taskId, ...member} of board.gangs.get(jobId)?.members ?? []) {
			if (!isSettled({workerId, taskId, ...member})) continue
			const ended = this.#ended.get(workerId) ?? new Set<string>()
			this.#ended.set(workerId, ended.add(taskId))
		}
	}

	#holdPlanned(
		board: Board,
		kind: string,
		jobId: string,
		members: readonly AcceleratorBlock[] = []
	): void {
		const source = `${kind} ${jobId}`
		const holdings = members.map((member, at) =>
			buildHolding(board, jobId, `${source} ${at}`, member)
		)
		this.#hold(source, holdings)
	}

	#hold(source: string, next: readonly WorkerHolding[]): void {
		const known = this.#bySource.get(source) ?? []
		if (isSameHoldings(known, next)) return
		for (const {workerId, holding} of known) {
			this.#held.get(workerId)?.delete(holding.taskId)
			this.#stale.add(workerId)
		}
		for (const {workerId, holding} of next) {
			const held = this.#held.get(workerId) ?? new Map<string, Holding>()
			held.set(holding.taskId, holding)
			this.#held.set(workerId, held)
			this.#stale.add(workerId)
		}
		if (next.length === 0) this.#bySource.delete(source)
		else this.#bySource.set(source, next)
	}

	/** A worker becomes silent without a change on the board, and a new epoch affects all workers. */
	#markUsabilityChanges(board: Board, now: number): void {
		const epoch = board.authority.get(board.settings.zone)?.epoch
		const changedEpoch = epoch !== this.#epoch
		this.#epoch = epoch
		for (const {id, usable} of this.index.values()) {
			const entry = board.workers.get(id)
			if (changedEpoch || entry === undefined || isWorkerUsable(board, entry, now) !== usable)
				this.#stale.add(id)
		}
	}

	#rebuild(board: Board, id: string, now: number): void {
		const entry = board.workers.get(id)
		if (entry?.host.role !== HostRole.worker) {
			this.index.delete(id)
			this.#ended.delete(id)
			return
		}
		const held = this.#held.get(id) ?? NOTHING_HELD
		const ended = this.#ended.get(id) ?? NOTHING_ENDED
		for (const taskId of ended) if (!entry.tasks.has(taskId)) this.#ended.get(id)?.delete(taskId)
		const next = buildFleetWorker(board, entry, held, ended, isWorkerUsable(board, entry, now))
		const known = this.index.get(id)
		if (known === undefined || !isSameWorker(known, next)) this.index.set(next)
	}
}

function takeAll(changed: Set<string>): readonly string[] {
	const keys = [...changed]
	changed.clear()
	return keys
}

function listGangHoldings(board: Board, jobId: string): readonly WorkerHolding[] {
	const members = board.gangs.get(jobId)?.members ?? []
	return members
		.filter(member => !isSettled(member))
		.map(member => buildHolding(board, jobId, member.taskId, member))
}

function buildHolding(
	board: Board,
	jobId: string,
	taskId: string,
	{workerId, accelerators}: AcceleratorBlock
): WorkerHolding {
	const shape = board.jobs.get(jobId)?.record.spec.shape
	const {cpus = 0, memoryMb = 0} = shape ?? {}
	return {workerId, holding: {taskId, jobId, accelerators, cpus, memoryMb}}
}

function isSameHoldings(a: readonly WorkerHolding[], b: readonly WorkerHolding[]): boolean {
	return (
		a.length === b.length &&
		a.every(({workerId, holding}, at) => {
			const other = b[at]
			return other?.workerId === workerId && other.holding.taskId === holding.taskId
		})
	)
}

function isSameWorker(a: FleetWorker, b: FleetWorker): boolean {
	return (
		a.usable === b.usable &&
		a.incarnation === b.incarnation &&
		a.rack === b.rack &&
		a.freeCpus === b.freeCpus &&
		a.freeMemoryMb === b.freeMemoryMb &&
		a.free.length === b.free.length &&
		a.free.every((isFree, at) => isFree === b.free[at]) &&
		a.tasks.length === b.tasks.length &&
		a.tasks.every((task, at) => isSameTask(task, b.tasks[at]))
	)
}

function isSameTask(
	a: FleetWorker["tasks"][number],
	b: FleetWorker["tasks"][number] | undefined
): boolean {
	return a.taskId === b?.taskId && a.workspace === b.workspace && a.stoppable === b.stoppable
}
