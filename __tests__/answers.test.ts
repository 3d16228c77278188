import {expect} from "chai"
import {
	ANSWER_INLINE_MAX_BYTES,
	CommandKind,
	OutcomeKind,
	type Reply,
	WAIT_POLL_INTERVAL_MS,
	decodeJobRecord
} from "../src/internal.js"
import {createRig, readJob} from "./fixtures/in-process.js"

const RUN_MS = 10000

function createPayload(answer: string): object {
	return {payload: JSON.stringify({runMs: RUN_MS, answer})}
}

describe("answers across hosts", () => {
	it("reach a caller at another zone's host as soon as the job ends, with few reads of its row", () => {
		const {clock, plan, submit, wait, findHolder} = createRig({zones: ["zone-a", "zone-b"]})
		const holder = findHolder("zone-a")!
		const job = submit(holder.settings.hostId, "k", createPayload("whole"))
		let reads = 0
		plan.isCut = (hostId, {kind, owner}) => {
			if (hostId === "zone-b-1" && owner === "answer" && kind === CommandKind.tableRead) reads++
			return false
		}
		const replies = wait("zone-b-1", job.id)
		let endedAt: number | undefined
		while (endedAt === undefined) {
			clock.advance(10)
			if (holder.ended.has(job.id)) endedAt = clock.now()
		}
		clock.advance(50)
		expect(readJob(replies[0])?.outcome).to.include({kind: OutcomeKind.completed, answer: "whole"})
		expect(reads).to.be.at.most(RUN_MS / WAIT_POLL_INTERVAL_MS + 2)
	})

	it("still arrive if every notice is lost", () => {
		const {clock, plan, submit, wait} = createRig({zones: ["zone-a", "zone-b"]})
		plan.isCut = (_, {kind}) => kind === CommandKind.peerNotifyJob
		const job = submit("zone-a-1", "k", createPayload("whole"))
		const replies = wait("zone-b-1", job.id)
		clock.advance(RUN_MS + 3 * WAIT_POLL_INTERVAL_MS)
		expect(readJob(replies[0])?.outcome).to.include({answer: "whole"})
	})

	it("a job accepted by a host that does not hold the zone starts before the holder's next scan", () => {
		const {clock, cluster, submit, findHolder} = createRig()
		const holder = findHolder("zone-a")!
		const other = [...cluster.hosts.keys()].find(id => id !== holder.settings.hostId)!
		// A scan has just ended, so the next one is almost a second away.
		clock.advance(100)
		const job = submit(other, "k")
		clock.advance(50)
		const runs = cluster.workers.get("zone-a-worker")!.runs
		expect(runs.map(({jobId}) => jobId)).to.include(job.id)
	})
})

describe("answers too large for a row", () => {
	const large = "x".repeat(ANSWER_INLINE_MAX_BYTES) + "end"

	function isWhole(reply: Reply | undefined): boolean {
		const answer = readJob(reply)?.outcome?.answer
		return answer === JSON.stringify([large]) || answer === large
	}

	it("arrive complete through any host, and the row only refers to them", () => {
		const {clock, cluster, submit, wait} = createRig({zones: ["zone-a", "zone-b"]})
		const job = submit("zone-a-1", "k", createPayload(large))
		const replies = ["zone-a-1", "zone-a-2", "zone-b-1"].map(host => wait(host, job.id))
		clock.advance(RUN_MS + 2000)
		for (const [reply] of replies) expect(isWhole(reply)).to.equal(true)
		const [row] = cluster.platform.read([`job/${job.id}`])
		const {outcome} = decodeJobRecord(row!.value)!
		expect(outcome).to.include({kind: OutcomeKind.completed}).and.not.have.property("answer")
		expect(outcome!.answerRef).to.be.a("string")
	})

	it("are never truncated: the job ends once the object store takes them", () => {
		const {clock, plan, submit, wait, cluster} = createRig()
		const job = submit("zone-a-1", "k", createPayload(large))
		plan.isCut = (_, {kind}) => kind === CommandKind.objectPut
		const early = wait("zone-a-2", job.id, RUN_MS + 5000)
		clock.advance(RUN_MS + 6000)
		expect(readJob(early[0])?.outcome).to.equal(undefined)
		plan.isCut = (_, {kind}) => kind === CommandKind.objectGet
		clock.advance(10000)
		const unread = wait("zone-a-2", job.id, 1000)
		clock.advance(5000)
		expect(unread[0]).to.deep.include({kind: "refused"})
		expect(JSON.stringify(unread[0])).to.contain(`"ran":"yes"`)
		plan.isCut = () => false
		const replies = wait("zone-a-2", job.id)
		clock.advance(100)
		expect(isWhole(replies[0])).to.equal(true)
		expect(cluster.workers.get("zone-a-worker")!.runs).to.have.length(1)
	})
})
