/** A domain with one holder, on the platform's stand-in: what must hold while hosts, workers and the store fail. */
import {expect} from "chai"
import {Lifecycle, ReplyKind, WorkflowAction} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {
	type DomainHost,
	BATCH,
	CALLER_KEY,
	OTHER_KEY,
	URGENT,
	createCatalogRecord,
	createDomain
} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"
const ID_B = "00000000000000bb"
const ID_C = "00000000000000cc"

interface StepOptions {
	readonly count?: number
	readonly gpu?: number
	readonly cpu?: number
	readonly gang?: boolean
	readonly workMs?: number
	readonly [field: string]: unknown
}

/** A job of one step, whose payload tells the stand-in how its tasks behave. */
function createJob(options: StepOptions = {}, payload: Record<string, unknown> = {}) {
	const {count = 1, gpu = 1, cpu = 1000, gang = false, workMs = 1000, ...step} = options
	return {
		spec: JSON.stringify({workMs, gang: gang ? count : 1, cpu, gpu, ...payload}),
		steps: [{count, gpu, cpu, gang, estimate_ms: workMs, ...step}]
	}
}

function isCallTo(call: FleetCall, path: string): boolean {
	return call.path === path
}

/** A domain whose first host holds it, with some workers. */
async function createServingDomain({hosts = 1, workers = 2} = {}) {
	const domain = createDomain()
	for (let index = 0; index < workers; index++) domain.fleet.addWorker(`w${index + 1}`)
	const first = domain.addHost()
	await domain.advanceUntil(() => domain.findHolder() !== undefined)
	for (let index = 1; index < hosts; index++) domain.addHost()
	await domain.advanceUntil(() => first.board.nodes.size === workers)
	await domain.advance(200)
	return {...domain, first}
}

function isHolder({board}: DomainHost): boolean {
	return board.authority.get("fleet")?.mine === true
}

describe("a domain on the platform", () => {
	it("runs a job from its acceptance to its end", async () => {
		const {first, fleet, submit, readState, advance} = await createServingDomain()
		const reply = await submit(first, `${BATCH}${ID_A}`, createJob({count: 3}))
		expect(reply.kind).to.equal(ReplyKind.workflow)
		await advance(2000)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(fleet.ledger.done.size).to.equal(3)
		expect(fleet.ledger.broken).to.deep.equal([])
	})

	it("gives the members of a gang one run number", async () => {
		const {first, fleet, submit, readState, advance} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 4, gpu: 4, gang: true}))
		await advance(2000)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(new Set(fleet.ledger.starts.map(({run}) => run))).to.deep.equal(new Set([1]))
	})

	it("keeps to the bound of a step's tasks on one worker within one round", async () => {
		const {first, fleet, submit, advance} = await createServingDomain({workers: 1})
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 4, max_per_server: 2}))
		await advance(500)
		expect(fleet.workers.get("w1")?.running).to.have.length(2)
	})

	it("starts a step only after the steps before it", async () => {
		const {first, fleet, submit, advance} = await createServingDomain()
		const step = {count: 1, gpu: 1, cpu: 1000}
		const job = {spec: '{"workMs":1000}', steps: [step, {...step, after: [0]}]}
		await submit(first, `${BATCH}${ID_A}`, job)
		await advance(800)
		expect(fleet.ledger.starts.map(({task}) => task)).to.deep.equal([`${ID_A}.0.0.0`])
		await advance(2000)
		expect(fleet.ledger.done.has(`${ID_A}.0.1.0`)).to.equal(true)
	})

	it("never gives a worker more than it has room for", async () => {
		const {first, fleet, submit, advance, readState} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 40, gpu: 1, workMs: 400}))
		await advance(4000)
		expect(fleet.ledger.broken).to.deep.equal([])
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
	})

	it("stops lower work once, and no more than it needs, for urgent work", async () => {
		const {first, fleet, submit, advance} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 16, workMs: 20000}))
		await advance(500)
		await submit(first, `${URGENT}${ID_B}`, createJob({count: 1, gpu: 4}))
		await advance(700)
		const isUrgent = fleet.ledger.starts.some(({task}) => task.startsWith(ID_B))
		expect(isUrgent).to.equal(true)
		const running = [...fleet.workers.values()].flatMap(worker => worker.running)
		expect(running.filter(task => task.startsWith(ID_A))).to.have.length(12)
	})

	it("does not take hours of work whose percents come slowly to stand still", async () => {
		const {first, fleet, submit, advance} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 4, workMs: 3600000}))
		await advance(20000)
		expect(fleet.ledger.starts).to.have.length(4)
	})

	it("does not wait long for runs that do not end when their progress says so", async () => {
		const {first, fleet, submit, advance, advanceUntil} = await createServingDomain()
		const job = createJob({count: 16, workMs: 20000}, {reportedMs: 3000})
		await submit(first, `${BATCH}${ID_A}`, job)
		await advance(2700)
		await submit(first, `${URGENT}${ID_B}`, createJob({count: 1, gpu: 8, cpu: 8000}))
		const isStarted = () => fleet.ledger.starts.some(({task}) => task.startsWith(ID_B))
		expect(await advanceUntil(isStarted)).to.be.lessThan(2000)
	})

	it("fails a job only after its last attempt", async () => {
		const {first, fleet, submit, advance, readState} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 200}, {fails: true}))
		await advance(3000)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("failed")
		expect(fleet.ledger.starts).to.have.length(2)
	})

	it("stops a cancelled job, and says that it was cancelled", async () => {
		const {first, fleet, submit, ask, advance, readState} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 4, workMs: 20000}))
		await advance(500)
		await ask(first, {action: WorkflowAction.cancel, path: `${BATCH}${ID_A}`})
		await advance(1000)
		expect([...fleet.workers.values()].flatMap(worker => worker.running)).to.deep.equal([])
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("cancelled")
	})

	it("starts nothing on a worker that is draining, nor in a zone that is out", async () => {
		const {first, fleet, submit, advance} = await createServingDomain()
		fleet.register("w1", "draining")
		fleet.store.put("op", "evacuate/zone-b", {})
		fleet.addWorker("w3", {zone: "zone-b"})
		await advance(1500)
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 8, workMs: 500}))
		await advance(3000)
		const used = new Set(fleet.ledger.starts.map(({worker}) => worker))
		expect([...used]).to.deep.equal(["w2"])
	})

	it("moves work off a worker that leaves, unless it ends before", async () => {
		const {first, fleet, submit, advance} = await createServingDomain({workers: 1})
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 6000}))
		await submit(first, `${BATCH}${ID_B}`, createJob({workMs: 2500}))
		await advance(500)
		fleet.addWorker("w2")
		fleet.register("w1", "draining", 2500)
		await advance(2000)
		const starts = fleet.ledger.starts.map(({task, worker}) => `${task} ${worker}`)
		expect(starts).to.deep.equal([`${ID_A}.0.0.0 w1`, `${ID_B}.0.0.0 w1`, `${ID_A}.0.0.0 w2`])
	})

	it("lets work with checkpoints go on until shortly before its worker leaves", async () => {
		const {first, fleet, submit, advanceUntil} = await createServingDomain({workers: 1})
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 9000, checkpointing: true}))
		await advanceUntil(() => fleet.ledger.starts.length === 1)
		fleet.addWorker("w2")
		fleet.register("w1", "draining", 5000)
		const movedAfterMs = await advanceUntil(() => fleet.ledger.starts.length === 2)
		expect(movedAfterMs).to.be.within(3000, 5000)
	})

	it("completes urgent work in time at twice the load that its workers hold", async () => {
		const {first, fleet, ask, advance, clock} = await createServingDomain()
		const workMs = 2500
		const objectiveMs = 1.5 * workMs + 400
		const acceptedAt = new Map<string, number>()
		const completedAt = new Map<string, number>()
		const pass = async (ms: number) => {
			for (let passed = 0; passed < ms; passed += 50) {
				await advance(50)
				for (const task of fleet.ledger.done)
					if (!completedAt.has(task)) completedAt.set(task, clock.now())
			}
		}
		for (let index = 0; index < 25; index++) {
			const id = index.toString(16).padStart(16, "0")
			const spec = decodeWorkflow(createJob({gpu: 8, workMs}))
			const path = `${URGENT}${id}`
			await ask(first, {action: WorkflowAction.submit, path, spec, key: OTHER_KEY})
			acceptedAt.set(id, clock.now())
			await pass(600)
		}
		await pass(10000)
		const inTime = [...acceptedAt].filter(
			([id, time]) => (completedAt.get(`${id}.0.0.0`) ?? Infinity) - time <= objectiveMs
		)
		expect(inTime.length).to.be.at.least(10)
	})

	it("accepts a job once where the answer to its commit was lost", async () => {
		const {first, fleet, plan, submit, advance} = await createServingDomain()
		let lost = 0
		plan.isAnswerLost = (_, call) => isCallTo(call, "/v1/rows-tx") && lost++ < 1
		const reply = await submit(first, `${BATCH}${ID_A}`, createJob())
		expect(reply.kind).to.equal(ReplyKind.workflow)
		await submit(first, `${BATCH}${ID_A}`, createJob())
		await advance(4000)
		expect(fleet.ledger.starts).to.have.length(1)
	})

	it("never says that a job did not run while its commit may still take effect", async () => {
		const {first, plan, ask} = await createServingDomain()
		plan.isAnswerLost = (_, call) => isCallTo(call, "/v1/rows-tx")
		const reply = await ask(first, {
			action: WorkflowAction.submit,
			path: `${BATCH}${ID_A}`,
			patienceMs: 500,
			spec: decodeWorkflow(createJob())
		})
		expect(reply.kind === ReplyKind.refused && reply.refusal.reason).to.equal("answer-lost")
	})

	it("repeats a start whose answer was lost, and runs the task once", async () => {
		const {first, fleet, plan, submit, advance, readState} = await createServingDomain()
		let lost = 0
		plan.isAnswerLost = (_, call) => isCallTo(call, "/v1/run-start") && lost++ < 1
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 3000}))
		await advance(6000)
		expect(fleet.ledger.starts).to.have.length(1)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
	})

	it("refuses a start that comes late, after it was ruled out", async () => {
		const {first, fleet, plan, submit, advance, advanceUntil} = await createServingDomain()
		const late: FleetCall[] = []
		plan.isLost = (_, call) => {
			const isStart = isCallTo(call, "/v1/run-start") && late.length < 2
			if (isStart) late.push(call)
			return isStart
		}
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 3000}))
		await advanceUntil(() => fleet.ledger.starts.length > 0)
		for (const call of late) await fleet.handle(call)
		await advance(4000)
		expect(fleet.ledger.broken).to.deep.equal([])
		expect(fleet.ledger.starts.map(({run}) => run)).to.deep.equal([2])
	})

	it("goes on under a successor, without a second run, when its holder is killed", async () => {
		const {first, fleet, submit, advance, advanceUntil, findHolder, hosts, readState} =
			await createServingDomain({hosts: 3})
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 6, workMs: 8000}))
		await advance(1000)
		first.stop()
		first.board.authority.delete("fleet")
		await advanceUntil(() => findHolder() !== undefined)
		await advance(9000)
		const [, second] = hosts
		expect(await readState(second!, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(fleet.ledger.starts).to.have.length(6)
		expect(fleet.ledger.broken).to.deep.equal([])
	})

	it("starts work again within 2.5 s of the death of its holder", async () => {
		for (let offset = 0; offset < 1000; offset += 250) {
			const {first, fleet, submit, advance, advanceUntil, hosts} = await createServingDomain({
				hosts: 2
			})
			await advance(offset)
			first.stop()
			first.board.authority.delete("fleet")
			const [, second] = hosts
			await submit(second!, `${URGENT}${ID_A}`, createJob())
			const tookMs = await advanceUntil(() => fleet.ledger.starts.length === 1)
			expect(tookMs).to.be.below(2500)
		}
	})

	it("runs no occurrence again under a successor where an earlier one has not begun", async () => {
		const {first, fleet, submit, advance, advanceUntil, addHost} = await createServingDomain({
			workers: 0
		})
		const schedule = {first_run_ms: 1, interval_ms: 1, repeat_count: 2}
		await submit(first, `${BATCH}${ID_A}`, {...createJob(), ...schedule})
		const tasks = [["done", 1, 0, "", "", "", []]]
		const row = Buffer.from(JSON.stringify([{tasks, gangFailures: 0, gangFailedRun: 0}]))
		const key = {table: "progress", part: "main", key: `${ID_A}.1`}
		fleet.store.transact({
			precondition: [],
			put: [{...key, value: row.toString("base64")}],
			delete: []
		})
		first.stop()
		fleet.addWorker("w1")
		const second = addHost()
		await advanceUntil(() => second.board.authority.get("fleet")?.mine === true)
		await advance(3000)
		expect(fleet.ledger.starts.map(({task}) => task)).to.deep.equal([`${ID_A}.0.0.0`])
	})

	it("leaves the domain to a larger host", async () => {
		const {addHost, advanceUntil, findHolder} = createDomain()
		addHost({coreShare: 0.3})
		const large = addHost()
		await advanceUntil(() => findHolder() !== undefined)
		expect(findHolder()?.id).to.equal(large.id)
	})

	it("leaves the domain to a larger host after its own restart and after a hand-over", async () => {
		const {addHost, advance, advanceUntil, findHolder} = createDomain()
		const small = addHost({coreShare: 0.3})
		await advanceUntil(() => small.board.terms.has("loaded"))
		const large = addHost()
		await advance(1500)
		small.stop()
		const restarted = addHost({coreShare: 0.3}, small.id)
		small.board.authority.delete("fleet")
		await advanceUntil(() => findHolder() !== undefined)
		expect(findHolder()?.id).to.equal(large.id)

		large.board.lifecycle.set("state", Lifecycle.drained)
		const second = addHost()
		await advanceUntil(() => [restarted, second].some(isHolder))
		expect(isHolder(second)).to.equal(true)
	})

	it("leaves the domain to a larger host after an outage of the store", async () => {
		const {addHost, advance, advanceUntil, plan, findHolder} = createDomain()
		const first = addHost()
		await advanceUntil(() => first.board.terms.has("loaded"))
		const small = addHost({coreShare: 0.3})
		await advance(300)
		const large = addHost()
		await advance(1500)
		first.stop()
		first.board.authority.delete("fleet")
		plan.isLost = (hostId, call) => call.target === STORE_TARGET && hostId === large.id
		plan.isRefused = (hostId, call) => call.target === STORE_TARGET && hostId === small.id
		await advance(8000)
		plan.isLost = () => false
		plan.isRefused = () => false
		await advanceUntil(() => findHolder() !== undefined)
		expect(findHolder()?.id).to.equal(large.id)
	})

	it("has a small host hold the domain where there is no larger one", async () => {
		const {addHost, advanceUntil} = createDomain()
		const small = addHost({coreShare: 0.3})
		const tookMs = await advanceUntil(() => small.board.terms.has("loaded"))
		expect(tookMs).to.be.below(2000)
	})

	it("keeps the domain while an overloaded store refuses three renewals of four", async () => {
		const {first, plan, advance, addHost} = await createServingDomain()
		addHost()
		let renewals = 0
		plan.isRefused = (hostId, call) =>
			hostId === first.id && isCallTo(call, "/v1/rows-tx") && renewals++ % 4 !== 3
		await advance(12000)
		expect(first.board.authority.get("fleet")?.epoch).to.equal(1)
		expect(first.board.authority.get("fleet")?.mine).to.equal(true)
	})

	it("keeps work running through an outage of the store", async () => {
		const {first, fleet, plan, submit, advance, readState} = await createServingDomain({hosts: 2})
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 4, workMs: 6000}))
		await advance(500)
		plan.isLost = (_, call) => call.target === STORE_TARGET
		await advance(6000)
		plan.isLost = () => false
		await advance(6000)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(fleet.ledger.starts).to.have.length(4)
	})

	it("starts work again only after the lease of a worker that is out of reach", async () => {
		const {first, fleet, plan, submit, advance, advanceUntil} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 30000}))
		await advance(500)
		const [{worker: lost} = {worker: ""}] = fleet.ledger.starts
		plan.isLost = (_, call) => call.target === lost
		const waitedMs = await advanceUntil(() => fleet.ledger.starts.length > 1)
		expect(waitedMs).to.be.greaterThan(8000).and.lessThan(13000)
		expect(fleet.ledger.broken).to.deep.equal([])
	})

	it("gives work again soon to a worker that has lost one answer", async () => {
		const {first, plan, advance, advanceUntil} = await createServingDomain({workers: 1})
		const readFailures = () => first.board.nodes.get("w1")?.failures
		let lost = 0
		plan.isAnswerLost = (_, call) => isCallTo(call, "/v1/hold") && lost++ < 1
		await advanceUntil(() => readFailures() === 1)
		await advance(400)
		expect(readFailures()).to.equal(0)
	})

	it("starts at once what ran on a worker that was started anew", async () => {
		const {first, fleet, submit, advance, advanceUntil} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 30000}))
		await advance(500)
		const [{worker} = {worker: ""}] = fleet.ledger.starts
		fleet.workers.get(worker)?.restart()
		fleet.register(worker)
		const waitedMs = await advanceUntil(() => fleet.ledger.starts.length > 1)
		expect(waitedMs).to.be.lessThan(3000)
		expect(fleet.ledger.broken).to.deep.equal([])
	})

	it("stops honouring a key without newer evidence well before the bound", async () => {
		const {first, plan, ask, advance} = await createServingDomain()
		plan.isLost = (_, call) => call.target === STORE_TARGET
		await advance(5000)
		const reply = await ask(first, {path: `${BATCH}${ID_A}`})
		expect(reply.kind === ReplyKind.refused && reply.refusal.reason).to.equal(
			"platform-unavailable"
		)
	})

	it("refuses a key that was taken away, and a caller of another workspace", async () => {
		const {first, fleet, submit, advance, ask, readState} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob())
		const other = await ask(first, {path: `${BATCH}${ID_A}`, key: "key-of-another"})
		expect(other.kind === ReplyKind.refused && other.refusal.reason).to.equal("unknown-workflow")
		fleet.store.put("op", "config", createCatalogRecord(2, {keys: ["a-new-key"]}))
		await advance(500)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("unauthenticated")
	})

	it("reads everything again where the history of changes is gone", async () => {
		const {first, fleet, advance, readState, plan} = await createServingDomain()
		plan.isLost = (_, call) => isCallTo(call, "/v1/rows-feed")
		fleet.store.put("op", "config", createCatalogRecord(2, {keys: [CALLER_KEY, "a-new-key"]}))
		fleet.store.forgetHistory()
		await advance(2500)
		plan.isLost = () => false
		await advance(500)
		expect(first.board.catalog.get("current")?.catalog.version).to.equal(2)
		expect(await readState(first, `${BATCH}${ID_C}`)).to.equal("unknown-workflow")
	})

	it("passes over entries of workers that can't be understood", async () => {
		const {first, fleet, advance} = await createServingDomain()
		fleet.store.put("servers", "odd", {state: "resting", service: 7})
		await advance(1500)
		expect([...first.board.nodes.keys()]).to.deep.equal(["w1", "w2"])
	})
})
