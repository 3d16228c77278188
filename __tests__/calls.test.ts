import {expect} from "chai"
import {
	type JobSpec,
	type Outcome,
	JobKind,
	ManualClock,
	OutcomeKind,
	ReplyKind,
	RequestKind
} from "../src/internal.js"
import {InProcessCluster} from "../standins/in-process.js"
import {WORKSPACE, createBundleContent} from "./fixtures/cluster.js"
import {createSpec} from "./fixtures/jobs.js"

function createZone(slots: number) {
	const clock = new ManualClock()
	const cluster = new InProcessCluster({clock})
	cluster.installBundle(1, createBundleContent())
	const endpoint = cluster.addEndpoint("endpoint-1", "zone-a", slots)
	cluster.addHost("host-1", "zone-a")
	clock.advance(5000)
	const identity = {workspace: WORKSPACE, caller: "clerk", operator: false}
	const submit = (key: string, spec: JobSpec): string => {
		let jobId = ""
		cluster.ask("host-1", {kind: RequestKind.submit, identity, key, spec}, reply => {
			if (reply.kind === ReplyKind.job) jobId = reply.job.id
		})
		clock.advance(50)
		return jobId
	}
	const findOutcome = (jobId: string): Outcome | undefined =>
		cluster.hosts.get("host-1")!.board.ended.get(jobId)?.outcome
	return {clock, endpoint, submit, findOutcome}
}

function createCallSpec(runMs: number): JobSpec {
	const payload = JSON.stringify({runMs, answer: "done"})
	return createSpec({kind: JobKind.call, payload, declaredRunMs: 1000})
}

describe("calls to endpoints", () => {
	it("waits for a call that runs far longer than declared while its endpoint reports it as running", () => {
		const {clock, submit, findOutcome} = createZone(8)
		const jobId = submit("long", createCallSpec(90000))
		clock.advance(95000)
		expect(findOutcome(jobId)).to.include({kind: OutcomeKind.completed, answer: "done"})
	})

	it("inspects a call before giving it up, even if its own timeout exceeds the inspection timeout", () => {
		const {clock, submit, findOutcome} = createZone(8)
		const spec = {...createCallSpec(90000), declaredRunMs: 20000}
		const jobId = submit("long", spec)
		clock.advance(95000)
		expect(findOutcome(jobId)).to.include({kind: OutcomeKind.completed, answer: "done"})
	})

	it("calls an endpoint again that was full, and never runs the call twice", () => {
		const {clock, endpoint, submit, findOutcome} = createZone(1)
		const {incarnation} = endpoint.readStatus()
		const request = {
			incarnation,
			epoch: 1,
			generation: 1,
			service: "s",
			startByMs: Number.MAX_SAFE_INTEGER
		}
		const payload = JSON.stringify({runMs: 10000})
		endpoint.callWithCallback({...request, taskId: "other.1.0", payload}, () => undefined)
		const jobId = submit("refused", createCallSpec(100))
		clock.advance(20000)
		expect(findOutcome(jobId)).to.include({kind: OutcomeKind.completed})
		expect(endpoint.runs.filter(run => run.jobId === jobId)).to.have.lengthOf(1)
	})

	it("uses a slot again as soon as its call has ended, before the endpoint is polled", () => {
		const {clock, endpoint, submit} = createZone(1)
		for (let index = 0; index < 60; index++) submit(`short-${index}`, createCallSpec(95))
		clock.advance(4000)
		expect(endpoint.runs).to.have.lengthOf(60)
	})
})
