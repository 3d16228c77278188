import {expect} from "chai"
import {type JobView, JobKind, JobState, OutcomeKind} from "../src/internal.js"
import {type RunEntry} from "../standins/worker/core.js"
import {type Cluster, createBundleContent, createCluster, waitFor} from "./fixtures/cluster.js"

describe("whole path through separate processes", () => {
	let cluster: Cluster

	before(async () => {
		cluster = await createCluster({zones: ["zone-a"]})
		const answer = await cluster.rollOut(createBundleContent())
		expect(answer.status, JSON.stringify(answer.body)).to.equal(200)
	})

	after(async () => {
		await cluster.stopAll()
	})

	async function submitWhenReady(key: string, spec: object): Promise<JobView> {
		let view: JobView | undefined
		await waitFor("the job is accepted", async () => {
			const answer = await cluster.submit(cluster.pickDaemon(), key, spec)
			if (answer.status === 201) view = answer.body
			return answer.status === 201
		})
		return view!
	}

	it("runs a gang on two workers once and gives the whole answer", async () => {
		const shape = {members: 2, accelerators: 4, adjacency: "rack"}
		const payload = JSON.stringify({runMs: 200, answer: "sorted"})
		const job = await submitWhenReady("gang-1", {service: "parcel-sort", shape, payload})
		const ended = await cluster.wait(cluster.pickDaemon(), job.id)
		expect(ended.body.state).to.equal(JobState.ended)
		expect(ended.body.outcome).to.include({
			kind: OutcomeKind.completed,
			answer: JSON.stringify(["sorted", "sorted"])
		})
		const runs: RunEntry[] = []
		for (const worker of cluster.workers.values())
			runs.push(...(await cluster.call<RunEntry[]>(worker, "GET", "/control/runs")).body)
		expect(runs.filter(({jobId}) => jobId === job.id)).to.have.length(2)
	})

	it("passes a call to an endpoint and gives the same record for the same key", async () => {
		const payload = JSON.stringify({runMs: 20, answer: "12 Moi Avenue"})
		const spec = {
			kind: JobKind.call,
			service: "address-read",
			priority: "urgent",
			repeatable: true,
			payload
		}
		const job = await submitWhenReady("read-1", spec)
		const ended = await cluster.wait(cluster.pickDaemon(), job.id)
		expect(ended.body.outcome).to.include({kind: OutcomeKind.completed, answer: "12 Moi Avenue"})
		for (const host of cluster.daemons.values()) {
			const again = await cluster.submit(host, "read-1", spec)
			expect(again.status).to.equal(200)
			expect(again.body.id).to.equal(job.id)
		}
		const conflict = await cluster.submit(cluster.pickDaemon(), "read-1", {
			...spec,
			payload: "other"
		})
		expect(conflict.status).to.equal(409)
	})
})
