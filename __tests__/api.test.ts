import {connect} from "node:net"
import {expect} from "chai"
import {request} from "undici"
import {
	type BundleView,
	type JobView,
	type Refusal,
	MAX_BODY_BYTES,
	RanState,
	ReasonCode,
	hashText
} from "../src/internal.js"
import {findStatus} from "../src/adapters/problems.js"
import {
	type Answer,
	CALLER_TOKEN,
	type Cluster,
	OPERATOR_TOKEN,
	createBundleContent,
	createCluster,
	waitFor
} from "./fixtures/cluster.js"

const OTHER_TOKEN = "token-of-another-caller"
const READ = {kind: "call", service: "address-read", repeatable: true}

interface Attempt {
	readonly method: "GET" | "POST" | "PUT"
	readonly path: string
	readonly token?: string
	readonly body?: unknown
	readonly headers?: Readonly<Record<string, string>>
}

interface Problem extends Refusal {
	readonly type: string
	readonly status: number
	readonly title: string
}

describe("the API's refusals", () => {
	let cluster: Cluster

	before(async () => {
		cluster = await createCluster({daemonsPerZone: 1, workersPerZone: 1})
		const content = createBundleContent()
		const [workspace] = content.workspaces
		const callers = {...workspace!.callers, other: hashText(OTHER_TOKEN)}
		await cluster.rollOut({...content, workspaces: [{...workspace!, callers}]})
		await waitFor("the host is ready", async () => {
			const answer = await cluster.submit(cluster.pickDaemon(), "first", READ)
			return answer.status < 300
		})
	})

	after(async () => {
		await cluster.stopAll()
	})

	function attempt<T>({method, path, token, body, headers}: Attempt): Promise<Answer<T>> {
		return cluster.call<T>(cluster.pickDaemon(), method, path, token, body, headers)
	}

	const submit = {method: "POST", path: "/v1/jobs", token: CALLER_TOKEN} as const
	const keyed = {headers: {"idempotency-key": "refused"}}
	const refusals: readonly [string, Attempt, ReasonCode, RegExp][] = [
		[
			"a request without a token",
			{method: "GET", path: "/v1/jobs"},
			ReasonCode.unauthenticated,
			/token/
		],
		[
			"an unknown token",
			{method: "GET", path: "/v1/jobs", token: "x"},
			ReasonCode.unauthenticated,
			/token/
		],
		[
			"an operator's token on a caller's route",
			{...submit, ...keyed, token: OPERATOR_TOKEN, body: READ},
			ReasonCode.forbidden,
			/caller/
		],
		[
			"a caller's token on an operator's route",
			{method: "GET", path: "/v1/bundle/history", token: CALLER_TOKEN},
			ReasonCode.forbidden,
			/operator/
		],
		[
			"a job without an idempotency key",
			{...submit, body: READ},
			ReasonCode.malformed,
			/Idempotency-Key/
		],
		["a job without a body", {...submit, ...keyed}, ReasonCode.malformed, /malformed job/],
		[
			"an invalid field (with its path and the allowed values)",
			{...submit, ...keyed, body: {...READ, priority: "soon"}},
			ReasonCode.malformed,
			/priority: .*"urgent"\|"normal"\|"batch"/
		],
		[
			"an unknown field",
			{...submit, ...keyed, body: {...READ, gpus: 1}},
			ReasonCode.malformed,
			/gpus/
		],
		[
			"a body that is too large",
			{...submit, ...keyed, body: {...READ, payload: "x".repeat(MAX_BODY_BYTES)}},
			ReasonCode.malformed,
			/more than/
		],
		[
			"a wait that is not a number",
			{method: "GET", path: "/v1/jobs/abc?waitMs=soon", token: CALLER_TOKEN},
			ReasonCode.malformed,
			/waitMs/
		],
		[
			"a history limit above the maximum",
			{method: "GET", path: "/v1/bundle/history?limit=100000", token: OPERATOR_TOKEN},
			ReasonCode.malformed,
			/limit/
		],
		[
			"an unknown job",
			{method: "GET", path: "/v1/jobs/abc", token: CALLER_TOKEN},
			ReasonCode.notFound,
			/no such job/
		],
		["an unknown route", {method: "GET", path: "/v2"}, ReasonCode.notFound, /no such route/],
		[
			"a malformed bundle",
			{method: "PUT", path: "/v1/bundle", token: OPERATOR_TOKEN, body: {generation: "two"}},
			ReasonCode.malformed,
			/generation/
		]
	]
	for (const [subject, refused, reason, detail] of refusals)
		it(`refuses ${subject} with a problem document`, async () => {
			const {status, body} = await attempt<Problem>(refused)
			expect(status).to.equal(findStatus(reason))
			expect(body).to.include({
				type: `urn:cardamomhook:problem:${reason}`,
				title: reason,
				reason,
				status,
				askAgain: false
			})
			expect(body.detail).to.match(detail)
			expect(body.ran).to.equal(
				reason === ReasonCode.notFound && refused.path.startsWith("/v1")
					? RanState.unknown
					: RanState.no
			)
		})

	it("counts every refusal by its reason", async () => {
		await attempt<Problem>({method: "GET", path: "/v2"})
		const {body} = await request(`${cluster.pickDaemon().url}/metrics`)
		const text = await body.text()
		for (const reason of Object.values(ReasonCode))
			expect(text).to.include(`cardamomhook_api_problems_total{reason="${reason}"}`)
		const counted = /cardamomhook_api_problems_total\{reason="not-found"\} (\d+)/.exec(text)
		expect(Number(counted?.[1])).to.be.at.least(1)
	})

	it("shows a job to its own caller and to nobody else", async () => {
		const {body} = await cluster.submit(cluster.pickDaemon(), "mine", READ)
		const path = `/v1/jobs/${body.id}`
		const mine = await attempt<JobView>({method: "GET", path, token: CALLER_TOKEN})
		expect(mine.body.id).to.equal(body.id)
		for (const otherRequest of [
			{method: "GET", path, token: OTHER_TOKEN},
			{method: "POST", path: `${path}/cancel`, token: OTHER_TOKEN}
		] as const) {
			const answer = await attempt<Problem>(otherRequest)
			expect(answer.body.reason).to.equal(ReasonCode.notFound)
		}
		const list = await attempt<{jobs: JobView[]}>({
			method: "GET",
			path: "/v1/jobs",
			token: OTHER_TOKEN
		})
		expect(list.body.jobs).to.deep.equal([])
	})

	it("refuses an inconsistent bundle with the path of each fault, and changes nothing", async () => {
		const bundleRequest = {method: "GET", path: "/v1/bundle", token: OPERATOR_TOKEN} as const
		const before = await attempt<BundleView>(bundleRequest)
		const content = createBundleContent()
		const [workspace] = content.workspaces
		const shape = {members: 1, accelerators: 1, adjacency: "any", cpus: 1, memoryMb: 0} as const
		const refused = await cluster.rollOut({
			...content,
			workspaces: [
				{...workspace!, guarantees: [{zone: "zone-z", shape, count: 1}]},
				{...workspace!, callers: {}}
			],
			policies: {...content.policies, queue: "lottery"}
		})
		expect(refused.status).to.equal(400)
		const {detail} = refused.body as Problem
		expect(detail).to.include("workspaces.1.name")
		expect(detail).to.include("workspaces.0.guarantees.0.zone: expected one of zone-a")
		expect(detail).to.include("policies.queue: expected one of fifo")
		const after = await attempt<BundleView>(bundleRequest)
		expect(after.body.generation).to.equal(before.body.generation)
	})

	it("closes a connection whose headers or body do not arrive in time", async () => {
		const host = cluster.pickDaemon()
		const starts = ["GET /healthz HTTP/1.1\r\n", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"]
		const bodyPending = `${starts[1]}Content-Length: 100\r\nAuthorization: Bearer ${CALLER_TOKEN}\r\nIdempotency-Key: slow\r\n\r\n{`
		const closed = [starts[0], bodyPending].map(
			text =>
				new Promise<void>((resolve, reject) => {
					const socket = connect(host.port, "127.0.0.1", () => socket.write(text ?? ""))
					socket.on("data", () => undefined)
					socket.on("close", () => {
						resolve()
					})
					socket.on("error", reject)
				})
		)
		await Promise.all(closed)
	})
})
