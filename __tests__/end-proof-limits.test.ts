/** Answers, errors and reports that are taken for the end of a run and don't prove it. */
import {once} from "node:events"
import {subscribe, unsubscribe} from "node:diagnostics_channel"
import {createServer} from "node:http"
import {type AddressInfo, type Socket} from "node:net"
import {expect} from "chai"
import {
	type BoardEvent,
	EndEvidence,
	NODE_PREFIX,
	TransportError,
	releaseRun
} from "../src/internal.js"
import {HttpClient} from "../src/adapters/http-client.js"
import {type CommandAnswer, FleetMonitor, FleetWorker} from "../standins/fleet/worker.js"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, type DomainHost, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000037"
const TASK = `${ID}.0.0.0`
const START = "/v1/run-start"
const LATENCY_MS = 2
const LONG_MS = 30000
/** Time after the arrival of a start at which a report is requested. */
const SEEN_MS = 5
/** Longer than any lease counts. */
const PLAYED_MS = 25000
const CONNECTED_CHANNEL = "undici:client:connected"

type Domain = Awaited<ReturnType<typeof createServingDomain>>

/** Lets another worker answer at the worker's address. */
function replaceWorker({fleet, clock}: Domain, id: string): void {
	const capacity = {cpuMillis: 0, memoryMb: 0, accelerators: 0}
	fleet.workers.set(id, new FleetWorker("other", clock, new FleetMonitor(), new Set(), capacity))
}

/** Creates a domain of two hosts whose holder has recorded its workers and runs a task on one of them. */
async function createRecordedRun() {
	const domain = await createServingDomain({hosts: 2, workers: 2})
	await domain.advance(2000)
	await domain.submit(domain.first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
	await domain.advanceUntil(() => domain.fleet.monitor.starts.length === 1)
	await domain.advance(500)
	return {...domain, worker: domain.fleet.monitor.starts[0]!.worker}
}

function killHolder(host: DomainHost): void {
	host.stop()
	host.board.authority.delete("fleet")
}

function findLast({board}: DomainHost, name: string): BoardEvent | undefined {
	return [...board.events.values()].filter(event => event.name === name).at(-1)
}

/** Lets the worker carry out its first start and answer it with a status that says nothing about the run. */
function answerFirstStart(worker: FleetWorker, status: number): void {
	const start = worker.start.bind(worker)
	let starts = 0
	worker.start = command => {
		const answer = start(command)
		return ++starts === 1 ? ({status, body: {}} as unknown as CommandAnswer) : answer
	}
}

/** Breaks the connection by `code` once the server has read the request, and returns the error of the call. */
async function breakAfterRequest(code: string): Promise<TransportError> {
	const sockets: Socket[] = []
	const addSocket = (message: unknown) => {
		sockets.push((message as {socket: Socket}).socket)
	}
	const server = createServer(request => {
		request.resume().on("end", () => {
			for (const socket of sockets)
				socket.destroy(Object.assign(new Error(`read ${code}`), {code, syscall: "read"}))
		})
	})
	server.listen(0, "127.0.0.1")
	await once(server, "listening")
	subscribe(CONNECTED_CHANNEL, addSocket)
	const client = new HttpClient()
	try {
		const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}${START}`
		const result = await client.exchange({method: "POST", url, body: {}, timeoutMs: 5000})
		return result._unsafeUnwrapErr() as TransportError
	} finally {
		unsubscribe(CONNECTED_CHANNEL, addSocket)
		await client.close()
		server.closeAllConnections()
		server.close()
	}
}

/** Advances until the list of workers is read. */
async function awaitList({plan, advanceUntil}: Domain): Promise<void> {
	let isRead = false
	plan.computeDelay = (_, {target, query}) => {
		if (target === STORE_TARGET && query.get("table") === "servers") isRead = true
		return LATENCY_MS
	}
	await advanceUntil(() => isRead)
}

describe("the answer to a start", () => {
	for (const status of [408, 500, 502, 504])
		it(`proves nothing by the status ${status}`, async () => {
			const {first, fleet, submit, advance} = await createServingDomain()
			for (const worker of fleet.workers.values()) answerFirstStart(worker, status)
			await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
			await advance(PLAYED_MS)
			expect(fleet.monitor.violations).to.deep.equal([])
		})
})

describe("a call whose connection breaks after the request was read", () => {
	for (const code of ["ECONNRESET", "EHOSTUNREACH", "ENETUNREACH"])
		it(`counts as sent (${code})`, async () => {
			const error = await breakAfterRequest(code)
			expect(error).to.be.instanceOf(TransportError)
			expect(error.message).to.contain(code)
			expect(error.sent).to.equal(true)
		})
})

describe("a run on a worker that restarted under its id", () => {
	for (const [startMs, order] of [
		[LATENCY_MS, "answered before"],
		[30, "answered after"]
	] as const)
		it(`is not started elsewhere because of a late report of the earlier process (its start is ${order} it was seen)`, async () => {
			const domain = await createServingDomain({workers: 1})
			const {first, fleet, plan, clock, submit, advance, advanceUntil} = domain
			const requestReport = () => {
				first.board.reportRequests.set("w1", clock.now())
			}
			await awaitList(domain)
			await advance(320)
			let late: FleetCall | undefined
			let isStarted = false
			plan.computeDelay = (_, call) => {
				if (call.target === "w1" && call.path.endsWith("hold")) late ??= call
				if (call.path === START) isStarted = true
				if (call === late) return 450
				return call.path === START ? startMs : LATENCY_MS
			}
			requestReport()
			await advance(460)
			fleet.workers.get("w1")!.restart()
			fleet.register("w1")
			requestReport()
			await advance(40)
			expect(first.board.nodes.get("w1")?.incarnation).to.equal(`${fleet.workers.get("w1")!.born}`)
			void submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
			await advanceUntil(() => isStarted)
			await advance(startMs + SEEN_MS)
			requestReport()
			fleet.addWorker("w2")
			await advance(PLAYED_MS)
			expect(fleet.monitor.violations).to.deep.equal([])
		})

	it("is not started elsewhere because another worker answered in between, while a late start may still reach it", async () => {
		const domain = await createServingDomain({workers: 1})
		const {first, fleet, plan, submit, advance, advanceUntil} = domain
		const starts: FleetCall[] = []
		plan.computeDelay = (_, call) => {
			if (call.path === START && call.target === "w1") starts.push(call)
			return call === starts[0] ? 4500 : LATENCY_MS
		}
		plan.isLost = (_, call) => call.path === START && call.target === "w1" && starts.length > 0
		await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
		await advanceUntil(() => starts.length === 1)
		const worker = fleet.workers.get("w1")!
		worker.restart()
		fleet.addWorker("w2")
		replaceWorker(domain, "w1")
		await advance(4000)
		fleet.workers.set("w1", worker)
		worker.restart()
		await advance(PLAYED_MS)
		expect(fleet.monitor.starts.map(start => start.task)).to.include(TASK)
		expect(fleet.monitor.violations).to.deep.equal([])
	})
})

describe("the record of a worker", () => {
	for (const isListed of [true, false])
		it(`lets a new holder go on once another worker answers in its place (${isListed ? "listed" : "unlisted"})`, async () => {
			const domain = await createRecordedRun()
			const {first, fleet, worker, advanceUntil, findHolder} = domain
			killHolder(first)
			fleet.workers.get(worker)!.restart()
			replaceWorker(domain, worker)
			if (!isListed) fleet.store.deleteRow("servers", worker)
			await advanceUntil(() => findHolder()?.board.terms.has("loaded") === true)
			expect(findHolder()).not.to.equal(first)
			expect(await advanceUntil(() => fleet.monitor.starts.length === 2)).to.be.below(3000)
		})

	it("proves nothing about a live worker that has another address since", async () => {
		const domain = await createRecordedRun()
		const {first, fleet, worker, advance, advanceUntil, findHolder} = domain
		killHolder(first)
		fleet.workers.set("moved", fleet.workers.get(worker)!)
		replaceWorker(domain, worker)
		fleet.store.deleteRow("servers", worker)
		await advanceUntil(() => findHolder()?.board.terms.has("loaded") === true)
		await advance(1500)
		const entry = {...fleet.describeWorker(worker), born: fleet.workers.get("moved")!.born}
		fleet.store.putRow("servers", worker, {...entry, address: "moved:7000"})
		await advance(PLAYED_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("is the newest one after an earlier commit without an answer took effect late", async () => {
		const {first, fleet, plan, advance, advanceUntil} = await createServingDomain({workers: 2})
		await advance(3000)
		const isRecordCommit = ({target, body}: FleetCall) =>
			target === STORE_TARGET && JSON.stringify(body ?? {}).includes('"table":"node"')
		const commits: FleetCall[] = []
		plan.computeDelay = (_, call) => {
			if (isRecordCommit(call)) commits.push(call)
			return call === commits[0] ? 4500 : LATENCY_MS
		}
		const worker = fleet.workers.get("w1")!
		const restart = () => {
			worker.restart()
			fleet.register("w1")
		}
		restart()
		await advanceUntil(() => commits.length === 1)
		restart()
		await advance(PLAYED_MS)
		expect(commits.length).to.be.at.least(2)
		expect(first.board.nodes.get("w1")?.answeredAs).to.equal(`${worker.born}`)
		const {rows} = fleet.store.readRange(NODE_PREFIX.slice(0, -1), "main", "w1", undefined, 1)
		const record = JSON.parse(Buffer.from(rows[0]?.value ?? "", "base64").toString()) as object
		expect(record).to.include({incarnation: `${worker.born}`})
	})
})

describe("the log of a release", () => {
	it("counts the silence of a worker that did not answer in this term from the load of the term", async () => {
		const {first, fleet, plan, worker, advanceUntil, findHolder} = await createRecordedRun()
		killHolder(first)
		plan.isLost = (_, {target}) => target === worker
		fleet.store.deleteRow("servers", worker)
		await advanceUntil(() => fleet.monitor.starts.length === 2)
		const expired = findLast(findHolder()!, "worker-expired")
		expect(expired?.fields.silentMs).to.be.below(PLAYED_MS)
	})

	it("warns in the next term of a released run that goes on", async () => {
		const {first, fleet, clock, worker, advance, advanceUntil, findHolder} =
			await createRecordedRun()
		const ref = first.board.runs.get(TASK)!
		const proof = {place: "test", evidence: EndEvidence.absent, ageMs: 40}
		releaseRun(first.board, ref, "absent", proof, clock.now())
		await advanceUntil(() => ref.occurrence.savedRevision === ref.occurrence.revision)
		killHolder(first)
		expect(fleet.workers.get(worker)!.running).to.deep.equal([TASK])
		await advanceUntil(() => findHolder()?.board.terms.has("loaded") === true)
		expect(findHolder()).not.to.equal(first)
		await advance(3000)
		expect(findLast(findHolder()!, "run-ended")?.fields).to.include({task: TASK, run: 1, worker})
		expect(findLast(findHolder()!, "release-contradicted")).not.to.equal(undefined)
	})
})
