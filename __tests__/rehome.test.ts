import {expect} from "chai"
import {
	type JobRecord,
	type JobSpec,
	type Transition,
	JobKind,
	JobState,
	ManualClock,
	OutcomeKind,
	ReasonCode,
	ReplyKind,
	RequestKind,
	TransitionKind,
	applyTransition,
	buildActiveWrites,
	decodeJobRecord,
	formatActivePrefix,
	formatJobKey
} from "../src/internal.js"
import {InProcessCluster} from "../standins/in-process.js"
import {WORKSPACE, createBundleContent} from "./fixtures/cluster.js"
import {createRecord, createSpec} from "./fixtures/jobs.js"

const ZONES = ["zone-a", "zone-b"]
const identity = {workspace: WORKSPACE, caller: "clerk", operator: false}

function createTwoZones() {
	const clock = new ManualClock()
	const cluster = new InProcessCluster({clock})
	cluster.installBundle(1, createBundleContent({zones: ZONES}))
	for (const zone of ZONES) {
		const capacity = {accelerators: 1, cpus: 30, memoryMb: 128000}
		cluster.addWorker(`${zone}-worker`, zone, "rack-1", capacity)
		cluster.addEndpoint(`${zone}-endpoint`, zone, 1)
		cluster.addHost(`${zone}-host`, zone)
	}
	clock.advance(5000)
	const submit = (key: string, spec: JobSpec): string => {
		let jobId = ""
		cluster.ask("zone-a-host", {kind: RequestKind.submit, identity, key, spec}, reply => {
			if (reply.kind === ReplyKind.job) jobId = reply.job.id
		})
		clock.advance(50)
		return jobId
	}
	const takeOut = (zonesOut: readonly string[], moveRunning = false): void => {
		const content = createBundleContent({zones: ZONES, zonesOut})
		const zones = content.zones.map(zone => ({...zone, moveRunning}))
		cluster.installBundle(2, {...content, zones})
	}
	const readRecord = (jobId: string): JobRecord => {
		const [row] = cluster.platform.read([formatJobKey(jobId)])
		return decodeJobRecord(row!.value)!
	}
	const countRuns = (jobId: string): number =>
		[...cluster.workers.values(), ...cluster.endpoints.values()]
			.flatMap(({runs}) => runs)
			.filter(run => run.jobId === jobId).length
	return {clock, cluster, submit, takeOut, readRecord, countRuns}
}

function createWork(kind: JobKind, fields: Partial<JobSpec> = {}): JobSpec {
	const shape = {...createSpec().shape, accelerators: kind === JobKind.task ? 1 : 0}
	const payload = JSON.stringify({runMs: 20000, answer: "done"})
	return createSpec({kind, shape, payload, declaredRunMs: 20000, ...fields})
}

function createRehome(fields: Partial<Extract<Transition, {kind: "rehome"}>> = {}): Transition {
	return {
		id: "w",
		jobId: "job",
		owner: "rehome",
		giveUpAt: undefined,
		kind: TransitionKind.rehome,
		zone: "zone-b",
		waitedMs: 70,
		...fields
	}
}

describe("work of a zone that is taken out", () => {
	for (const kind of Object.values(JobKind)) {
		it(`runs in a zone in service and never twice: ${kind}`, () => {
			const {clock, cluster, submit, takeOut, readRecord, countRuns} = createTwoZones()
			const first = submit("first", createWork(kind))
			const second = submit("second", createWork(kind))
			takeOut(["zone-a"])
			clock.advance(60000)
			expect(readRecord(first)).to.include({zone: "zone-a", state: JobState.ended})
			expect(readRecord(second)).to.include({zone: "zone-b", state: JobState.ended})
			for (const jobId of [first, second]) {
				expect(readRecord(jobId).outcome?.kind).to.equal(OutcomeKind.completed)
				expect(countRuns(jobId)).to.equal(1)
			}
			expect(cluster.platform.scan(formatActivePrefix("zone-a"))).to.deep.equal([])
			expect(cluster.platform.scan(formatActivePrefix("zone-b"))).to.deep.equal([])
		})
	}

	it("stays where it is while no zone is in service", () => {
		const {clock, submit, takeOut, readRecord} = createTwoZones()
		submit("first", createWork(JobKind.task))
		const second = submit("second", createWork(JobKind.task))
		takeOut(ZONES)
		clock.advance(60000)
		expect(readRecord(second)).to.include({zone: "zone-a", state: JobState.queued})
	})

	it("continues in another zone from its checkpoint if the bundle moves running work", () => {
		const {clock, submit, takeOut, readRecord} = createTwoZones()
		const moved = submit("moved", createWork(JobKind.task, {checkpoint: true}))
		clock.advance(10000)
		takeOut(["zone-a"], true)
		clock.advance(5000)
		expect(readRecord(moved)).to.include({zone: "zone-b"})
		expect(readRecord(moved).checkpoint).to.be.greaterThan(0.4)
		clock.advance(20000)
		expect(readRecord(moved).outcome?.kind).to.equal(OutcomeKind.completed)
	})

	it("finishes where it runs if it may not run again", () => {
		const {clock, submit, takeOut, readRecord, countRuns} = createTwoZones()
		const jobId = submit("sort", createWork(JobKind.task))
		clock.advance(10000)
		takeOut(["zone-a"], true)
		clock.advance(30000)
		expect(readRecord(jobId)).to.include({zone: "zone-a", state: JobState.ended})
		expect(readRecord(jobId).outcome?.kind).to.equal(OutcomeKind.completed)
		expect(countRuns(jobId)).to.equal(1)
	})
})

describe("moving a job's record", () => {
	it("is refused once the job may have started", () => {
		const claimed = createRecord("job", {state: JobState.claimed})
		const result = applyTransition(createRehome(), claimed, 1, "w")
		expect(result._unsafeUnwrapErr().reason).to.equal(ReasonCode.alreadyClaimed)
	})

	it("moves the active row too and keeps the time waited", () => {
		const record = applyTransition(createRehome(), createRecord("job"), 1, "w")._unsafeUnwrap()
		expect(record).to.include({zone: "zone-b", movedFrom: "zone-a", waitedMs: 70})
		const writes = buildActiveWrites(createRehome(), record)
		expect(writes.map(({key, value}) => [key, value])).to.deep.equal([
			["active/zone-a/job", null],
			["active/zone-b/job", "job"]
		])
	})
})
