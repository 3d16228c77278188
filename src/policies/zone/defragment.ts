/**
 * Finds one running job whose move merges free accelerators into larger blocks. The measure is the sum of the squares
 * of the maximal free block sizes: one whole worker counts for more than the same accelerators in pieces.
 */
import {
	type FleetTask,
	type FleetWorker,
	type JobRecord,
	type PlacementPolicy,
	FleetIndex,
	addTask,
	findFreeBlock,
	listFreeSizes,
	removeTasks
} from "../../internal.js"

/** Minimum gain of a move for each moved accelerator, in squared block sizes. */
const GAIN_PER_ACCELERATOR_MIN = 2

export interface DefragmentMove {
	readonly jobId: string
	readonly gain: number
}

/** Share of the free accelerators that the largest fitting gang could use, with one member of one size per worker. */
export function computeFitShare(fleet: FleetIndex): number {
	const free = fleet.freeAccelerators
	if (free === 0) return 1
	let largest = 0
	for (let size = 1; size <= free; size *= 2) {
		let members = 0
		for (const worker of fleet.values())
			if (worker.usable && findFreeBlock(worker.free, size) >= 0) members++
		largest = Math.max(largest, size * members)
	}
	return largest / free
}

/** The move with the highest gain per moved accelerator, or undefined if none justifies the restart. */
export function findDefragmentMove(
	fleet: FleetIndex,
	policy: PlacementPolicy,
	movable: ReadonlyMap<string, JobRecord>
): DefragmentMove | undefined {
	const scratch = new FleetIndex()
	for (const worker of fleet.values()) scratch.set(worker)
	let best: {readonly move: DefragmentMove; readonly rate: number} | undefined
	for (const [jobId, held] of listMovable(fleet, movable)) {
		const record = movable.get(jobId)
		if (record === undefined) continue
		const gain = computeGain(scratch, policy, record, held)
		const {members, accelerators} = record.spec.shape
		const rate = gain / (members * accelerators)
		if (rate < GAIN_PER_ACCELERATOR_MIN || rate <= (best?.rate ?? 0)) continue
		best = {move: {jobId, gain}, rate}
	}
	return best?.move
}

/** Maps each movable job that holds accelerators to its workers. */
function listMovable(
	fleet: FleetIndex,
	movable: ReadonlyMap<string, JobRecord>
): Map<string, FleetWorker[]> {
	const byJob = new Map<string, FleetWorker[]>()
	for (const worker of fleet.values()) {
		for (const {jobId, accelerators} of worker.tasks) {
			if (accelerators.length === 0 || !movable.has(jobId)) continue
			const workers = byJob.get(jobId) ?? []
			workers.push(worker)
			byJob.set(jobId, workers)
		}
	}
	return byJob
}

/** Applies the move to the scratch fleet, measures the gain and reverts the move. */
function computeGain(
	scratch: FleetIndex,
	policy: PlacementPolicy,
	record: JobRecord,
	held: readonly FleetWorker[]
): number {
	const touched = new Map(held.map(worker => [worker.id, worker]))
	for (const worker of held) scratch.set(removeTasks(worker, ({jobId}) => jobId === record.id))
	const {id: jobId, workspace, spec} = record
	const members = policy.place({jobId, workspace, shape: spec.shape, failedOn: []}, scratch) ?? []
	const task = held[0]?.tasks.find(candidate => candidate.jobId === jobId)
	for (const {workerId, accelerators} of members) {
		const worker = scratch.get(workerId)
		if (worker === undefined || task === undefined) continue
		if (!touched.has(workerId)) touched.set(workerId, worker)
		scratch.set(addTask(worker, {...task, accelerators} satisfies FleetTask))
	}
	let gain = 0
	for (const [id, before] of touched) {
		const after = scratch.get(id)
		if (after !== undefined) gain += sumSquares(after) - sumSquares(before)
		scratch.set(before)
	}
	return members.length === 0 ? 0 : gain
}

function sumSquares({free}: FleetWorker): number {
	return listFreeSizes(free).reduce((sum, size) => sum + size * size, 0)
}
