import {expect} from "chai"
import {
	type JobEntry,
	type QueuePolicy,
	FairShareQueuePolicy,
	FifoQueuePolicy,
	PriorityClass,
	PriorityQueuePolicy,
	QUEUE_AGE_PROMOTION_MS,
	QueueContextBuilder,
	createRecoveredGang
} from "../src/internal.js"
import {createBoard} from "./fixtures/board.js"
import {WORKSPACE, createBundleContent} from "./fixtures/cluster.js"
import {createEntry, createQueueContext, createSpec} from "./fixtures/jobs.js"

function createQueuedJob(id: string, priority: PriorityClass, seenAt: number, workspace = "posta") {
	return createEntry(id, {workspace, spec: createSpec({priority})}, {seenAt})
}

function listOrder(policy: QueuePolicy, jobs: readonly JobEntry[], now = 0): string {
	return policy
		.order(jobs, createQueueContext({now}))
		.map(({record}) => record.id)
		.join(" ")
}

const {urgent, normal, batch} = PriorityClass

describe("the order of the queue", () => {
	const mixedJobs = [
		createQueuedJob("sort", batch, 0),
		createQueuedJob("match", normal, 1),
		createQueuedJob("read-2", urgent, 3),
		createQueuedJob("read-1", urgent, 2)
	]

	it("is by time of acceptance alone in the baseline", () => {
		expect(listOrder(new FifoQueuePolicy(), mixedJobs)).to.equal("sort match read-1 read-2")
	})

	for (const policy of [new PriorityQueuePolicy(), new FairShareQueuePolicy()]) {
		it(`puts urgent work first and keeps the order of acceptance within a class: ${policy.name}`, () => {
			expect(listOrder(policy, mixedJobs)).to.equal("read-1 read-2 match sort")
		})
	}

	it("lets batch work that has waited long go before newer normal work, never before urgent", () => {
		const jobs = [
			createQueuedJob("match", normal, QUEUE_AGE_PROMOTION_MS),
			createQueuedJob("read", urgent, QUEUE_AGE_PROMOTION_MS),
			createQueuedJob("sort", batch, 0)
		]
		expect(listOrder(new FairShareQueuePolicy(), jobs, QUEUE_AGE_PROMOTION_MS)).to.equal(
			"read sort match"
		)
	})

	it("gives workspaces turns by the weight of their guarantees and what they already use", () => {
		const jobs = ["a1", "a2", "a3", "b1", "b2"].map((id, at) =>
			createQueuedJob(id, normal, at, id.charAt(0))
		)
		const workspaces = new Map([
			["a", {used: 0, accelerators: 0, weight: 2}],
			["b", {used: 1, accelerators: 0, weight: 1}]
		])
		const ordered = new FairShareQueuePolicy().order(jobs, createQueueContext({workspaces}))
		expect(ordered.map(({record}) => record.id).join(" ")).to.equal("a1 a2 a3 b1 b2")
		const equalWeights = new Map([
			["a", {used: 0, accelerators: 0, weight: 1}],
			["b", {used: 0, accelerators: 0, weight: 1}]
		])
		const alternating = new FairShareQueuePolicy().order(
			jobs,
			createQueueContext({workspaces: equalWeights})
		)
		expect(alternating.map(({record}) => record.id).join(" ")).to.equal("a1 b1 a2 b2 a3")
	})
})

describe("the usage of workspaces", () => {
	it("counts a job from its placement until its gang ends", () => {
		const board = createBoard()
		const content = createBundleContent()
		const bundle = {generation: 1, content, keyId: "", signature: "", note: ""}
		board.bundle.set("current", {bundle, evidenceAt: 0})
		const builder = new QueueContextBuilder()
		const shape = {...createSpec().shape, accelerators: 4}
		const readUsage = () => builder.build(board, 0).workspaces.get(WORKSPACE)!
		const idle = readUsage()
		board.jobs.set("job-1", createEntry("job-1", {spec: createSpec({shape})}))
		board.placements.set("job-1", {jobId: "job-1", members: [], decidedAt: 0})
		expect(readUsage()).to.include({used: 4, accelerators: 4})
		board.gangs.set("job-1", createRecoveredGang("job-1", {epoch: 1, attempt: 1, members: []}, 0))
		board.placements.take("job-1")
		expect(readUsage()).to.include({used: 4, accelerators: 4})
		board.jobs.delete("job-1")
		board.gangs.delete("job-1")
		expect(readUsage()).to.deep.equal(idle)
		expect(idle).to.include({used: 0, accelerators: 0})
	})
})
