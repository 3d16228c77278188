/** Builds the board of a zone's holder, on which benches step controllers. Its evidence never ages. */
import {
	type GangShape,
	type HostRecord,
	type JobRecord,
	type JobSpec,
	type MemberChoice,
	type TaskReport,
	type WorkerCapacity,
	Adjacency,
	Board,
	GangStage,
	HOLDER_LEASE_MS,
	HostRole,
	JobState,
	Lifecycle,
	MemberState,
	RanState,
	TaskState,
	bundleContentSchema,
	jobSpecSchema
} from "../src/internal.js"

export const ZONE = "zone-a"
const EPOCH = 1
const WORKERS_PER_RACK = 8

/** One worker in this many has eight accelerators, so that 1,800 workers have 2,000 of them. */
const WORKERS_PER_ACCELERATED = 7.2

const CPU_ONLY: WorkerCapacity = {accelerators: 0, cpus: 30, memoryMb: 128000}
const ACCELERATED: WorkerCapacity = {accelerators: 8, cpus: 130, memoryMb: 512000}

export function createShape(shape: Partial<GangShape>): GangShape {
	return {members: 1, accelerators: 0, adjacency: Adjacency.any, cpus: 1, memoryMb: 500, ...shape}
}

export function createZoneBoard(content: unknown): Board {
	const board = new Board({
		hostId: "host-1",
		zone: ZONE,
		region: "region-a",
		callerAddress: {host: "127.0.0.1", port: 0},
		peerAddress: {host: "127.0.0.1", port: 0},
		platformUrl: "http://127.0.0.1",
		bundleKeys: {},
		peerSecrets: ["bench-peer-secret"],
		operators: {},
		logLevel: "silent",
		shutdownTimeoutMs: 1000
	})
	board.lifecycle.set("state", Lifecycle.serving)
	board.authority.set(ZONE, {
		zone: ZONE,
		holder: "host-1",
		address: "",
		epoch: EPOCH,
		holderVersion: 1,
		leaseVersion: 1,
		observedAt: 0,
		leaseMs: HOLDER_LEASE_MS,
		isHeldHere: true,
		confirmedUntil: Infinity,
		earlierEndedAt: 0
	})
	board.bundle.set("current", {
		bundle: {
			generation: 1,
			content: bundleContentSchema.parse(content),
			keyId: "",
			signature: "",
			note: ""
		},
		evidenceAt: Infinity
	})
	return board
}

/** Adds workers in racks of eight; those with accelerators share racks, as machines of one kind usually do. */
export function addZoneWorkers(board: Board, count: number): void {
	const accelerated = Math.ceil(count / WORKERS_PER_ACCELERATED)
	for (let index = 0; index < count; index++)
		addWorker(board, index, index < accelerated ? ACCELERATED : CPU_ONLY)
}

export function addWorker(board: Board, index: number, capacity: WorkerCapacity): void {
	const host: HostRecord = {
		id: `w${index}`,
		role: HostRole.worker,
		zone: ZONE,
		rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
		address: "",
		peerAddress: "",
		leaving: false
	}
	board.hosts.set(host.id, host)
	board.workers.set(host.id, {
		host,
		capacity,
		incarnation: "1",
		epoch: EPOCH,
		tasks: new Map<string, TaskReport>(),
		confirmedAt: Infinity,
		remoteClockMs: 0,
		remoteClockReadAt: 0,
		consecutiveFailures: 0
	})
}

export function queueJob(
	board: Board,
	id: string,
	workspace: string,
	spec: Partial<JobSpec>,
	seenAt = 0
): JobRecord {
	const record: JobRecord = {
		id,
		workspace,
		caller: "clerk",
		key: id,
		bodyHash: "",
		spec: {...jobSpecSchema.parse({service: "bench"}), ...spec},
		zone: ZONE,
		state: JobState.queued,
		attempts: 0,
		checkpoint: 0,
		ran: RanState.no,
		cancelRequested: false,
		acceptedAtWallMs: seenAt,
		writeId: ""
	}
	board.jobs.set(id, {record, version: 1, seenAt, failedOn: [], notBefore: 0})
	return record
}

/** Turns a queued job into a running gang, as the gang controller does once all members have started. */
export function runJob(
	board: Board,
	record: JobRecord,
	members: readonly MemberChoice[],
	now: number
): void {
	const job = board.jobs.get(record.id)
	if (job === undefined) return
	board.jobs.set(record.id, {...job, record: {...record, state: JobState.claimed}})
	board.gangs.set(record.id, {
		jobId: record.id,
		attempt: 1,
		stage: GangStage.running,
		since: now,
		createdAt: now,
		claimed: true,
		settling: false,
		checkpointFirst: false,
		members: members.map((member, index) => ({
			...member,
			taskId: `${record.id}.${index}`,
			state: MemberState.started,
			ran: RanState.yes,
			calledAt: now
		}))
	})
	for (const [index, member] of members.entries()) {
		const {cpus, memoryMb} = record.spec.shape
		const taskId = `${record.id}.${index}`
		const state = {state: TaskState.running, started: true, ranMs: 0}
		const task = {...state, taskId, jobId: record.id}
		reportTask(board, member.workerId, {...task, accelerators: member.accelerators, cpus, memoryMb})
	}
}

export function endJob(board: Board, jobId: string): void {
	clearGang(board, jobId)
	board.jobs.delete(jobId)
}

/** Stops a running gang and requeues its job. */
export function requeueJob(board: Board, jobId: string): void {
	clearGang(board, jobId)
	const job = board.jobs.get(jobId)
	if (job === undefined) return
	board.jobs.set(jobId, {...job, record: {...job.record, state: JobState.queued}})
}

function clearGang(board: Board, jobId: string): void {
	for (const {workerId, taskId} of board.gangs.get(jobId)?.members ?? []) {
		const entry = board.workers.get(workerId)
		if (entry === undefined) continue
		const tasks = new Map(entry.tasks)
		tasks.delete(taskId)
		board.workers.set(workerId, {...entry, tasks})
	}
	board.gangs.delete(jobId)
}

function reportTask(board: Board, workerId: string, report: TaskReport): void {
	const entry = board.workers.get(workerId)
	if (entry === undefined) return
	board.workers.set(workerId, {
		...entry,
		tasks: new Map([...entry.tasks, [report.taskId, report]])
	})
}
