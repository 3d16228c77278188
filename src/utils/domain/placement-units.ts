/** The tasks that are placed together, with what determines where they may go and what may be stopped for them. */
import {
	type Board,
	type PlacementUnit,
	type ReadyStep,
	type TaskRef,
	GUARANTEED_RANK,
	Punctuality,
	TaskPhase,
	computeCores,
	createTaskRef,
	listTaskRefs
} from "../../internal.js"

/** How long a step that is not urgent waits for the rack of its data, or a tightly coupled gang for a single rack. */
const RACK_WAIT_MS = 2000

/**
 * Core-seconds of other work that may be lost to preemption for urgent work that no guarantee covers: about what its
 * workspace loses when it is late.
 */
const URGENT_LOSS_MAX = 1500

/** The same for guaranteed work that has waited less than this time, and without bound after it. */
const GUARANTEED_LOSS_MAX = 3000
const GUARANTEE_PATIENCE_MS = 1000

const MS_PER_S = 1000

/** The step's tasks that wait: a gang together, other tasks one by one, as they are asked for. */
export function* listWaitingGroups(ready: ReadyStep): Generator<readonly TaskRef[], void> {
	const {workflow, occurrence, stepIndex, spec, step} = ready
	const isWaiting = ({task}: TaskRef) => task.phase === TaskPhase.waiting
	if (spec.gang) {
		yield listTaskRefs(workflow, occurrence, stepIndex).filter(isWaiting)
		return
	}
	for (const [index, {phase}] of step.tasks.entries()) {
		if (phase !== TaskPhase.waiting) continue
		const ref = createTaskRef(workflow, occurrence, stepIndex, index)
		if (ref !== undefined) yield [ref]
	}
}

export function buildPlacementUnit(
	board: Board,
	ready: ReadyStep,
	refs: readonly TaskRef[],
	{mayWait, waitedMs}: {readonly mayWait: boolean; readonly waitedMs: number},
	now: number
): PlacementUnit {
	const {workflow, spec, rank} = ready
	return {
		refs,
		spec,
		rank,
		lossMax: computeLossMax(ready, now),
		mayWait,
		prefersFast: workflow.record.priority === 0,
		remoteCost: computeRemoteCost(board, ready, waitedMs),
		failedOn: new Set(refs.flatMap(({task}) => task.failedOn)),
		isLastAttempt: isLastAttempt(refs[0])
	}
}

/** What a placement policy decides on, besides the workers. */
export function formatUnitKey(unit: PlacementUnit, service: string): string {
	const {refs, spec, rank, lossMax, mayWait, prefersFast, remoteCost, isLastAttempt} = unit
	const {gang, tightlyCoupled, requiredLabel, dataRack, longRunning, usesIdleCpu} = spec
	const {cpuMillis, memoryMb, accelerators} = spec.demand
	// The tasks of one step and occurrence on a worker are counted.
	const [first] = spec.maxPerWorker === undefined ? [] : refs
	return JSON.stringify([
		[service, first?.occurrence.key, first?.stepIndex, refs.length, [...unit.failedOn].sort()],
		[cpuMillis, memoryMb, accelerators, requiredLabel, dataRack],
		[gang, tightlyCoupled, longRunning, usesIdleCpu, mayWait, prefersFast, isLastAttempt],
		// JSON has no infinite numbers.
		[rank, `${lossMax}`, `${remoteCost}`]
	])
}

/**
 * Only guaranteed work, and work of priority 0 that is expected to complete in time, may preempt. Guaranteed work waits
 * for cheap victims at first: a gang of dozens of workers should not be lost for what other runs free within a second.
 */
function computeLossMax({rank, workflow, punctuality}: ReadyStep, now: number): number {
	if (rank === GUARANTEED_RANK)
		return now - workflow.acceptedAt < GUARANTEE_PATIENCE_MS ? GUARANTEED_LOSS_MAX : Infinity
	return workflow.record.priority === 0 && punctuality === Punctuality.onTime ? URGENT_LOSS_MAX : -1
}

function isLastAttempt(ref: TaskRef | undefined): boolean {
	if (ref === undefined) return false
	const {workflow, spec, step, task} = ref
	const failures = spec.gang ? step.gangFailures : task.failures
	return failures + 1 >= workflow.record.maxAttempts
}

/** Core-seconds that a longer run in a remote rack costs; urgent work would also be late because of it. */
function computeRemoteCost(
	board: Board,
	{spec, workflow, stepIndex}: ReadyStep,
	waitedMs: number
): number {
	if (spec.dataRack === undefined && !spec.tightlyCoupled) return 0
	if (workflow.record.priority === 0) return URGENT_LOSS_MAX
	if (waitedMs < RACK_WAIT_MS) return Infinity
	const factor = board.settings.domain?.remoteFactor ?? 1
	const expectedMs = workflow.forecast.steps[stepIndex]?.medianMs ?? 0
	return (computeCores(spec) * spec.tasks * (factor - 1) * expectedMs) / MS_PER_S
}
