/** Derives one worker of the fleet from its report and from what gangs hold on it. */
import {
	type Board,
	type FleetTask,
	type FleetWorker,
	type JobRecord,
	type WorkerEntry,
	PriorityClass,
	TaskState,
	WORKER_LOST_MS
} from "../../internal.js"

/** Resources that one task holds on a worker. */
export interface Holding {
	readonly taskId: string
	readonly jobId: string
	readonly accelerators: readonly number[]
	readonly cpus: number
	readonly memoryMb: number
}

/** Workers that are silent, leaving, failing or not fenced under this host's epoch take no new work. */
export function isWorkerUsable(board: Board, entry: WorkerEntry, now: number): boolean {
	return (
		board.hosts.get(entry.host.id)?.leaving === false &&
		entry.epoch === board.authority.get(board.settings.zone)?.epoch &&
		now - entry.confirmedAt < WORKER_LOST_MS &&
		entry.consecutiveFailures === 0
	)
}

/**
 * `held` lists what gangs hold on the worker, by task id, whether or not the worker has reported it yet. `ended` lists
 * tasks that are known to have ended since the worker's last report.
 */
export function buildFleetWorker(
	board: Board,
	entry: WorkerEntry,
	held: ReadonlyMap<string, Holding>,
	ended: ReadonlySet<string>,
	usable: boolean
): FleetWorker {
	const holdings = new Map(held)
	for (const [taskId, task] of entry.tasks) {
		const holds = task.state === TaskState.reserved || task.state === TaskState.running
		if (holds && !ended.has(taskId)) holdings.set(taskId, task)
	}
	const free = Array.from({length: entry.capacity.accelerators}, () => true)
	let {cpus, memoryMb} = entry.capacity
	for (const holding of holdings.values()) {
		for (const at of holding.accelerators) free[at] = false
		cpus -= holding.cpus
		memoryMb -= holding.memoryMb
	}
	return {
		id: entry.host.id,
		rack: entry.host.rack,
		incarnation: entry.incarnation,
		accelerators: entry.capacity.accelerators,
		cpus: entry.capacity.cpus,
		memoryMb: entry.capacity.memoryMb,
		free,
		freeCpus: cpus,
		freeMemoryMb: memoryMb,
		usable,
		tasks: [...holdings.values()].map(holding => buildFleetTask(board, holding))
	}
}

function buildFleetTask(board: Board, holding: Holding): FleetTask {
	const {taskId, jobId, accelerators, cpus, memoryMb} = holding
	const record = board.jobs.get(jobId)?.record
	const startedAt = board.gangs.get(jobId)?.since ?? 0
	if (record !== undefined)
		return {...buildJobTask(record, taskId, accelerators, startedAt), cpus, memoryMb}
	// Without a job record, the task counts as not stoppable.
	return {
		taskId,
		jobId,
		workspace: "",
		priority: PriorityClass.normal,
		accelerators,
		cpus,
		memoryMb,
		stoppable: false,
		checkpointable: false,
		startedAt,
		gangMembers: 1
	}
}

/** Builds the fleet task for one member of the job. */
export function buildJobTask(
	{id, workspace, spec}: JobRecord,
	taskId: string,
	accelerators: readonly number[],
	startedAt: number
): FleetTask {
	return {
		taskId,
		jobId: id,
		workspace,
		priority: spec.priority,
		accelerators,
		cpus: spec.shape.cpus,
		memoryMb: spec.shape.memoryMb,
		stoppable: spec.repeatable || spec.checkpoint,
		checkpointable: spec.checkpoint,
		startedAt,
		gangMembers: spec.shape.members
	}
}

/** Returns the worker with one more task. */
export function addTask(worker: FleetWorker, task: FleetTask): FleetWorker {
	return {
		...worker,
		free: worker.free.map((isFree, at) => isFree && !task.accelerators.includes(at)),
		freeCpus: worker.freeCpus - task.cpus,
		freeMemoryMb: worker.freeMemoryMb - task.memoryMb,
		tasks: [...worker.tasks, task]
	}
}

/** Returns the worker without the tasks for which `isRemoved` is true. */
export function removeTasks(
	worker: FleetWorker,
	isRemoved: (task: FleetTask) => boolean
): FleetWorker {
	const removed = worker.tasks.filter(isRemoved)
	const tasks = worker.tasks.filter(task => !isRemoved(task))
	const taken = new Set(tasks.flatMap(({accelerators}) => accelerators))
	return {
		...worker,
		free: worker.free.map((_, at) => !taken.has(at)),
		freeCpus: worker.freeCpus + removed.reduce((sum, {cpus}) => sum + cpus, 0),
		freeMemoryMb: worker.freeMemoryMb + removed.reduce((sum, {memoryMb}) => sum + memoryMb, 0),
		tasks
	}
}
