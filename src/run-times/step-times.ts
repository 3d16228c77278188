/**
 * What finished runs say about the steps of workflows. A step is known by its queue and workspace, its index and whether
 * it is a gang; what the runs of all workspaces say stands in until a workspace has enough of its own. Of the ways to
 * estimate, the one that has been off least so far is used, the caller's estimate among them: callers whose estimates are
 * good keep them.
 */
import {type Result} from "neverthrow"
import {z} from "zod"
import {
	type MalformedError,
	type RunTimeExpectation,
	Estimator,
	ROW_BYTES_MAX,
	RunTimeHistory,
	RunTimeSource,
	decodeJson,
	hashText,
	historySchema
} from "../internal.js"

export interface StepIdentity {
	readonly queue: string
	readonly workspace: string
	readonly stepIndex: number
	readonly isGang: boolean
}

/** How far expectations for a queue have been off, on the logarithmic scale: 0.7 is a factor of two. */
export interface QueueError {
	readonly queue: string
	readonly caller: number
	readonly chosen: number
}

/** What a batch of runs has shown. */
export interface Lesson {
	/** What is now expected of the step in any workspace, by the same estimate. */
	readonly expectation: RunTimeExpectation
	readonly estimator: Estimator
	/** The median of their durations, whatever was estimated. */
	readonly durationMs: number
	readonly callerError: number
	readonly chosenError: number
}

type ChosenExpectation = RunTimeExpectation & {readonly estimator: Estimator}

/** Steps that are remembered; those without samples for the longest time are forgotten. */
const HISTORIES_MAX = 256

/** Times that a way to estimate has been compared with what happened before it is used. */
const COMPARISONS_MIN = 2

/** The same for those of one workspace: among so many ways, the best after few comparisons is often best by chance. */
const OWN_COMPARISONS_MIN = 8

/** An estimate times a learned ratio stays within this factor of the durations seen. */
const BEYOND_SEEN_MAX = 4

export const RUN_TIMES_PREFIX = "run-times/"
/** Leaves room in a row for what is around the histories. */
const HISTORIES_BYTES_MAX = ROW_BYTES_MAX - 4096

const rowSchema = z.object({
	queue: z.string(),
	histories: z.array(
		historySchema.extend({
			workspace: z.string().nullable(),
			stepIndex: z.int().min(0),
			isGang: z.boolean()
		})
	)
})
type EncodedRow = z.infer<typeof rowSchema>

export class StepTimes {
	/** By step, those with the latest samples last. */
	readonly #histories = new Map<string, RunTimeHistory>()

	get size(): number {
		return this.#histories.size
	}

	expect(step: StepIdentity, estimateMs: number): RunTimeExpectation {
		return this.#choose(step, estimateMs)
	}

	/** Records runs of one step with the same estimate, all of one occurrence. */
	record(
		step: StepIdentity,
		estimateMs: number,
		durationsMs: readonly number[],
		wallNow: number
	): Lesson {
		const actualMs = computeMedian(durationsMs)
		const own = this.#open(formatKey(step, step.workspace), wallNow)
		const common = this.#open(formatKey(step, undefined), wallNow)
		// Each way is judged by what it would have said before these runs.
		const chosen = this.#choose(step, estimateMs)
		for (const history of [own, common]) {
			const candidates = listCandidates(history === own ? own : undefined, common, estimateMs)
			for (const {estimator, medianMs} of candidates)
				history.recordError(estimator, computeError(medianMs, actualMs))
			history.recordError(Estimator.chosen, computeError(chosen.medianMs, actualMs))
		}
		own.record(durationsMs, estimateMs, wallNow)
		common.record(durationsMs, estimateMs, wallNow)
		this.#forgetOldest()
		const {estimator, ...expectation} = chooseBest(undefined, common, estimateMs)
		return {
			expectation,
			estimator,
			durationMs: common.durations?.median ?? actualMs,
			callerError: common.findError(Estimator.caller)?.error ?? 0,
			chosenError: common.findError(Estimator.chosen)?.error ?? 0
		}
	}

	/** For each queue, the mean over its steps. */
	listErrors(): readonly QueueError[] {
		const sums = new Map<string, {caller: number; chosen: number; count: number}>()
		for (const [key, history] of this.#histories) {
			const {queue, workspace} = parseKey(key)
			const caller = history.findError(Estimator.caller)
			const chosen = history.findError(Estimator.chosen)
			if (workspace !== null || caller === undefined || chosen === undefined) continue
			const sum = sums.get(queue) ?? {caller: 0, chosen: 0, count: 0}
			sum.caller += caller.error * caller.count
			sum.chosen += chosen.error * chosen.count
			sum.count += caller.count
			sums.set(queue, sum)
		}
		return [...sums].map(([queue, {caller, chosen, count}]) => ({
			queue,
			caller: caller / count,
			chosen: chosen / count
		}))
	}

	/** The row of a queue. If not all of its steps fit, those with the latest samples are kept. */
	encode(queue: string): string {
		const histories: EncodedRow["histories"] = []
		let bytes = 0
		for (const [key, history] of [...this.#histories].reverse()) {
			const {queue: known, ...step} = parseKey(key)
			if (known !== queue) continue
			const encoded = {...step, ...history.encode()}
			bytes += Buffer.byteLength(JSON.stringify(encoded)) + 1
			if (bytes > HISTORIES_BYTES_MAX) break
			histories.push(encoded)
		}
		return JSON.stringify({queue, histories} satisfies EncodedRow)
	}

	/** Adds the row of an earlier holder; returns an error, and adds nothing, if any of it can't be read. */
	adopt(value: string): Result<void, MalformedError> {
		return decodeJson("run times", rowSchema, value).map(({queue, histories}) => {
			for (const {workspace, stepIndex, isGang, ...encoded} of [...histories].reverse()) {
				const step = {queue, workspace: "", stepIndex, isGang}
				const key = formatKey(step, workspace ?? undefined)
				this.#open(key, encoded.updatedWallMs).addEarlier(encoded)
			}
			this.#forgetOldest()
		})
	}

	#choose(step: StepIdentity, estimateMs: number): ChosenExpectation {
		const own = this.#histories.get(formatKey(step, step.workspace))
		const common = this.#histories.get(formatKey(step, undefined))
		return chooseBest(own, common, estimateMs)
	}

	/** Finds or creates a history, and makes it the latest. */
	#open(key: string, wallNow: number): RunTimeHistory {
		const history = this.#histories.get(key) ?? new RunTimeHistory(wallNow)
		this.#histories.delete(key)
		this.#histories.set(key, history)
		return history
	}

	#forgetOldest(): void {
		for (const key of this.#histories.keys()) {
			if (this.#histories.size <= HISTORIES_MAX) return
			this.#histories.delete(key)
		}
	}
}

export function formatRunTimesKey(queue: string): string {
	return `${RUN_TIMES_PREFIX}${hashText(queue)}`
}

function formatKey(
	{queue, stepIndex, isGang}: StepIdentity,
	workspace: string | undefined
): string {
	return JSON.stringify([queue, stepIndex, isGang, workspace ?? null])
}

function parseKey(key: string) {
	const [queue, stepIndex, isGang, workspace] = JSON.parse(key) as [
		string,
		number,
		boolean,
		string | null
	]
	return {queue, stepIndex, isGang, workspace}
}

/** Judged by the workspace's own runs if they are enough, else by those of all. */
function chooseBest(
	own: RunTimeHistory | undefined,
	common: RunTimeHistory | undefined,
	estimateMs: number
): ChosenExpectation {
	const isOwnEnough = (own?.findError(Estimator.durations)?.count ?? 0) >= OWN_COMPARISONS_MIN
	const judge = isOwnEnough ? own : common
	let best: ChosenExpectation = createCallerExpectation(estimateMs)
	let bestError = judge?.findError(Estimator.caller)?.error ?? Infinity
	for (const candidate of listCandidates(isOwnEnough ? own : undefined, common, estimateMs)) {
		const known = judge?.findError(candidate.estimator)
		if (known === undefined || known.count < COMPARISONS_MIN || known.error >= bestError) continue
		best = candidate
		bestError = known.error
	}
	return best
}

function listCandidates(
	own: RunTimeHistory | undefined,
	common: RunTimeHistory | undefined,
	estimateMs: number
): ChosenExpectation[] {
	const caller = createCallerExpectation(estimateMs)
	// Without a history of its own, a step is judged as one of any workspace.
	return own === undefined
		? [caller, ...listLearned(common, OWN_ESTIMATORS, estimateMs)]
		: [
				caller,
				...listLearned(own, OWN_ESTIMATORS, estimateMs),
				...listLearned(common, QUEUE_ESTIMATORS, estimateMs)
			]
}

interface LearnedEstimators {
	readonly durations: Estimator
	readonly ratios: Estimator
	readonly blend: Estimator
}

const OWN_ESTIMATORS: LearnedEstimators = {
	durations: Estimator.durations,
	ratios: Estimator.ratios,
	blend: Estimator.blend
}
const QUEUE_ESTIMATORS: LearnedEstimators = {
	durations: Estimator.queueDurations,
	ratios: Estimator.queueRatios,
	blend: Estimator.queueBlend
}

function listLearned(
	history: RunTimeHistory | undefined,
	estimators: LearnedEstimators,
	estimateMs: number
): ChosenExpectation[] {
	const {durations, ratios} = history ?? {}
	if (history === undefined || durations === undefined) return []
	const {samples, updatedWallMs} = history
	const build = (estimator: Estimator, medianMs: number, highMs: number) => ({
		medianMs,
		highMs,
		source: RunTimeSource.learned,
		samples,
		updatedWallMs,
		estimator
	})
	const {median, high} = durations
	const learned = [build(estimators.durations, median, high)]
	if (ratios === undefined || estimateMs <= 0) return learned
	const limit = (valueMs: number) =>
		Math.min(high * BEYOND_SEEN_MAX, Math.max(durations.low / BEYOND_SEEN_MAX, valueMs))
	const corrected = limit(estimateMs * ratios.median)
	const correctedHigh = limit(estimateMs * ratios.high)
	return [
		...learned,
		build(estimators.ratios, corrected, correctedHigh),
		build(estimators.blend, Math.sqrt(median * corrected), Math.sqrt(high * correctedHigh))
	]
}

function createCallerExpectation(estimateMs: number): ChosenExpectation {
	return {
		medianMs: estimateMs,
		highMs: estimateMs,
		source: RunTimeSource.caller,
		samples: 0,
		estimator: Estimator.caller
	}
}

function computeError(expectedMs: number, actualMs: number): number {
	return Math.abs(Math.log(Math.max(1, expectedMs) / Math.max(1, actualMs)))
}

function computeMedian(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}
