/**
 * Measures the time to reclaim a guarantee: from a workspace's request until the workers report every member of its
 * gang running, while borrowers occupy the whole zone and more are queued. The baseline has no reclaim and waits for
 * borrowers to end. Hosts, workers and the platform are in-process fakes under a manual clock.
 */
import {build, type Histogram} from "hdr-histogram-js"
import {uniformInt} from "pure-rand/distribution/uniformInt"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {type RandomGenerator} from "pure-rand/types/RandomGenerator"
import {
	type Controller,
	type GangShape,
	type JobSpec,
	Adjacency,
	ManualClock,
	PriorityClass,
	ReclaimController,
	ReplyKind,
	RequestKind,
	bundleContentSchema,
	createControllers,
	jobSpecSchema
} from "../src/internal.js"
import {InProcessCluster} from "../standins/in-process.js"
import {type Bench, type BenchMetric, type BenchOptions} from "./bench.js"
import {ZONE} from "./zone-board.js"

const WORKERS = 30
const WORKERS_PER_RACK = 8
const CAPACITY = {accelerators: 8, cpus: 30, memoryMb: 128000}
const BORROWERS = 90
const CLAIMS = 40
const WORKSPACES = ["one", "two", "three", "four"]
const BORROWER_RUN_MS = 7200000
const CLAIM_RUN_MS = 30000
const STEP_MS = 10
const TIMEOUT_MS = 3600000
const RECLAIM_TARGET_MS = 10000
const URGENT_TARGET_MS = 1000

const GUARANTEED: readonly Partial<GangShape>[] = [
	{members: 2, accelerators: 8, adjacency: Adjacency.rack},
	{members: 1, accelerators: 8},
	{members: 1, accelerators: 4}
]

interface ReclaimCase {
	readonly name: string
	/** How long a borrower ignores a request to stop. */
	readonly ignoreStopMs: number
	readonly priority: PriorityClass
	/** Workspaces that claim in turn; `guest` has no guarantee. */
	readonly workspaces: readonly string[]
	readonly targetMs: number | null
}

const CASES: readonly ReclaimCase[] = [
	{
		name: "checkpoint-at-once",
		ignoreStopMs: 0,
		priority: PriorityClass.normal,
		workspaces: WORKSPACES,
		targetMs: RECLAIM_TARGET_MS
	},
	{
		name: "checkpoint-in-2s",
		ignoreStopMs: 2000,
		priority: PriorityClass.normal,
		workspaces: WORKSPACES,
		targetMs: RECLAIM_TARGET_MS
	},
	{
		name: "requests-ignored",
		ignoreStopMs: TIMEOUT_MS,
		priority: PriorityClass.normal,
		workspaces: WORKSPACES,
		targetMs: null
	},
	{
		name: "urgent-guest",
		ignoreStopMs: 0,
		priority: PriorityClass.urgent,
		workspaces: ["guest"],
		targetMs: URGENT_TARGET_MS
	}
]

export class ReclaimBench implements Bench {
	readonly name = "reclaim"
	readonly summary = "time to reclaim a guaranteed shape from borrowers"

	run({seed}: BenchOptions): Promise<readonly BenchMetric[]> {
		return Promise.resolve(CASES.flatMap(reclaimCase => this.#measure(reclaimCase, seed)))
	}

	#measure(reclaimCase: ReclaimCase, seed: number): BenchMetric[] {
		const {name, targetMs} = reclaimCase
		const measured = new ReclaimZone(reclaimCase, seed, true).measure(CLAIMS)
		const baselineHistogram = new ReclaimZone(reclaimCase, seed, false).measure(1)
		const buildMetric = (percentile: number, target: number | null): BenchMetric => {
			const value = measured.getValueAtPercentile(percentile)
			const baseline = baselineHistogram.getValueAtPercentile(percentile)
			const met = target === null || value <= target
			return {metric: `${name}-p${percentile}`, value, unit: "ms", baseline, target, met}
		}
		return [buildMetric(50, null), buildMetric(99, targetMs)]
	}
}

class ReclaimZone {
	readonly #clock = new ManualClock()
	readonly #cluster = new InProcessCluster({clock: this.#clock})
	readonly #random: RandomGenerator
	readonly #case: ReclaimCase

	constructor(reclaimCase: ReclaimCase, seed: number, withReclaim: boolean) {
		this.#case = reclaimCase
		this.#random = xoroshiro128plus(seed)
		this.#cluster.installBundle(1, createContent())
		for (let index = 0; index < WORKERS; index++) {
			const rack = `rack-${Math.floor(index / WORKERS_PER_RACK)}`
			const worker = this.#cluster.addWorker(`w${index}`, ZONE, rack, CAPACITY)
			worker.switches.ignoreStopMs = reclaimCase.ignoreStopMs
		}
		this.#cluster.addHost("host-1", ZONE, pickControllers(this.#clock, withReclaim))
		this.#clock.advance(5000)
		for (let index = 0; index < BORROWERS; index++) this.#submitBorrower(index)
		this.#clock.advance(30000)
	}

	/** Measures claims one after the other; each ends before the next. */
	measure(claims: number): Histogram {
		const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 2 * TIMEOUT_MS})
		for (let index = 0; index < claims; index++) {
			this.#clock.advance(uniformInt(this.#random, 0, 5000))
			histogram.recordValue(this.#measureClaim(index))
			this.#clock.advance(2 * CLAIM_RUN_MS)
		}
		return histogram
	}

	#submitBorrower(index: number): void {
		const accelerators = 1 << uniformInt(this.#random, 2, 3)
		this.#submit(`borrower-${index}`, "guest", BORROWER_RUN_MS, {
			shape: createShape({accelerators}),
			priority: PriorityClass.batch,
			repeatable: true,
			checkpoint: true
		})
	}

	#measureClaim(index: number): number {
		const pick = uniformInt(this.#random, 0, GUARANTEED.length - 1)
		const shape = createShape(GUARANTEED[pick] ?? {})
		const workspaces = this.#case.workspaces
		const workspace = workspaces[index % workspaces.length] ?? ""
		const startedAt = this.#clock.now()
		const {priority} = this.#case
		const id = this.#submit(`claim-${index}`, workspace, CLAIM_RUN_MS, {shape, priority})
		while (this.#countRunning(id()) < shape.members && this.#clock.now() - startedAt < TIMEOUT_MS)
			this.#clock.advance(STEP_MS)
		return Math.round(this.#clock.now() - startedAt)
	}

	#countRunning(jobId: string): number {
		let count = 0
		for (const core of this.#cluster.workers.values())
			if (core.runs.some(run => run.jobId === jobId && run.end === undefined)) count++
		return count
	}

	/** Submits a job and returns a function that reads its id, which is empty until the job is accepted. */
	#submit(key: string, workspace: string, runMs: number, spec: Partial<JobSpec>): () => string {
		let jobId = ""
		this.#cluster.ask(
			"host-1",
			{
				kind: RequestKind.submit,
				identity: {workspace, caller: "clerk", operator: false},
				key,
				spec: jobSpecSchema.parse({...spec, service: "bench", payload: JSON.stringify({runMs})})
			},
			reply => {
				if (reply.kind === ReplyKind.job) jobId = reply.job.id
			}
		)
		return () => jobId
	}
}

function createShape(shape: Partial<GangShape>): GangShape {
	return {members: 1, accelerators: 1, adjacency: Adjacency.any, cpus: 1, memoryMb: 0, ...shape}
}

function pickControllers(clock: ManualClock, withReclaim: boolean): readonly Controller[] {
	const all = createControllers(clock)
	return withReclaim ? all : all.filter(controller => !(controller instanceof ReclaimController))
}

function createContent() {
	const guarantees = GUARANTEED.map(shape => ({zone: ZONE, shape: createShape(shape), count: 1}))
	return bundleContentSchema.parse({
		workspaces: [...WORKSPACES.map(name => ({name, guarantees})), {name: "guest"}],
		zones: [{name: ZONE, region: "region-a"}],
		policies: {queue: "priority"}
	})
}
