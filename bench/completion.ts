/**
 * Measures completion times under both deployments' loads, each queue policy against first-in-first-out in the same
 * run: p50, p95 and p99 by stream, and the throughput of batch streams. Only one zone's share of the load is run,
 * because zones are alike and decide independently.
 */
import {build} from "hdr-histogram-js"
import {OutcomeKind, createPolicies} from "../src/internal.js"
import {type Bench, type BenchMetric, type BenchOptions} from "./bench.js"
import {LoadRunner, type JobTrace} from "./load-run.js"
import {type Arrival, type Load, buildArrivals, readLoad, takeZoneShare} from "./loads.js"

const BASELINE = "fifo"
const LOADS = ["posta", "authority"]
const PERCENTILES = [50, 95, 99]
const MS_PER_SECOND = 1000
const MS_PER_MINUTE = 60000
const TAIL_PERCENTILE = 99
const MAX_TAIL_RATIO = 0.25
const MIN_THROUGHPUT_RATIO = 0.95
const ADDRESS_READ = "address-read"
const OVERNIGHT_SORT = "overnight-sort"

interface StreamResult {
	readonly stream: string
	readonly submitted: number
	/** Jobs completed before arrivals end, while the streams compete. */
	readonly doneUnderLoad: number
	readonly done: number
	/** Jobs completed per minute, from the start of arrivals to the last completion. */
	readonly perMinute: number
	readonly latenciesMs: ReadonlyMap<number, number>
}

export class CompletionBench implements Bench {
	readonly name = "completion"
	readonly summary = "completion time by stream, each queue policy against fifo, on both loads"

	run({seed, policy}: BenchOptions): Promise<readonly BenchMetric[]> {
		const policies = createPolicies()
			.queue.listNames()
			.filter(name => name !== BASELINE && (policy === "" || policy === name))
		return Promise.resolve(LOADS.flatMap(name => this.#measure(readLoad(name), seed, policies)))
	}

	#measure(load: Load, seed: number, policies: readonly string[]): BenchMetric[] {
		const share = takeZoneShare(load)
		const [zone] = share.zones
		const arrivals = buildArrivals(load, seed).filter(arrival => arrival.zone === zone?.name)
		const baseline = runPolicy(share, arrivals, BASELINE)
		return policies.flatMap(policy =>
			compare(load.name, policy, runPolicy(share, arrivals, policy), baseline)
		)
	}
}

function runPolicy(load: Load, arrivals: readonly Arrival[], queue: string): StreamResult[] {
	const {traces, startMs} = new LoadRunner(load, arrivals, {names: {queue}}).run()
	const loadEndsAt = startMs + load.arrivalMinutes * MS_PER_MINUTE
	return load.streams.map(({name}) => {
		const streamTraces = traces.filter(({arrival}) => arrival.stream.name === name)
		return summarize(name, streamTraces, startMs, loadEndsAt)
	})
}

function summarize(
	stream: string,
	traces: readonly JobTrace[],
	startMs: number,
	loadEndsAt: number
): StreamResult {
	const done = traces.filter(({outcome}) => outcome?.kind === OutcomeKind.completed)
	const histogram = build({numberOfSignificantValueDigits: 3})
	for (const {arrival, endedAtMs = 0} of done)
		histogram.recordValue(Math.max(1, Math.round(endedAtMs - startMs - arrival.atMs)))
	return {
		stream,
		submitted: traces.length,
		doneUnderLoad: done.filter(({endedAtMs = 0}) => endedAtMs <= loadEndsAt).length,
		done: done.length,
		perMinute: computeRate(done, startMs),
		latenciesMs: new Map(
			PERCENTILES.map(percentile => [percentile, histogram.getValueAtPercentile(percentile)])
		)
	}
}

function compare(
	load: string,
	policy: string,
	results: readonly StreamResult[],
	baseline: readonly StreamResult[]
): BenchMetric[] {
	return results.flatMap((result, index) => {
		const baselineResult = baseline[index]
		if (baselineResult === undefined || result.submitted === 0) return []
		const prefix = `${load} ${policy} ${result.stream}`
		return [
			...compareLatencies(prefix, result, baselineResult),
			buildMetric(
				`${prefix} done of ${result.submitted}`,
				result.done,
				"jobs",
				baselineResult.done
			),
			buildMetric(
				`${prefix} done under load`,
				result.doneUnderLoad,
				"jobs",
				baselineResult.doneUnderLoad
			),
			compareThroughput(prefix, result, baselineResult)
		]
	})
}

function compareLatencies(
	prefix: string,
	result: StreamResult,
	baselineResult: StreamResult
): BenchMetric[] {
	return PERCENTILES.map(percentile => {
		const value = convertToSeconds(result.latenciesMs.get(percentile))
		const baseline = convertToSeconds(baselineResult.latenciesMs.get(percentile))
		const hasTarget = result.stream === ADDRESS_READ && percentile === TAIL_PERCENTILE
		const target = hasTarget ? roundTo(baseline * MAX_TAIL_RATIO) : null
		return buildMetric(
			`${prefix} p${percentile}`,
			value,
			"s",
			baseline,
			target,
			value <= (target ?? value)
		)
	})
}

function compareThroughput(
	prefix: string,
	result: StreamResult,
	baselineResult: StreamResult
): BenchMetric {
	const hasTarget = result.stream === OVERNIGHT_SORT
	const value = roundTo(result.perMinute)
	const baseline = roundTo(baselineResult.perMinute)
	const target = hasTarget ? roundTo(baseline * MIN_THROUGHPUT_RATIO) : null
	const met = value >= (target ?? value)
	return buildMetric(`${prefix} throughput`, value, "jobs/min", baseline, target, met)
}

function computeRate(done: readonly JobTrace[], startMs: number): number {
	const lastMs = Math.max(startMs, ...done.map(({endedAtMs = 0}) => endedAtMs))
	return done.length === 0 ? 0 : (done.length * MS_PER_MINUTE) / (lastMs - startMs)
}

export function buildMetric(
	metric: string,
	value: number,
	unit: string,
	baseline: number | null = null,
	target: number | null = null,
	met = true
): BenchMetric {
	return {metric, value, unit, baseline, target, met}
}

function convertToSeconds(ms = 0): number {
	return roundTo(ms / MS_PER_SECOND)
}

export function roundTo(value: number, digits = 3): number {
	return Number(value.toFixed(digits))
}
