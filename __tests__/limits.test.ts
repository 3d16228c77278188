import {expect} from "chai"
import {
	type BundleContent,
	type JobSpec,
	type Outcome,
	type Reply,
	JobState,
	ManualClock,
	NEVER_FITS_GRACE_MS,
	OutcomeKind,
	PriorityClass,
	ReasonCode,
	ReplyKind,
	RequestKind,
	isEverFitting,
	listOverflow
} from "../src/internal.js"
import {InProcessCluster} from "../standins/in-process.js"
import {WORKSPACE, createBundleContent} from "./fixtures/cluster.js"
import {createFleetWorker, createShape} from "./fixtures/fleet.js"
import {createEntry, createSpec} from "./fixtures/jobs.js"

const HOSTS = ["host-1", "host-2"]

function createContent(limits: {maxQueued?: number; maxAccelerators?: number}): BundleContent {
	const content = createBundleContent()
	const workspaces = content.workspaces.map(workspace => ({...workspace, ...limits}))
	return {...content, workspaces}
}

/** Creates a zone with one worker of eight accelerators and two hosts, of which one schedules the zone. */
function createLimitedZone(limits: {maxQueued?: number; maxAccelerators?: number}) {
	const clock = new ManualClock()
	const cluster = new InProcessCluster({clock})
	cluster.installBundle(1, createContent(limits))
	cluster.addWorker("worker-1", "zone-a", "rack-1", {accelerators: 8, cpus: 30, memoryMb: 128000})
	for (const host of HOSTS) cluster.addHost(host, "zone-a")
	clock.advance(5000)
	const boards = HOSTS.map(host => cluster.hosts.get(host)!.board)
	const holder = boards.find(board => board.authority.get("zone-a")?.isHeldHere === true)!
	const submit = (key: string, spec: JobSpec, host = holder.settings.hostId): (() => Reply) => {
		let received: Reply | undefined
		const identity = {workspace: WORKSPACE, caller: "clerk", operator: false}
		cluster.ask(host, {kind: RequestKind.submit, identity, key, spec}, reply => {
			received = reply
		})
		return () => received!
	}
	const countRunning = (): number =>
		[...holder.jobs.values()].filter(({record}) => record.state === JobState.claimed).length
	const listOutcomes = (): (Outcome | undefined)[] =>
		[...holder.ended.values()].map(({outcome}) => outcome)
	return {clock, holder, submit, countRunning, listOutcomes}
}

function createTask(accelerators: number, fields: Partial<JobSpec> = {}): JobSpec {
	const payload = JSON.stringify({runMs: 20000, answer: "done"})
	return createSpec({shape: createShape({accelerators}), payload, ...fields})
}

describe("accelerator quotas", () => {
	it("let a workspace hold no more than its quota, and show why the rest waits", () => {
		const {clock, holder, submit, countRunning, listOutcomes} = createLimitedZone({
			maxAccelerators: 4
		})
		for (const key of ["a", "b", "c"]) submit(key, createTask(2))
		clock.advance(5000)
		expect(countRunning()).to.equal(2)
		const waiting = [...holder.waiting.values()].map(({reason}) => reason)
		expect(waiting).to.deep.equal([ReasonCode.overQuota])
		clock.advance(45000)
		expect(listOutcomes().map(outcome => outcome?.kind)).to.deep.equal(
			Array.from({length: 3}, () => OutcomeKind.completed)
		)
	})

	it("refuse a job that is larger than the whole quota", () => {
		const {clock, submit} = createLimitedZone({maxAccelerators: 4})
		const reply = submit("large", createTask(8))
		clock.advance(1000)
		const answer = reply()
		expect(answer.kind === ReplyKind.refused && answer.refusal).to.include({
			reason: ReasonCode.overQuota,
			ran: "no"
		})
	})
})

describe("jobs that can never run", () => {
	it("end as not run after the grace period if no worker can fit them", () => {
		const {clock, submit, listOutcomes} = createLimitedZone({})
		submit("huge", createTask(16))
		clock.advance(NEVER_FITS_GRACE_MS / 2)
		expect(listOutcomes()).to.deep.equal([])
		clock.advance(NEVER_FITS_GRACE_MS)
		expect(listOutcomes()).to.have.lengthOf(1)
		expect(listOutcomes()[0]).to.include({kind: OutcomeKind.notRun, reason: ReasonCode.neverFits})
	})

	it("are distinguished from jobs that only wait for capacity", () => {
		const workers = ["w1", "w2"].map(id => createFleetWorker({id, rack: id}, [0, 1, 2]))
		const shape = createShape({members: 2, accelerators: 8})
		expect(isEverFitting(shape, workers)).to.equal(true)
		expect(isEverFitting({...shape, adjacency: "rack"}, workers)).to.equal(false)
		expect(isEverFitting({...shape, members: 3}, workers)).to.equal(false)
		expect(isEverFitting({...shape, memoryMb: 500000}, workers)).to.equal(false)
	})
})

describe("bounded queues", () => {
	it("shed the lowest class first, and within a class the latest job", () => {
		const {urgent, normal, batch} = PriorityClass
		const jobs = [batch, batch, normal, urgent].map((priority, index) =>
			createEntry(`${priority}-${index}`, {spec: createSpec({priority})}, {seenAt: index})
		)
		const overflow = listOverflow(jobs, createContent({maxQueued: 2}))
		expect(overflow.map(({record}) => record.id)).to.deep.equal(["batch-1", "batch-0"])
	})

	it("apply the limit whichever host accepts, and end shed jobs as not run", () => {
		const {clock, holder, submit, countRunning, listOutcomes} = createLimitedZone({maxQueued: 3})
		const other = HOSTS.find(host => host !== holder.settings.hostId)!
		submit("running", createTask(8))
		clock.advance(2000)
		for (let index = 0; index < 10; index++)
			submit(`batch-${index}`, createTask(8, {priority: PriorityClass.batch}), other)
		clock.advance(3000)
		submit("urgent", createTask(8, {priority: PriorityClass.urgent}))
		clock.advance(3000)
		expect(countRunning()).to.equal(1)
		const queued = [...holder.jobs.values()].filter(({record}) => record.state === JobState.queued)
		expect(queued.map(({record}) => record.key)).to.include("urgent")
		expect(queued).to.have.lengthOf(3)
		const shed = {kind: OutcomeKind.notRun, reason: ReasonCode.queueFull}
		expect(listOutcomes()).to.have.lengthOf(8)
		for (const outcome of listOutcomes()) expect(outcome).to.include(shed)
	})
})
