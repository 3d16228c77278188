/**
 * Measures the units of work completed once and on time while a zone leaves and returns. The baseline leaves the zone's
 * queue in place. The target is a share of what the remaining capacity allows, which is not known exactly. The same
 * load without a zone change completes at least as much, so the measured share of that is a lower bound.
 */
import {OutcomeKind} from "../src/internal.js"
import {type Bench, type BenchMetric, type BenchOptions} from "./bench.js"
import {buildMetric, roundTo} from "./completion.js"
import {LoadRunner, type LoadRun, type RunOptions} from "./load-run.js"
import {type Arrival, type Load, buildArrivals, readLoad} from "./loads.js"

const LOAD = "authority-dawn"
const MS_PER_SECOND = 1000
const MIN_SHARE = 0.95
const IN_PLACE: RunOptions = {names: {zoneChoice: "local-first"}, without: ["rehome"]}
const POLICIES = ["local-first", "load-aware"]

interface UnitCount {
	readonly stream: string
	readonly onTime: number
	readonly done: number
}

export class ZoneChangeBench implements Bench {
	readonly name = "zone-change"
	readonly summary =
		"units completed on time while a zone leaves and returns, against leaving its queue in place"

	run({seed, policy}: BenchOptions): Promise<readonly BenchMetric[]> {
		const load = readLoad(LOAD)
		const arrivals = buildArrivals(load, seed)
		const unchanged = countUnits(load, runLoad({...load, events: []}, arrivals, {names: {}}))
		const inPlace = countUnits(load, runLoad(load, arrivals, IN_PLACE))
		const chosen = POLICIES.filter(name => policy === "" || policy === name)
		return Promise.resolve(
			chosen.flatMap(name => {
				const run = runLoad(load, arrivals, {names: {zoneChoice: name}})
				return compare(name, countUnits(load, run), inPlace, unchanged)
			})
		)
	}
}

function runLoad(load: Load, arrivals: readonly Arrival[], options: RunOptions): LoadRun {
	return new LoadRunner(load, arrivals, options).run()
}

function countUnits(load: Load, {traces, startMs}: LoadRun): UnitCount[] {
	return load.streams
		.filter(({unit}) => unit)
		.map(({name, onTimeSeconds}) => {
			const done = traces.filter(
				({arrival, outcome}) =>
					arrival.stream.name === name && outcome?.kind === OutcomeKind.completed
			)
			const onTime = done.filter(
				({arrival, endedAtMs = 0}) =>
					endedAtMs - startMs - arrival.atMs <= onTimeSeconds * MS_PER_SECOND
			)
			return {stream: name, onTime: onTime.length, done: done.length}
		})
}

function compare(
	policy: string,
	counts: readonly UnitCount[],
	inPlace: readonly UnitCount[],
	unchanged: readonly UnitCount[]
): BenchMetric[] {
	const metrics = counts.map(({stream, onTime}, index) =>
		buildMetric(`${policy} ${stream} on time`, onTime, "units", inPlace[index]?.onTime ?? 0)
	)
	const share = roundTo(sumOnTime(counts) / sumOnTime(unchanged))
	const baseline = roundTo(sumOnTime(inPlace) / sumOnTime(unchanged))
	const name = `${policy} on time ÷ with no zone change`
	return [...metrics, buildMetric(name, share, "ratio", baseline, MIN_SHARE, share >= MIN_SHARE)]
}

function sumOnTime(counts: readonly UnitCount[]): number {
	return counts.reduce((sum, {onTime}) => sum + onTime, 0)
}
