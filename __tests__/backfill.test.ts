import {expect} from "chai"
import {
	type BackfillPass,
	type JobEntry,
	type JobRecord,
	type RunTimeEntry,
	BACKFILL_MARGIN,
	FleetIndex,
	GreedyBackfillPolicy,
	ReservingBackfillPolicy,
	computeExpectedRunMs,
	formatRunTimeKey,
	updateRunTime
} from "../src/internal.js"
import {WORKSPACE} from "./fixtures/cluster.js"
import {createEntry, createQueueContext, createRecord, createSpec} from "./fixtures/jobs.js"
import {createFleetWorker, createShape, occupy} from "./fixtures/fleet.js"

const SERVICE = "parcel-sort"

/** Two workers of two accelerators; a task of `runMs` occupies one accelerator of the second. */
function createTwoWorkers(runMs: number): {fleet: FleetIndex; running: JobRecord} {
	const running = createRecord("running", {spec: createSpec({declaredRunMs: runMs})})
	const fleet = new FleetIndex()
	for (const id of ["worker-1", "worker-2"]) fleet.set(createFleetWorker({id, accelerators: 2}))
	occupy(fleet, [{workerId: "worker-2", accelerators: [0]}], {jobId: running.id})
	return {fleet, running}
}

function createJob(id: string, members: number, accelerators: number, declaredRunMs: number) {
	const shape = createShape({members, accelerators})
	return createEntry(id, {spec: createSpec({shape, declaredRunMs})})
}

function listUsable(pass: BackfillPass, job: JobEntry, fleet: FleetIndex): string {
	const restrict = pass.restrict(job)
	return [...fleet.values()]
		.filter(worker => (restrict?.(worker) ?? worker).usable)
		.map(({id}) => id)
		.join(" ")
}

describe("backfill", () => {
	const gang = createJob("gang", 2, 2, 60000)

	it("lets only work that ends in time use the workers a waiting gang has reserved", () => {
		const {fleet, running} = createTwoWorkers(10000)
		const context = createQueueContext({
			findRecord: id => (id === running.id ? running : undefined)
		})
		const pass = new ReservingBackfillPolicy().begin(context)
		pass.reserve(gang, fleet)
		const maxRunMs = 10000 / BACKFILL_MARGIN
		expect(listUsable(pass, createJob("short", 1, 1, maxRunMs), fleet)).to.equal("worker-2")
		expect(listUsable(pass, createJob("long", 1, 1, maxRunMs + 1), fleet)).to.equal("")
	})

	it("reserves nothing for a gang that never fits", () => {
		const {fleet} = createTwoWorkers(10000)
		const pass = new ReservingBackfillPolicy().begin(createQueueContext())
		pass.reserve(createJob("huge", 3, 2, 1000), fleet)
		expect(listUsable(pass, createJob("long", 1, 1, 11000), fleet)).to.equal("worker-1 worker-2")
	})

	it("lets any job overtake in the baseline", () => {
		const {fleet} = createTwoWorkers(10000)
		const pass: BackfillPass = new GreedyBackfillPolicy().begin()
		pass.reserve(gang, fleet)
		expect(listUsable(pass, createJob("long", 1, 1, 11000), fleet)).to.equal("worker-1 worker-2")
	})
})

describe("expected run times", () => {
	const spec = createSpec({service: SERVICE, declaredRunMs: 1000})

	function computeAfter(observations: readonly (readonly [number, number])[]): number {
		const key = formatRunTimeKey(WORKSPACE, SERVICE)
		let entry: RunTimeEntry | undefined
		for (const [declaredMs, observedMs] of observations)
			entry = updateRunTime(key, entry, declaredMs, observedMs)
		const runTimes = new Map(entry === undefined ? [] : [[key, entry]])
		return computeExpectedRunMs(WORKSPACE, spec, runTimes)
	}

	it("are the declared ones until there are enough observations", () => {
		expect(computeAfter([[1000, 5000]])).to.equal(1000)
	})

	it("are the declared times corrected by the observed ratio if that was more accurate", () => {
		const observations = [1000, 4000, 500, 2000].map(ms => [ms, 3 * ms] as const)
		expect(computeAfter(observations)).to.be.closeTo(3000, 1)
	})

	it("are the observed mean if declared times predict them poorly", () => {
		const observations = [10, 100000, 50, 20000, 5].map(ms => [ms, 7000] as const)
		expect(computeAfter(observations)).to.equal(7000)
	})
})
