/**
 * Finished runs of one step: quantiles of their durations, and of the ratios of duration to the caller's estimate. Both
 * are kept in two generations of histograms. The later one takes new samples, and replaces the earlier one once it has
 * enough of them or is old, so that what has changed since is forgotten. The history also knows how far each way to
 * estimate has been off.
 */
import {type Histogram, build} from "hdr-histogram-js"
import {z} from "zod"

/** Ways to estimate the time of a run. Those of the queue use the runs of all workspaces. */
export const Estimator = {
	caller: "caller",
	durations: "durations",
	ratios: "ratios",
	/** The geometric mean of what durations and ratios say. */
	blend: "blend",
	queueDurations: "queue-durations",
	queueRatios: "queue-ratios",
	queueBlend: "queue-blend",
	/** Whichever of the others was in use at the time. */
	chosen: "chosen"
} as const
export type Estimator = (typeof Estimator)[keyof typeof Estimator]

/** The values that a tenth, half and nine tenths of the runs stay below. */
export interface Quantiles {
	readonly low: number
	readonly median: number
	readonly high: number
}

interface Generation {
	readonly durations: Histogram
	readonly ratios: Histogram
	batches: number
	readonly startedWallMs: number
}

interface MeanError {
	readonly error: number
	readonly count: number
}

/** Batches of samples after which a generation is full, and the age after which it is replaced as well. */
const GENERATION_BATCHES_MAX = 16
const GENERATION_AGE_MAX_MS = 600000

/** Weight of the latest error, once there are enough for a mean. */
const ERROR_WEIGHT_MIN = 0.1

/** Histograms count integers. */
const RATIO_UNIT = 0.001
const ERROR_UNIT = 0.001
const VALUE_MAX = 2 ** 31
const SIGNIFICANT_DIGITS = 2
const COUNTER_BITS = 16

/** Values by which a histogram is written, evenly spaced by rank. */
const POINTS_MAX = 20

const LOW_PERCENT = 10
const MEDIAN_PERCENT = 50
const HIGH_PERCENT = 90

const countSchema = z.int().min(0).max(VALUE_MAX)
const pointsSchema = z.array(z.int().min(1).max(VALUE_MAX)).max(POINTS_MAX)

export const historySchema = z.object({
	updatedWallMs: z.number(),
	samples: countSchema,
	durations: pointsSchema,
	ratios: pointsSchema,
	errors: z.partialRecord(z.enum(Estimator), z.tuple([z.number().min(0), countSchema]))
})
export type EncodedHistory = z.infer<typeof historySchema>

export class RunTimeHistory {
	#recent: Generation
	#earlier: Generation | undefined
	readonly #errors = new Map<Estimator, MeanError>()
	#updatedWallMs: number
	#durations: Quantiles | undefined
	#ratios: Quantiles | undefined

	constructor(wallNow: number) {
		this.#recent = createGeneration(wallNow)
		this.#updatedWallMs = wallNow
	}

	get updatedWallMs(): number {
		return this.#updatedWallMs
	}

	get samples(): number {
		return this.#recent.durations.totalCount + (this.#earlier?.durations.totalCount ?? 0)
	}

	/** Quantiles of the durations in ms; undefined while there are none. */
	get durations(): Quantiles | undefined {
		this.#durations ??= computeQuantiles(this.#merge("durations"), 1)
		return this.#durations
	}

	/** Quantiles of the ratio of duration to estimate; undefined while there are none. */
	get ratios(): Quantiles | undefined {
		this.#ratios ??= computeQuantiles(this.#merge("ratios"), RATIO_UNIT)
		return this.#ratios
	}

	/** Records a batch of runs of one step that had the same estimate. */
	record(durationsMs: readonly number[], estimateMs: number, wallNow: number): void {
		const isFull = this.#recent.batches >= GENERATION_BATCHES_MAX
		if (isFull || wallNow - this.#recent.startedWallMs > GENERATION_AGE_MAX_MS) {
			this.#earlier = this.#recent
			this.#recent = createGeneration(wallNow)
		}
		this.#recent.batches++
		for (const durationMs of durationsMs) {
			recordValue(this.#recent.durations, durationMs)
			if (estimateMs > 0) recordValue(this.#recent.ratios, durationMs / estimateMs / RATIO_UNIT)
		}
		this.#updatedWallMs = wallNow
		this.#durations = undefined
		this.#ratios = undefined
	}

	/** `error` is a difference on the logarithmic scale. */
	recordError(estimator: Estimator, error: number): void {
		const known = this.#errors.get(estimator) ?? {error: 0, count: 0}
		const count = known.count + 1
		const weight = Math.max(1 / count, ERROR_WEIGHT_MIN)
		this.#errors.set(estimator, {
			error: known.error + weight * (error - known.error),
			count
		})
	}

	/** The mean of the latest errors, and how many there have been. */
	findError(estimator: Estimator): MeanError | undefined {
		return this.#errors.get(estimator)
	}

	encode(): EncodedHistory {
		return {
			updatedWallMs: Math.round(this.#updatedWallMs),
			samples: this.samples,
			durations: listPoints(this.#merge("durations")),
			ratios: listPoints(this.#merge("ratios")),
			errors: Object.fromEntries(
				[...this.#errors].map(([estimator, {error, count}]) => [
					estimator,
					[Math.round(error / ERROR_UNIT) * ERROR_UNIT, count]
				])
			)
		}
	}

	/** Adds what an earlier holder has written; what was recorded here since counts as later. */
	addEarlier({updatedWallMs, samples, durations, ratios, errors}: EncodedHistory): void {
		const earlier = createGeneration(updatedWallMs)
		const countOf = (points: readonly number[]) => Math.max(1, Math.round(samples / points.length))
		for (const value of durations) recordValue(earlier.durations, value, countOf(durations))
		for (const value of ratios) recordValue(earlier.ratios, value, countOf(ratios))
		this.#earlier = earlier
		for (const estimator of Object.values(Estimator)) {
			const [error, count] = errors[estimator] ?? [0, 0]
			const known = this.#errors.get(estimator)?.count ?? 0
			if (count > known) this.#errors.set(estimator, {error, count})
		}
		this.#durations = undefined
		this.#ratios = undefined
	}

	#merge(part: "durations" | "ratios"): Histogram {
		const merged = createHistogram()
		merged.add(this.#recent[part])
		if (this.#earlier !== undefined) merged.add(this.#earlier[part])
		return merged
	}
}

function createGeneration(startedWallMs: number): Generation {
	return {
		durations: createHistogram(),
		ratios: createHistogram(),
		batches: 0,
		startedWallMs
	}
}

function createHistogram(): Histogram {
	return build({
		bitBucketSize: COUNTER_BITS,
		numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
		autoResize: true
	})
}

function recordValue(histogram: Histogram, value: number, count = 1): void {
	const counted = Math.min(VALUE_MAX, Math.max(1, Math.round(value)))
	histogram.recordValueWithCount(counted, count)
}

function listPoints(histogram: Histogram): number[] {
	const length = Math.min(POINTS_MAX, histogram.totalCount)
	return Array.from({length}, (_, index) =>
		histogram.getValueAtPercentile((100 * (index + 0.5)) / length)
	)
}

function computeQuantiles(histogram: Histogram, unit: number): Quantiles | undefined {
	if (histogram.totalCount === 0) return undefined
	return {
		low: histogram.getValueAtPercentile(LOW_PERCENT) * unit,
		median: histogram.getValueAtPercentile(MEDIAN_PERCENT) * unit,
		high: histogram.getValueAtPercentile(HIGH_PERCENT) * unit
	}
}
