import {expect} from "chai"
import {type JobView, JobState, OutcomeKind} from "../src/internal.js"
import {type StartedProcess} from "../standins/launcher.js"
import {type RunEntry} from "../standins/worker/core.js"
import {type Cluster, createBundleContent, createCluster, waitFor} from "./fixtures/cluster.js"

const ZONES = ["zone-a", "zone-b"]
const SHUTDOWN_TIMEOUT_MS = 20000

interface Problem {
	readonly reason?: string
	readonly ran?: string
}

/** Submits a job under one key to each daemon in turn, until one accepts it. */
async function submitAnywhere(
	cluster: Cluster,
	key: string,
	kind: string,
	runMs = 200,
	findHosts = () => [...cluster.daemons.values()]
): Promise<JobView> {
	const payload = JSON.stringify({runMs, answer: key})
	let view: JobView | undefined
	await waitFor(`${key} is accepted`, async () => {
		for (const host of findHosts()) {
			const answer = await cluster
				.submit(host, key, {kind, service: "parcel-sort", payload})
				.catch(() => undefined)
			if (answer !== undefined && answer.status < 300) view = answer.body
			if (view !== undefined) return true
		}
		return false
	})
	return view!
}

async function listRuns(cluster: Cluster): Promise<RunEntry[]> {
	const runs: RunEntry[] = []
	for (const standIn of [...cluster.workers.values(), ...cluster.endpoints.values()])
		runs.push(...(await cluster.call<RunEntry[]>(standIn, "GET", "/control/runs")).body)
	return runs
}

describe("planned stops", () => {
	let cluster: Cluster

	beforeEach(async () => {
		cluster = await createCluster({zones: ZONES, workersPerZone: 1})
		await cluster.rollOut(createBundleContent({zones: ZONES}))
		await submitAnywhere(cluster, "first", "task")
	})

	afterEach(async () => {
		await cluster.stopAll()
	})

	it("of every daemon in turn under load: every accepted job completes and runs once", async function () {
		this.timeout(120000)
		const accepted: JobView[] = []
		const load = {isOn: true}
		const submitting = (async () => {
			for (let index = 0; load.isOn; index++)
				accepted.push(
					await submitAnywhere(cluster, `job-${index}`, index % 2 === 0 ? "task" : "call")
				)
		})()
		for (const [hostId, old] of [...cluster.daemons]) {
			const stopped = cluster.launcher.stop(old)
			expect(await stopped, `${hostId} exits by itself`).to.equal(0)
			await cluster.startDaemon(hostId, hostId.slice(0, "zone-a".length))
		}
		load.isOn = false
		await submitting
		expect(accepted.length).to.be.greaterThan(10)
		for (const {id} of accepted)
			await waitFor(`${id} ends`, async () => {
				const {body} = await cluster.wait(cluster.pickDaemon(), id)
				if (body.state !== JobState.ended) return false
				expect(body.outcome?.kind, JSON.stringify(body)).to.equal(OutcomeKind.completed)
				return true
			})
		const runs = await listRuns(cluster)
		for (const {id} of accepted)
			expect(runs.filter(({jobId}) => jobId === id, id)).to.have.length(1)
	})

	it("answer waiting callers with the state of their job, refuse new work as not run, and end in time", async () => {
		const host = cluster.daemons.get("zone-a-host-1")!
		const job = await submitAnywhere(cluster, "long", "task", 60000, () => [host])
		const waiting = cluster.wait(host, job.id, 30000)
		const refusals = collectRefusals(cluster, host)
		const from = performance.now()
		const exit = cluster.launcher.stop(host)
		const {status, body} = await waiting
		expect(status).to.equal(200)
		expect(body.state).not.to.equal(JobState.ended)
		expect(await exit).to.equal(0)
		expect(performance.now() - from).to.be.lessThan(SHUTDOWN_TIMEOUT_MS)
		for (const {reason, ran} of await refusals)
			expect({reason, ran}).to.deep.equal({reason: "stopping", ran: "no"})
	})
})

/** Submits until the host no longer answers; returns every answer that isn't an acceptance. */
async function collectRefusals(cluster: Cluster, host: StartedProcess): Promise<Problem[]> {
	const refusals: Problem[] = []
	for (let index = 0; ; index++) {
		const spec = {service: "parcel-sort", payload: JSON.stringify({runMs: 1})}
		const answer = await cluster.submit(host, `late-${index}`, spec).catch(() => undefined)
		if (answer === undefined) return refusals
		if (answer.status >= 300) refusals.push(answer.body as Problem)
	}
}
