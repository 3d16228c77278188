/**
 * Decides which waiting tasks of the domain start next and where. Each round goes through all ready steps in the
 * order of the queue policy. Guaranteed work and other work of priority 0 may preempt work of lower rank. The capacity
 * that is being freed for it is held back from all later steps.
 */
import {
	type Board,
	type CatalogEntry,
	type Clock,
	type Controller,
	type NodeCapacity,
	type PlacementUnit,
	type ReadyStep,
	type CapacityByService,
	type RunPlacementPolicy,
	type RunQueuePolicy,
	type RunQueueRound,
	type Slot,
	type TaskRef,
	type UnitWait,
	type WorkflowEntry,
	EventLevel,
	Headroom,
	Lifecycle,
	PackedRunPlacement,
	ReasonCode,
	SectionName,
	TaskPhase,
	CapVictims,
	WaitingLog,
	WeightedRunQueue,
	WithheldCapacity,
	WorkspaceCaps,
	WorkspaceShares,
	addDemand,
	computeNextRun,
	buildPlacementUnit,
	buildPlannedRun,
	computeCores,
	findGuaranteed,
	findRoundGate,
	formatUnitKey,
	isEverPlaceable,
	isFitting,
	isMostlyIdle,
	isSchedulable,
	listReadySteps,
	listNodeCapacities,
	listWaitingGroups,
	openDueOccurrences,
	planRun,
	stopRun,
	sumSlotLosses
} from "../../internal.js"

/** Shortest time between two rounds, so that one round covers changes that arrive together. */
const ROUND_INTERVAL_MS = 25

/** Largest share of the time that rounds take: a slow host must still renew leases and start runs. */
const ROUND_TIME_SHARE = 0.25

/** Interval of rounds while steps wait and nothing changes. */
const WAITING_INTERVAL_MS = 250

/** Time for which work waits beside capacity that is withheld from it, while most of its service is idle. */
const WITHHELD_MAX_MS = 2000

/** Time beyond `stopMs` for which capacity is held for tasks before they are placed again. */
const HOLD_MARGIN_MS = 400

interface CapacityHold {
	readonly unit: PlacementUnit
	readonly workerIds: readonly string[]
	readonly since: number
}

/** What came of a group of tasks in one round. */
const UnitOutcome = {
	/** It has capacity, or some is held for it. */
	placed: "placed",
	/** Runs of its workspace make way for it. */
	freeing: "freeing",
	/** There was none. Then another group like it finds none in this round either. */
	blocked: "blocked"
} as const
type UnitOutcome = (typeof UnitOutcome)[keyof typeof UnitOutcome]

/** Whether the step's other groups are tried in this round. */
function isGoingOn(outcome: UnitOutcome | undefined): boolean {
	return outcome === UnitOutcome.placed || outcome === UnitOutcome.freeing
}

/** A step whose tasks are being placed, in one round. */
interface StepAttempt {
	readonly ready: ReadyStep
	readonly service: string
	readonly nodes: readonly NodeCapacity[]
	readonly readyAt: number
	/** The groups that have not been tried. */
	readonly groups: Generator<readonly TaskRef[], void>
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
	readonly #queue: RunQueuePolicy
	/** Capacity held for tasks until the preempted runs have ended, by the first task's id, in order of decision. */
	readonly #holds = new Map<string, CapacityHold>()
	/** Groups whose held capacity was not freed in time, by the first task's id: they don't wait for runs about to end. */
	readonly #overdue = new Set<string>()
	readonly #clock: Clock
	#roundAt = 0
	/** What workspaces may still have running, and what makes way for their urgent work, in this round. */
	#caps: {readonly caps: WorkspaceCaps; readonly victims: CapVictims} | undefined
	#shares: WorkspaceShares | undefined
	/** Units for which runs of their own workspace are stopped, by the first task's id, in this round. */
	readonly #makingWay = new Set<string>()
	readonly #withheld = new WithheldCapacity()
	readonly #headroom = new Headroom()
	/** Units that found no capacity in this round, by what the policy decides on, and those of them that never will. */
	readonly #misfits = new Set<string>()
	readonly #hopeless = new Set<string>()
	/** Monotonic time at which each waiting step became ready, by occurrence and step. */
	readonly #readyAt = new Map<string, number>()
	#nextDueWallMs = Infinity
	/** Earliest monotonic time at which a step that was delayed after a refused start may run. */
	#delayedUntil = Infinity
	readonly #waitingLog = new WaitingLog()

	constructor(
		clock: Clock,
		policy: RunPlacementPolicy = new PackedRunPlacement(),
		queue: RunQueuePolicy = new WeightedRunQueue()
	) {
		this.#clock = clock
		this.#queue = queue
		this.#policy = policy
	}

	step(board: Board, now: number): number | undefined {
		const catalog = board.catalog.get("current")
		if (!board.terms.has("loaded") || catalog === undefined) {
			this.#readyAt.clear()
			this.#holds.clear()
			this.#overdue.clear()
			this.#waitingLog.clear()
			this.#headroom.clear(board)
			return undefined
		}
		if (board.lifecycle.get("state") !== Lifecycle.serving) return undefined
		if (now < this.#roundAt) return this.#roundAt
		if (findRoundGate(board, now) !== undefined) return now + WAITING_INTERVAL_MS
		const waiting = this.#placeAll(board, catalog, now)
		const tookMs = this.#clock.now() - now
		this.#roundAt = now + Math.max(ROUND_INTERVAL_MS, tookMs / ROUND_TIME_SHARE)
		const dueInMs = this.#nextDueWallMs - this.#clock.readWallClock()
		const isWaiting = waiting > 0 || this.#holds.size > 0
		const waitUntil = isWaiting ? now + WAITING_INTERVAL_MS : Infinity
		return Math.min(waitUntil, this.#delayedUntil, now + Math.max(0, dueInMs))
	}

	/** Places all tasks that fit and returns the number of steps of which a group found no capacity. */
	#placeAll(board: Board, catalog: CatalogEntry, now: number): number {
		const active = [...board.workflows.values()].filter(isSchedulable)
		const guaranteed = findGuaranteed(catalog.catalog, active)
		const caps = new WorkspaceCaps(board, catalog.catalog, now)
		this.#caps = {caps, victims: new CapVictims(board, caps, guaranteed, now)}
		this.#makingWay.clear()
		releaseBeyondCaps(board, caps, now)
		const wallNow = this.#clock.readWallClock()
		this.#nextDueWallMs = openDueOccurrences(active, wallNow)
		const steps = listReadySteps(catalog, active, guaranteed, now, wallNow)
		const ready = steps.filter(({step}) => step.notBefore <= now)
		this.#delayedUntil = findDelayEnd(steps, now)
		this.#recordReadySteps(ready, now)
		if (ready.length === 0) return 0
		const capacityByService = listNodeCapacities(board, catalog, guaranteed, now)
		const capacities = [...capacityByService.values()].flat().map(({capacity}) => capacity)
		const shares = new WorkspaceShares(board, catalog.catalog, capacities)
		this.#shares = shares
		this.#applyHolds(board, capacityByService, now)
		this.#headroom.beginRound(board, catalog.catalog, active, capacityByService, now)
		this.#withheld.clear()
		this.#misfits.clear()
		this.#hopeless.clear()
		this.#waitingLog.beginRound(now)
		const queue = this.#queue.open(ready, shares)
		const waiting = this.#placeInTurn(board, queue, catalog, capacityByService, now)
		if (waiting.length > 0) this.#placeOnWithheld(board, waiting, catalog, capacityByService, now)
		return waiting.length
	}

	/** Work that has stood still for a while uses what is withheld from it if most of its service is idle. */
	#placeOnWithheld(
		board: Board,
		waiting: readonly ReadyStep[],
		catalog: CatalogEntry,
		capacityByService: CapacityByService,
		now: number
	): void {
		this.#withheld.release()
		this.#caps?.caps.releaseWithheld()
		this.#misfits.clear()
		for (const step of waiting) {
			const readyAt = this.#readyAt.get(`${step.occurrence.key}.${step.stepIndex}`) ?? now
			const nodes = capacityByService.get(findService(catalog, step.workflow)) ?? []
			if (now - readyAt < WITHHELD_MAX_MS || !isMostlyIdle(nodes)) continue
			const attempt = this.#beginStep(step, catalog, capacityByService, now)
			while (isGoingOn(this.#placeNext(board, attempt, now)));
		}
	}

	#recordReadySteps(ready: readonly ReadyStep[], now: number): void {
		const keys = new Set<string>()
		for (const {occurrence, stepIndex} of ready) {
			const key = `${occurrence.key}.${stepIndex}`
			keys.add(key)
			if (!this.#readyAt.has(key)) this.#readyAt.set(key, now)
		}
		for (const key of [...this.#readyAt.keys()]) if (!keys.has(key)) this.#readyAt.delete(key)
	}

	/** Plans tasks whose held capacity is all free, and excludes the capacity held for others from this round. */
	#applyHolds(board: Board, capacityByService: CapacityByService, now: number): void {
		const stopMs = board.settings.domain?.stopMs ?? 0
		const nodes = new Map([...capacityByService.values()].flat().map(node => [node.id, node]))
		for (const [key, {unit, workerIds, since}] of [...this.#holds]) {
			const held = workerIds.flatMap(id => nodes.get(id) ?? [])
			const isWanted = unit.refs.every(
				({task, workflow}) => task.phase === TaskPhase.waiting && isSchedulable(workflow)
			)
			const isOverdue = now - since > stopMs + HOLD_MARGIN_MS
			if (isOverdue) this.#overdue.add(key)
			if (!isWanted || isOverdue || held.length < workerIds.length) {
				this.#holds.delete(key)
				continue
			}
			const workspace = unit.refs[0]?.workflow.record.workspace ?? ""
			if (this.#caps?.caps.isWithin(workspace, unit.spec, unit.refs.length) === false) {
				this.#holds.delete(key)
				continue
			}
			let isFree = true
			for (const node of held) {
				isFree &&= isFitting(node.free, unit.spec)
				addDemand(node.free, unit.spec, -1)
			}
			if (!isFree) {
				this.#reserve(unit)
				recordPlannedRuns(unit, held)
				continue
			}
			this.#holds.delete(key)
			this.#overdue.delete(key)
			this.#plan(board, unit, held, now)
		}
	}

	/** Places the steps' tasks as they are in turn, and returns the steps of which a group waits. */
	#placeInTurn(
		board: Board,
		queue: RunQueueRound,
		catalog: CatalogEntry,
		capacityByService: CapacityByService,
		now: number
	): readonly ReadyStep[] {
		const attempts = new Map<ReadyStep, StepAttempt>()
		const waiting = new Set<ReadyStep>()
		for (let ready = queue.next(); ready !== undefined; ready = queue.next()) {
			const attempt = attempts.get(ready) ?? this.#beginStep(ready, catalog, capacityByService, now)
			attempts.set(ready, attempt)
			const outcome = this.#placeNext(board, attempt, now)
			if (outcome === UnitOutcome.freeing || outcome === UnitOutcome.blocked) waiting.add(ready)
			if (!isGoingOn(outcome)) queue.close()
		}
		return [...waiting]
	}

	#beginStep(
		ready: ReadyStep,
		catalog: CatalogEntry,
		capacityByService: CapacityByService,
		now: number
	): StepAttempt {
		const service = findService(catalog, ready.workflow)
		return {
			ready,
			service,
			nodes: capacityByService.get(service) ?? [],
			readyAt: this.#readyAt.get(`${ready.occurrence.key}.${ready.stepIndex}`) ?? now,
			groups: listWaitingGroups(ready)
		}
	}

	/** Places the step's next waiting group that holds no capacity yet; undefined if none is left. */
	#placeNext(board: Board, attempt: StepAttempt, now: number): UnitOutcome | undefined {
		const {ready, service, nodes, readyAt, groups} = attempt
		for (let next = groups.next(); next.done !== true; next = groups.next()) {
			const group = next.value
			const [first] = group
			if (first === undefined || this.#holds.has(first.taskId)) continue
			if (this.#makingWay.has(first.taskId)) continue
			const waitedMs = now - readyAt
			const mayWait = !this.#overdue.has(first.taskId)
			const unit = buildPlacementUnit(board, ready, group, {mayWait, waitedMs}, now)
			const leavesHeadroom = this.#headroom.apply(board, ready, service, nodes, waitedMs, now)
			return this.#placeUnit(board, unit, service, nodes, {waitedMs, leavesHeadroom}, now)
		}
		return undefined
	}

	#placeUnit(
		board: Board,
		unit: PlacementUnit,
		service: string,
		nodes: readonly NodeCapacity[],
		wait: UnitWait,
		now: number
	): UnitOutcome {
		const shares = this.#shares
		const capOutcome = this.#checkCap(board, unit, nodes, now)
		if (capOutcome !== undefined) {
			const reason = ReasonCode.overQuota
			this.#waitingLog.record(board, unit, nodes, wait, {reason, shares}, now)
			return capOutcome
		}
		const key = `${formatUnitKey(unit, service)} ${wait.leavesHeadroom}`
		const slots = this.#misfits.has(key) ? undefined : this.#policy.choose(unit, nodes)
		if (slots !== undefined) {
			this.#commitSlots(board, unit, slots, now)
			return UnitOutcome.placed
		}
		this.#misfits.add(key)
		this.#waitingLog.record(board, unit, nodes, wait, {reason: ReasonCode.noRoom, shares}, now)
		if (!this.#hopeless.has(key) && !this.#withhold(unit, nodes)) this.#hopeless.add(key)
		return UnitOutcome.blocked
	}

	/**
	 * Undefined if the unit is within its workspace's cap. Otherwise the workspace's own work makes way for it if it may preempt,
	 * or later units of the workspace leave it what becomes free. Those of other workspaces are not concerned.
	 */
	#checkCap(
		board: Board,
		unit: PlacementUnit,
		nodes: readonly NodeCapacity[],
		now: number
	): UnitOutcome | undefined {
		const {refs, spec} = unit
		const [first] = refs
		if (first === undefined || this.#caps === undefined) return undefined
		const {caps, victims} = this.#caps
		const {workspace} = first.workflow.record
		if (caps.isWithin(workspace, spec, refs.length)) return undefined
		const chosen = victims.choose(unit)
		if (chosen !== undefined) {
			this.#reserve(unit)
			this.#makingWay.add(first.taskId)
			for (const victim of chosen) stopRun(board, victim, ReasonCode.preempted, now)
			return UnitOutcome.freeing
		}
		// The rest of the workspace doesn't wait for what can't start while the cap and the workers are as they are.
		const mayPass =
			!caps.hasWithheld(workspace) &&
			caps.isEverWithin(workspace, spec, refs.length) &&
			isEverPlaceable(nodes, unit)
		if (mayPass) caps.withhold(workspace, spec, refs.length)
		return UnitOutcome.blocked
	}

	/**
	 * Withholds from all later steps the capacity where a waiting group is forecast to fit soonest. Returns false if it
	 * never fits.
	 */
	#withhold(unit: PlacementUnit, nodes: readonly NodeCapacity[]): boolean {
		if (this.#withheld.isFull) return true
		const slots = this.#policy.forecast(unit, nodes)
		if (slots === undefined) return false
		this.#withheld.add(unit, slots)
		const workspace = unit.refs[0]?.workflow.record.workspace ?? ""
		this.#shares?.reserve(workspace, unit.spec, unit.refs.length)
		return true
	}

	/** Counts the unit among what its workspace has, though it has yet to start. */
	#reserve({refs, spec}: PlacementUnit): void {
		const workspace = refs[0]?.workflow.record.workspace ?? ""
		this.#caps?.caps.reserve(workspace, spec, refs.length)
		this.#shares?.reserve(workspace, spec, refs.length)
	}

	/** Plans the runs, or stops the victims first and holds their capacity. */
	#commitSlots(board: Board, unit: PlacementUnit, slots: readonly Slot[], now: number): void {
		const {refs, spec, rank} = unit
		const nodes = slots.map(({node}) => node)
		for (const node of nodes) addDemand(node.free, spec, -1)
		recordPlannedRuns(unit, nodes)
		if (slots.every(slot => slot.isFree)) {
			this.#plan(board, unit, nodes, now)
			return
		}
		const victims = slots.flatMap(slot => slot.victims)
		const [first] = refs
		if (first === undefined) return
		const workerIds = nodes.map(({id}) => id)
		this.#reserve(unit)
		this.#holds.set(first.taskId, {unit, workerIds, since: now})
		const fields = {
			task: first.taskId,
			rank,
			workers: workerIds.join(" "),
			victims: victims.map(({ref}) => ref.taskId).join(" "),
			loss: Math.round(sumSlotLosses(slots))
		}
		board.record(EventLevel.info, "run-room-held", fields)
		for (const {ref} of victims) stopRun(board, ref, ReasonCode.preempted, now)
	}

	#plan(board: Board, unit: PlacementUnit, nodes: readonly NodeCapacity[], now: number): void {
		const {refs, rank, spec} = unit
		const [first] = refs
		if (first === undefined) return
		const run = computeNextRun(first)
		const share = this.#shares?.describe(first.workflow.record.workspace)
		for (const [index, ref] of refs.entries()) {
			const node = nodes[index]
			if (node !== undefined) planRun(board, ref, node.id, node.incarnation, run, now)
		}
		const fields = {
			task: first.taskId,
			run,
			tasks: refs.length,
			rank,
			...share,
			cores: computeCores(spec),
			checkpoints: spec.checkpoints,
			workers: nodes.map(({id}) => id).join(" "),
			waitedMs: Math.round(now - first.workflow.acceptedAt)
		}
		board.record(EventLevel.info, "run-placed", fields)
	}
}

/** Gives up plans that have not been started of workspaces whose cap has become lower than what they have running. */
function releaseBeyondCaps(board: Board, caps: WorkspaceCaps, now: number): void {
	for (const workspace of caps.listNames()) {
		if (caps.isKept(workspace)) continue
		for (const ref of [...board.runs.listOf(workspace).values()])
			if (ref.task.phase === TaskPhase.planned) stopRun(board, ref, ReasonCode.overQuota, now)
	}
}

/** Counts the unit's tasks among the workers' runs in this round. */
function recordPlannedRuns({refs, rank}: PlacementUnit, nodes: readonly NodeCapacity[]): void {
	for (const [index, ref] of refs.entries())
		nodes[index]?.listRuns().push(buildPlannedRun(ref, rank))
}

/** Earliest time at which one of the steps may run that may not yet; not by Math.min, as a call takes few arguments. */
function findDelayEnd(steps: readonly ReadyStep[], now: number): number {
	let earliest = Infinity
	for (const {step} of steps)
		if (step.notBefore > now && step.notBefore < earliest) earliest = step.notBefore
	return earliest
}

/** Returns the queue's current service, or the recorded one if the queue no longer exists. */
function findService({catalog}: CatalogEntry, {record}: WorkflowEntry): string {
	return catalog.queues.find(({name}) => name === record.queue)?.service ?? record.service
}
