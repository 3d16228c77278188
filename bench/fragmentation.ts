/**
 * Measures fragmentation over a day: the share of the free accelerators that the largest gang that fits could use.
 * Compares the chosen policy, with and without defragmentation, with first fit on the same arrivals.
 */
import {
	DefragmentController,
	PlacementController,
	ReclaimController,
	createPolicies
} from "../src/internal.js"
import {type Bench, type BenchMetric, type BenchOptions} from "./bench.js"
import {type DayFigures, PlacementDay, createArrivals} from "./placement-day.js"
import {addWorker, createZoneBoard} from "./zone-board.js"

const MINUTE_MS = 60000
const WORKERS = 30
const ACCELERATORS = 8
const LOADS = [0.5, 0.7, 0.85]
const FIT_TARGET = 0.9
const MOVES_PER_HOUR = 12

export class FragmentationBench implements Bench {
	readonly name = "fragmentation"
	readonly summary = "largest gang that fits ÷ free accelerators over a day"

	run({seed, policy}: BenchOptions): Promise<readonly BenchMetric[]> {
		const name = policy === "" ? "best-fit" : policy
		return Promise.resolve(
			LOADS.flatMap(load =>
				buildMetrics(
					load,
					runDay(name, load, seed, MOVES_PER_HOUR),
					runDay(name, load, seed, 0),
					runDay("first-fit", load, seed, 0)
				)
			)
		)
	}
}

function runDay(policy: string, load: number, seed: number, movesPerHour: number): DayFigures {
	const board = createZoneBoard({
		workspaces: [{name: "posta"}],
		zones: [{name: "zone-a", region: "region-a", defragmentMovesPerHour: movesPerHour}],
		policies: {placement: policy, queue: "priority"}
	})
	for (let index = 0; index < WORKERS; index++)
		addWorker(board, index, {accelerators: ACCELERATORS, cpus: 130, memoryMb: 512000})
	const policies = createPolicies()
	const controllers = [
		new PlacementController(policies),
		new ReclaimController(),
		new DefragmentController(policies)
	]
	const arrivals = createArrivals(WORKERS * ACCELERATORS, load, seed)
	return new PlacementDay(board, controllers).run(arrivals)
}

function buildMetrics(
	load: number,
	withMoves: DayFigures,
	withoutMoves: DayFigures,
	firstFit: DayFigures
): BenchMetric[] {
	const buildMetric = (
		metric: string,
		unit: string,
		read: (figures: DayFigures) => number,
		target: number | null = null
	) => {
		const value = round(read(withMoves))
		const met = target === null || value >= target
		return {
			metric: `${metric}-load-${load}`,
			value,
			unit,
			baseline: round(read(firstFit)),
			target,
			met
		}
	}
	const fitWithoutMoves = {
		...buildMetric("fit-unmoved", "ratio", ({fit}) => fit),
		value: round(withoutMoves.fit)
	}
	const moves = buildMetric("moves-in-an-hour", "jobs", ({movesInHour}) => movesInHour)
	return [
		buildMetric("fit", "ratio", ({fit}) => fit, FIT_TARGET),
		{...fitWithoutMoves, target: FIT_TARGET, met: fitWithoutMoves.value >= FIT_TARGET},
		buildMetric("use", "ratio", ({use}) => use),
		buildMetric("mean-wait", "min", ({meanWaitMs}) => meanWaitMs / MINUTE_MS),
		buildMetric("mean-wait-of-large", "min", ({meanLargeWaitMs}) => meanLargeWaitMs / MINUTE_MS),
		buildMetric("completed", "jobs", ({completed}) => completed),
		buildMetric("moves", "jobs", figures => figures.moves),
		{...moves, target: MOVES_PER_HOUR, met: moves.value <= MOVES_PER_HOUR}
	]
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000
}
