/**
 * Decides which waiting tasks of the domain start next and where. One round goes through everything that is ready, in
 * the order of rank and acceptance; guaranteed work and other work of priority 0 may have lower work stopped. Room
 * that is being freed for such work is kept from everything after it.
 */
import {
	type Board,
	type CatalogEntry,
	type Controller,
	type NodeEntry,
	type NodeRoom,
	type Occurrence,
	type PlacementUnit,
	type RoomRun,
	type RunPlacementPolicy,
	type Slot,
	type StepProgress,
	type StepSpec,
	type TaskRef,
	type WorkflowEntry,
	CATALOG_FRESH_MS,
	EventLevel,
	GUARANTEED_RANK,
	Lifecycle,
	PackedRunPlacement,
	ReasonCode,
	SectionName,
	TaskPhase,
	addDemand,
	computeNextRun,
	computeRank,
	countOccurrences,
	createOccurrence,
	findGuaranteed,
	isFinal,
	isNodeOpen,
	isSchedulable,
	isStepDone,
	isTermProven,
	listTaskRefs,
	planRun,
	stopRun
} from "../internal.js"

/** Shortest time between two rounds: changes that come together are decided on together. */
const ROUND_INTERVAL_MS = 15

/** How often a round is made while something waits and nothing changes. */
const WAITING_INTERVAL_MS = 250

/** How long a step insists on the rack of its data, or a gang on a single rack. */
const RACK_WAIT_MS = 800

/** Added to the time that an occurrence is due, for wall clocks of hosts that differ. */
const DUE_MARGIN_MS = 20

const MS_PER_S = 1000
const CPU_MILLIS_PER_CORE = 1000
/** Cores that one accelerator is reckoned as when work is weighed. */
const CORES_PER_ACCELERATOR = 8

interface ReadyStep {
	readonly workflow: WorkflowEntry
	readonly occurrence: Occurrence
	readonly stepIndex: number
	readonly spec: StepSpec
	readonly step: StepProgress
	readonly rank: number
}

export class RunPlacementController implements Controller {
	readonly name = "run-placement"
	readonly reads = [
		SectionName.workflows,
		SectionName.nodes,
		SectionName.health,
		SectionName.runs,
		SectionName.catalog,
		SectionName.terms,
		SectionName.lifecycle
	]
	readonly #policy: RunPlacementPolicy
	readonly #readWallClock: () => number
	#roundAt = 0
	/** Monotonic time at which each waiting step became ready, by occurrence and step. */
	readonly #readyAt = new Map<string, number>()
	#nextDueWallMs = Infinity

	constructor(readWallClock: () => number, policy: RunPlacementPolicy = new PackedRunPlacement()) {
		this.#readWallClock = readWallClock
		this.#policy = policy
	}

	step(board: Board, now: number): number | undefined {
		const catalog = board.catalog.get("current")
		if (!board.terms.has("loaded") || catalog === undefined) {
			this.#readyAt.clear()
			return undefined
		}
		if (board.lifecycle.get("state") !== Lifecycle.serving) return undefined
		if (now < this.#roundAt) return this.#roundAt
		this.#roundAt = now + ROUND_INTERVAL_MS
		if (!isTermProven(board, now) || now - catalog.evidenceAt > CATALOG_FRESH_MS)
			return now + WAITING_INTERVAL_MS
		const waiting = this.#placeAll(board, catalog, now)
		const dueInMs = this.#nextDueWallMs - this.#readWallClock()
		return Math.min(waiting > 0 ? now + WAITING_INTERVAL_MS : Infinity, now + Math.max(0, dueInMs))
	}

	/** Places what fits and returns how many steps have tasks that wait. */
	#placeAll(board: Board, catalog: CatalogEntry, now: number): number {
		const active = [...board.workflows.values()].filter(isSchedulable)
		const guaranteed = findGuaranteed(catalog.catalog, active)
		this.#openDue(board, active)
		const ready = listReady(active, guaranteed, now)
		this.#noteReady(ready, now)
		if (ready.length === 0) return 0
		const rooms = listRooms(board, catalog, guaranteed, now)
		let waiting = 0
		for (const step of ready) if (!this.#placeStep(board, step, catalog, rooms, now)) waiting++
		return waiting
	}

	/** Creates occurrences that have become due. */
	#openDue(board: Board, active: readonly WorkflowEntry[]): void {
		const wallNow = this.#readWallClock()
		this.#nextDueWallMs = Infinity
		for (const workflow of active) {
			const total = countOccurrences(workflow.record)
			for (let index = workflow.occurrences.size; index < total; index++) {
				const occurrence = createOccurrence(workflow.record, index)
				const dueWallMs = occurrence.dueWallMs + DUE_MARGIN_MS
				if (workflow.record.spec.schedule !== undefined && dueWallMs > wallNow) {
					this.#nextDueWallMs = Math.min(this.#nextDueWallMs, dueWallMs)
					break
				}
				workflow.occurrences.set(index, occurrence)
			}
		}
	}

	#noteReady(ready: readonly ReadyStep[], now: number): void {
		const keys = new Set<string>()
		for (const {occurrence, stepIndex} of ready) {
			const key = `${occurrence.key}.${stepIndex}`
			keys.add(key)
			if (!this.#readyAt.has(key)) this.#readyAt.set(key, now)
		}
		for (const key of [...this.#readyAt.keys()]) if (!keys.has(key)) this.#readyAt.delete(key)
	}

	/** True once no task of the step waits any more. */
	#placeStep(
		board: Board,
		ready: ReadyStep,
		catalog: CatalogEntry,
		roomsOfServices: ReadonlyMap<string, readonly NodeRoom[]>,
		now: number
	): boolean {
		const {workflow, occurrence, stepIndex, spec, rank} = ready
		const service = findService(catalog, workflow)
		const rooms = roomsOfServices.get(service) ?? []
		const refs = listTaskRefs(workflow, occurrence, stepIndex)
		const waiting = refs.filter(({task}) => task.phase === TaskPhase.waiting)
		const groups = spec.gang ? [waiting] : waiting.map(ref => [ref])
		const readyAt = this.#readyAt.get(`${occurrence.key}.${stepIndex}`) ?? now
		for (const group of groups) {
			const unit: PlacementUnit = {
				refs: group,
				spec,
				rank,
				mayPreempt: workflow.record.priority === 0,
				isRackStrict: now - readyAt < RACK_WAIT_MS,
				avoid: new Set(group.flatMap(({task}) => task.failedOn))
			}
			const slots = this.#policy.choose(unit, rooms)
			if (slots === undefined) return false
			if (!commitSlots(board, unit, slots, now)) return false
		}
		return true
	}
}

/** The queue's present service, or the one it had where the queue is gone. */
function findService({catalog}: CatalogEntry, {record}: WorkflowEntry): string {
	return catalog.queues.find(({name}) => name === record.queue)?.service ?? record.service
}

/** Plans the runs, or has the victims stopped first and keeps the room; true where all runs are planned. */
function commitSlots(
	board: Board,
	{refs, spec, rank}: PlacementUnit,
	slots: readonly Slot[],
	now: number
): boolean {
	const victims = slots.flatMap(slot => slot.victims)
	for (const [index, {room}] of slots.entries()) {
		const ref = refs[index]
		if (ref === undefined) continue
		addDemand(room.free, spec, -1)
		room.runs.push({ref, rank, loss: 0, isProtected: true})
	}
	if (victims.length > 0) {
		for (const victim of victims) stopRun(board, victim, ReasonCode.preempted, now)
		return false
	}
	const first = refs[0]
	if (first === undefined) return true
	const run = computeNextRun(first)
	for (const [index, ref] of refs.entries()) {
		const room = slots[index]?.room
		if (room !== undefined) planRun(board, ref, room.id, room.incarnation, run, now)
	}
	const fields = {
		task: first.taskId,
		run,
		tasks: refs.length,
		rank,
		workers: slots.map(({room}) => room.id).join(" "),
		waitedMs: Math.round(now - first.workflow.acceptedAt)
	}
	board.record(EventLevel.info, "run-placed", fields)
	return true
}

/** Steps whose turn has come and that have tasks waiting, in the order in which they are served. */
function listReady(
	active: readonly WorkflowEntry[],
	guaranteed: ReadonlySet<string>,
	now: number
): ReadyStep[] {
	const ready: ReadyStep[] = []
	for (const workflow of active) {
		const rank = findRank(workflow, guaranteed)
		for (const occurrence of workflow.occurrences.values())
			for (const [stepIndex, spec] of workflow.record.spec.steps.entries()) {
				const step = occurrence.steps[stepIndex]
				if (step === undefined || step.notBefore > now || !isStepReady(spec, step, occurrence))
					continue
				ready.push({workflow, occurrence, stepIndex, spec, step, rank})
			}
	}
	return ready.sort((a, b) => a.rank - b.rank || a.workflow.acceptedAt - b.workflow.acceptedAt)
}

function findRank({record}: WorkflowEntry, guaranteed: ReadonlySet<string>): number {
	return guaranteed.has(record.id) ? GUARANTEED_RANK : computeRank(record.priority)
}

function isStepReady(spec: StepSpec, step: StepProgress, {steps}: Occurrence): boolean {
	const isWaiting = ({phase}: {phase: TaskPhase}) => phase === TaskPhase.waiting
	// A gang is placed anew only once nothing of its last run is left.
	const hasWork = spec.gang ? step.tasks.every(isWaiting) : step.tasks.some(isWaiting)
	return hasWork && spec.after.every(index => isStepDone(steps[index]))
}

/** Room on every worker that may be given work, by service. */
function listRooms(
	board: Board,
	catalog: CatalogEntry,
	guaranteed: ReadonlySet<string>,
	now: number
): ReadonlyMap<string, readonly NodeRoom[]> {
	const rooms = new Map<string, NodeRoom[]>()
	for (const node of board.nodes.values()) {
		if (!isNodeOpen(node, catalog)) continue
		const health = board.health.get(node.registration.id)
		if (health !== undefined && (health.closedUntil > now || health.foreignRuns.length > 0))
			continue
		const isDoubted = health !== undefined && health.doubtedUntil > now
		const room = buildRoom(board, node, guaranteed, isDoubted, now)
		const {service} = node.registration
		const list = rooms.get(service)
		if (list === undefined) rooms.set(service, [room])
		else list.push(room)
	}
	return rooms
}

function buildRoom(
	board: Board,
	{registration}: NodeEntry,
	guaranteed: ReadonlySet<string>,
	isDoubted: boolean,
	now: number
): NodeRoom {
	const {id, incarnation, rack, labels, capacity} = registration
	const used = board.runs.sumOn(id)
	return {
		id,
		incarnation,
		rack,
		labels,
		isDoubted,
		free: {
			cpuMillis: capacity.cpuMillis - used.cpuMillis,
			memoryMb: capacity.memoryMb - used.memoryMb,
			accelerators: capacity.accelerators - used.accelerators
		},
		runs: [...board.runs.listOn(id).values()].map(ref => buildRoomRun(ref, guaranteed, now))
	}
}

function buildRoomRun(ref: TaskRef, guaranteed: ReadonlySet<string>, now: number): RoomRun {
	const {workflow, task, spec} = ref
	return {
		ref,
		rank: isFinal(workflow.state) ? Infinity : findRank(workflow, guaranteed),
		loss: computeLoss(task.startedAt, spec, now),
		isProtected: spec.longRunning || task.phase === TaskPhase.planned
	}
}

/** Core-seconds of work that stopping a run throws away; what a checkpoint saves is not told apart. */
function computeLoss(startedAt: number, {demand, tasks, gang, checkpoints}: StepSpec, now: number) {
	if (checkpoints) return 0
	const cores = demand.cpuMillis / CPU_MILLIS_PER_CORE + demand.accelerators * CORES_PER_ACCELERATOR
	return (cores * (gang ? tasks : 1) * Math.max(0, now - startedAt)) / MS_PER_S
}
