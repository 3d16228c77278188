/** Estimates run times from observations, since the declared ones are far off. */
import {
	type FleetWorker,
	type GangShape,
	type JobSpec,
	type QueueContext,
	type RunTimeEntry,
	RUN_TIME_MIN_SAMPLES,
	RUN_TIME_WEIGHT,
	findFreeBlock,
	formatRunTimeKey
} from "../../internal.js"

/** Returns the entry with one more observation; `known` is undefined for the first. */
export function updateRunTime(
	key: string,
	known: RunTimeEntry | undefined,
	declaredMs: number,
	observedMs: number
): RunTimeEntry {
	const ratio = observedMs / declaredMs
	if (known === undefined)
		return {key, samples: 1, ratio, meanMs: observedMs, ratioError: 0, meanError: 0}
	const blend = (old: number, next: number) => old + RUN_TIME_WEIGHT * (next - old)
	return {
		key,
		samples: known.samples + 1,
		ratio: blend(known.ratio, ratio),
		meanMs: blend(known.meanMs, observedMs),
		ratioError: blend(known.ratioError, computeError(declaredMs * known.ratio, observedMs)),
		meanError: blend(known.meanError, computeError(known.meanMs, observedMs))
	}
}

/** Error of an estimate on a logarithmic scale: twice as long counts the same as half. */
function computeError(estimateMs: number, observedMs: number): number {
	return Math.abs(Math.log(Math.max(1, estimateMs) / Math.max(1, observedMs)))
}

/**
 * The run time to plan with: the observed mean or the declared time corrected by the observed ratio, whichever has
 * been more accurate for this service of the workspace.
 */
export function computeExpectedRunMs(
	workspace: string,
	spec: JobSpec,
	runTimes: ReadonlyMap<string, RunTimeEntry>
): number {
	const entry = runTimes.get(formatRunTimeKey(workspace, spec.service))
	if (entry === undefined || entry.samples < RUN_TIME_MIN_SAMPLES) return spec.declaredRunMs
	return entry.meanError < entry.ratioError ? entry.meanMs : spec.declaredRunMs * entry.ratio
}

/** When one member of `shape` is expected to fit on the worker; undefined if it never does. */
export function computeReadyAt(
	worker: FleetWorker,
	shape: GangShape,
	context: QueueContext
): number | undefined {
	const free = [...worker.free]
	let {freeCpus, freeMemoryMb} = worker
	const fits = () =>
		freeCpus >= shape.cpus &&
		freeMemoryMb >= shape.memoryMb &&
		findFreeBlock(free, shape.accelerators) >= 0
	if (fits()) return context.now
	const ends = worker.tasks
		.map(task => ({task, endsAt: computeEndsAt(task.jobId, task.startedAt, context)}))
		.sort((a, b) => a.endsAt - b.endsAt)
	for (const {task, endsAt} of ends) {
		for (const at of task.accelerators) free[at] = true
		freeCpus += task.cpus
		freeMemoryMb += task.memoryMb
		if (fits()) return endsAt
	}
	return undefined
}

/** A task past its expected end is expected to run for as long again as it has. */
function computeEndsAt(jobId: string, startedAt: number, context: QueueContext): number {
	const {now, runTimes} = context
	const record = context.findRecord(jobId)
	if (record === undefined) return now
	const runMs = computeExpectedRunMs(record.workspace, record.spec, runTimes)
	const endsAt = startedAt + runMs * (1 - record.checkpoint)
	return endsAt > now ? endsAt : now + (now - startedAt)
}
