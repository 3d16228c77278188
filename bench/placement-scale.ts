/**
 * Measures the cost of one placement decision by the size of the zone: a whole step of the placement controller, with
 * a queue of jobs that don't fit and one that does. Compares best fit with first fit on the same load.
 */
import {build, type Histogram} from "hdr-histogram-js"
import {type RandomGenerator} from "pure-rand/types/RandomGenerator"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {uniformInt} from "pure-rand/distribution/uniformInt"
import {
	type Board,
	type JobSpec,
	type PlacementPolicy,
	BestFitPlacementPolicy,
	FleetTracker,
	PlacementController,
	PriorityClass,
	createPolicies
} from "../src/internal.js"
import {type Bench, type BenchMetric, type BenchOptions} from "./bench.js"
import {
	ZONE,
	addZoneWorkers,
	createShape,
	createZoneBoard,
	endJob,
	queueJob,
	runJob
} from "./zone-board.js"

const TASKS_PER_WORKER = 38000 / 1800
const SHARE_WORKERS = 85
const SIZES = [SHARE_WORKERS, 100, 450, 900, 1800]
const QUEUED_UNFIT = 300
const TEAMS = 8
/** One task in this many uses accelerators; these tasks are repeatable, so that they can borrow. */
const TASKS_PER_ACCELERATED = 60
const WARM_UP = 100
const DECISIONS = 500
const GANG_MEMBERS = 16
const LARGEST_GANG_MEMBERS = 128
const STEP_P99_TARGET_MS = 10
const SLOPE_TARGET = 1
const NS_PER_MS = 1e6

interface Cost {
	readonly p50: number
	readonly p99: number
}

interface SizeCosts {
	readonly workers: number
	readonly tasks: number
	readonly urgent: Cost
	readonly gang: Cost
	/** Undefined if the zone has too few workers. */
	readonly largestGang: Cost | undefined
}

export class PlacementScaleBench implements Bench {
	readonly name = "placement-scale"
	readonly summary = "cost of a placement decision against the number of workers"

	run({seed, policy}: BenchOptions): Promise<readonly BenchMetric[]> {
		const name = policy === "" ? "best-fit" : policy
		const measured = SIZES.map(workers => measureSize(workers, name, seed))
		const baseline = SIZES.map(workers => measureSize(workers, "first-fit", seed))
		const metrics = measured.flatMap((costs, index) => buildSizeMetrics(costs, baseline[index]))
		const largestIndex = SIZES.length - 1
		metrics.push(
			buildSlopeMetric(
				"slope-urgent-p50",
				measured,
				baseline,
				largestIndex,
				({urgent}) => urgent.p50
			),
			buildSlopeMetric("slope-gang-p50", measured, baseline, largestIndex, ({gang}) => gang.p50)
		)
		return Promise.resolve(metrics)
	}
}

function buildSizeMetrics(
	{workers, tasks, urgent, gang, largestGang}: SizeCosts,
	baseline: SizeCosts | undefined
): BenchMetric[] {
	const target = workers === SHARE_WORKERS ? STEP_P99_TARGET_MS : null
	const buildMetric = (
		kind: string,
		value: number,
		baselineValue: number | undefined,
		bound: number | null
	) => ({
		metric: `${kind}-${workers}-workers`,
		value: round(value),
		unit: "ms",
		baseline: baselineValue === undefined ? null : round(baselineValue),
		target: bound,
		met: bound === null || value < bound
	})
	return [
		{...buildMetric("tasks", tasks, undefined, null), unit: "tasks"},
		buildMetric("urgent-p50", urgent.p50, baseline?.urgent.p50, null),
		buildMetric("urgent-p99", urgent.p99, baseline?.urgent.p99, target),
		buildMetric("gang-p50", gang.p50, baseline?.gang.p50, null),
		buildMetric("gang-p99", gang.p99, baseline?.gang.p99, null),
		...(largestGang === undefined
			? []
			: [buildMetric("gang-128-p99", largestGang.p99, baseline?.largestGang?.p99, null)])
	]
}

/** Computes the exponent of the cost over the number of workers; below 1, the cost grows more slowly than the zone. */
function buildSlopeMetric(
	metric: string,
	measured: readonly SizeCosts[],
	baseline: readonly SizeCosts[],
	largestIndex: number,
	read: (costs: SizeCosts) => number
): BenchMetric {
	const compute = (costs: readonly SizeCosts[]) => {
		const [, from] = costs
		const to = costs[largestIndex]
		if (from === undefined || to === undefined) return NaN
		return Math.log(read(to) / read(from)) / Math.log(to.workers / from.workers)
	}
	const value = round(compute(measured))
	const baselineValue = round(compute(baseline))
	return {
		metric,
		value,
		unit: "exponent",
		baseline: baselineValue,
		target: SLOPE_TARGET,
		met: value < 1
	}
}

function measureSize(workers: number, policyName: string, seed: number): SizeCosts {
	const random = xoroshiro128plus(seed)
	const board = createZoneBoard({
		workspaces: createWorkspaces(),
		zones: [{name: ZONE, region: "region-a"}],
		policies: {placement: policyName}
	})
	addZoneWorkers(board, workers)
	const running = fillZone(board, Math.round(workers * TASKS_PER_WORKER), random)
	queueUnfit(board)
	const controller = new PlacementController(createPolicies())
	controller.step(board, 0)
	const measurement = {board, controller, running, random}
	const urgentSpec = {priority: PriorityClass.urgent, shape: createShape({})}
	const urgent = measureDecisions(measurement, "urgent", () => urgentSpec)
	const measureGang = (members: number) =>
		measureDecisions(measurement, `gang-${members}`, () => ({shape: createShape({members})}))
	const gang = measureGang(GANG_MEMBERS)
	const largestGang = workers > LARGEST_GANG_MEMBERS ? measureGang(LARGEST_GANG_MEMBERS) : undefined
	return {workers, tasks: board.gangs.size, urgent, gang, largestGang}
}

/** Creates one zone's share of the workspaces, each with one guaranteed shape. */
function createWorkspaces() {
	const shape = createShape({accelerators: 4, cpus: 8})
	return Array.from({length: TEAMS}, (_, index) => ({
		name: `team-${index}`,
		guarantees: [{zone: ZONE, shape, count: 1}]
	}))
}

interface Measurement {
	readonly board: Board
	readonly controller: PlacementController
	readonly running: string[]
	readonly random: RandomGenerator
}

/** Before each decision another job ends; the controller handles that in a step of its own, which is not measured. */
function measureDecisions(
	{board, controller, running, random}: Measurement,
	prefix: string,
	createSpec: () => Partial<JobSpec>
): Cost {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60 * 1000 * NS_PER_MS})
	for (let index = 0; index < WARM_UP + DECISIONS; index++) {
		replaceJob(
			board,
			running,
			uniformInt(random, 0, running.length - 1),
			`${prefix}-again-${index}`
		)
		controller.step(board, 0)
		const record = queueJob(board, `${prefix}-${index}`, "posta", createSpec())
		const startedAt = process.hrtime.bigint()
		controller.step(board, 0)
		const tookNs = Number(process.hrtime.bigint() - startedAt)
		if (!board.placements.has(record.id)) throw new Error(`${record.id} was not placed`)
		if (index >= WARM_UP) histogram.recordValue(tookNs)
		board.placements.take(record.id)
		board.jobs.delete(record.id)
	}
	return readCost(histogram)
}

/** Ends a running job and runs another of the same shape in its place, so that the load stays constant. */
function replaceJob(board: Board, running: string[], index: number, id: string): void {
	const endedId = running[index] ?? ""
	const ended = board.jobs.get(endedId)?.record
	const members = board.gangs.get(endedId)?.members ?? []
	if (ended === undefined) return
	endJob(board, endedId)
	runJob(board, queueJob(board, id, ended.workspace, ended.spec), members, 0)
	running[index] = id
}

/** Runs `tasks` tasks, which leave capacity free, so that placement has a choice. */
function fillZone(board: Board, tasks: number, random: RandomGenerator): string[] {
	const policy: PlacementPolicy = new BestFitPlacementPolicy()
	const tracker = new FleetTracker()
	tracker.sync(board, 0)
	const placed: (() => string)[] = []
	for (let index = 0; index < tasks; index++) {
		const accelerators = index % TASKS_PER_ACCELERATED === 0 ? 1 << uniformInt(random, 0, 2) : 0
		const shape = createShape({accelerators})
		const spec = {shape, repeatable: accelerators > 0}
		const record = queueJob(board, `run-${index}`, "posta", spec)
		const request = {jobId: record.id, workspace: "posta", shape, failedOn: []}
		const members = policy.place(request, tracker.index)
		if (members === undefined) {
			board.jobs.delete(record.id)
			continue
		}
		tracker.reserve(board, {jobId: record.id, members, decidedAt: 0}, 0)
		placed.push(() => {
			runJob(board, record, members, 0)
			return record.id
		})
	}
	return placed.map(run => run())
}

function queueUnfit(board: Board): void {
	for (let index = 0; index < QUEUED_UNFIT; index++) {
		const shape = createShape({members: 1 + (index % 10), accelerators: 8, cpus: 131})
		queueJob(board, `unfit-${index}`, "posta", {shape})
	}
}

function readCost(histogram: Histogram): Cost {
	return {
		p50: histogram.getValueAtPercentile(50) / NS_PER_MS,
		p99: histogram.getValueAtPercentile(99) / NS_PER_MS
	}
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000
}
