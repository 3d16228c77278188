/** Workspaces at their cap while something fails, one failure a test: they never have more running than it allows. */
import {expect} from "chai"
import {TaskPhase} from "../src/internal.js"
import {setCatalog, createCap, createCappedDomain, createId, findRefusal} from "./fixtures/caps.js"
import {BATCH, URGENT, createJob} from "./fixtures/domain.js"
import {STORE_TARGET, type FleetCall} from "../standins/fleet/fleet.js"

const CAP = 6
const OFFICE = {office: {cap: createCap(CAP)}}
const JOB_A = `${BATCH}${createId(1)}`
const JOB_B = `${BATCH}${createId(2)}`

const isWrite = ({target, path}: FleetCall) => target === STORE_TARGET && path === "/v1/rows-tx"
const isStart = ({path}: FleetCall) => path === "/v1/run-start"

describe("the cap of a workspace, under failure,", () => {
	it("is kept by the next holder if the holder ends before its plan is written", async () => {
		const {first, hosts, plan, fleet, submit, observe, advanceUntil} = await createCappedDomain(
			OFFICE,
			2
		)
		await submit(first, JOB_A, createJob({count: 30, workMs: 1000}))
		await observe(500)
		plan.isLost = (host, call) => host === first.id && isWrite(call)
		await advanceUntil(() =>
			[...first.board.runs.values()].some(({task}) => task.phase === TaskPhase.planned)
		)
		first.stop()
		expect(await observe(12000)).to.equal(CAP)
		expect(hosts[1]!.board.terms.has("loaded")).to.equal(true)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("is kept while the answers to the holder's writes are lost", async () => {
		const {first, plan, submit, observe, countRunning, advanceUntil} =
			await createCappedDomain(OFFICE)
		await submit(first, JOB_A, createJob({count: 60, workMs: 400}))
		let lost = 0
		plan.isAnswerLost = (_, call) => isWrite(call) && lost++ % 3 === 0
		expect(await observe(6000)).to.equal(CAP)
		plan.isAnswerLost = () => false
		await advanceUntil(() => countRunning() === CAP)
		expect(lost).to.be.above(6)
	})

	it("is kept while the store is slow", async () => {
		const {first, plan, submit, observe} = await createCappedDomain(OFFICE)
		plan.computeDelay = (_, {target}) => (target === STORE_TARGET ? 250 : 2)
		await submit(first, JOB_A, createJob({count: 60, workMs: 300}))
		expect(await observe(6000)).to.equal(CAP)
	})

	it("is kept while the store is away", async () => {
		const {first, plan, submit, observe} = await createCappedDomain(OFFICE)
		await submit(first, JOB_A, createJob({count: 60, workMs: 700}))
		await observe(1000)
		plan.isLost = (_, {target}) => target === STORE_TARGET
		expect(await observe(4000)).to.be.at.most(CAP)
		plan.isLost = () => false
		expect(await observe(6000)).to.equal(CAP)
	})

	it("is kept while workers restart under their ids", async () => {
		const {first, fleet, submit, observe} = await createCappedDomain(OFFICE)
		await submit(first, JOB_A, createJob({count: 60, workMs: 3000}))
		await observe(500)
		for (const [id, worker] of fleet.workers) {
			worker.crash()
			fleet.register(id)
			expect(await observe(3000)).to.equal(CAP)
		}
	})

	it("counts the runs of a silent worker until its lease has ended", async () => {
		const {first, fleet, plan, submit, observe, countRunning} = await createCappedDomain(OFFICE)
		await submit(first, JOB_A, createJob({count: 6, workMs: 60000}))
		await observe(500)
		const silent = [...fleet.workers.entries()].find(([, {running}]) => running.length > 0)![0]
		plan.isLost = (_, {target}) => target === silent
		await submit(first, JOB_B, createJob({count: 30, workMs: 60000}))
		expect(await observe(20000)).to.equal(CAP)
		expect(fleet.workers.get(silent)!.running).to.have.length(0)
		expect(countRunning()).to.equal(CAP)
	})

	it("counts the runs of a zone that is cut off, and lets others start in their place after it", async () => {
		const {first, fleet, plan, submit, observe, countRunning} = await createCappedDomain(OFFICE)
		const task = {count: 6, gpu: 1, max_per_server: 2, workMs: 60000}
		await submit(first, JOB_A, createJob(task))
		await observe(500)
		plan.isLost = (_, {target}) => target === "w1" || target === "w2"
		expect(await observe(8000)).to.equal(CAP)
		expect(await observe(8000)).to.be.at.most(CAP)
		expect(countRunning()).to.be.above(3)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("takes effect upwards at once when it is raised", async () => {
		const domain = await createCappedDomain(OFFICE)
		await domain.submit(domain.first, JOB_A, createJob({count: 30, workMs: 60000}))
		expect(await domain.observe(1000)).to.equal(CAP)
		await setCatalog(domain, 3, {office: {cap: createCap(20)}})
		expect(await domain.observe(500)).to.equal(20)
	})

	it("stops nothing and starts nothing when it is lowered below what runs", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(20)}})
		await domain.submit(domain.first, JOB_A, createJob({count: 40, workMs: 3000}))
		await domain.observe(500)
		await setCatalog(domain, 3, OFFICE)
		await domain.advance(1500)
		expect(domain.countRunning()).to.equal(20)
		await domain.advanceUntil(() => domain.countRunning() < 20)
		expect(await domain.observe(4000)).to.equal(CAP)
		expect(domain.fleet.monitor.starts.every(({run}) => run === 1)).to.equal(true)
	})

	it("no longer holds for a workspace that the configuration doesn't have any more", async () => {
		const domain = await createCappedDomain(OFFICE)
		await domain.submit(domain.first, JOB_A, createJob({count: 20, workMs: 60000}))
		await domain.observe(500)
		await setCatalog(domain, 3, {office: {name: "renamed"}})
		expect(await domain.observe(500)).to.equal(20)
	})

	it("is kept around a holder that was paused and returns", async () => {
		const {first, hosts, fleet, submit, observe, advanceUntil} = await createCappedDomain(OFFICE, 2)
		await submit(first, JOB_A, createJob({count: 60, workMs: 900}))
		await observe(500)
		first.clock.pause()
		await advanceUntil(() => hosts[1]!.board.terms.has("loaded"))
		expect(await observe(1000)).to.equal(CAP)
		first.clock.resume()
		expect(await observe(5000)).to.equal(CAP)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("counts runs that a worker begins late", async () => {
		const {first, plan, submit, observe, advanceUntil, countRunning} =
			await createCappedDomain(OFFICE)
		// The answer to a start is waited for 1 s; the workers carry these out later.
		plan.computeDelay = (_, call) => (isStart(call) && call.target !== "w4" ? 2500 : 2)
		await submit(first, JOB_A, createJob({count: 40, workMs: 1500}))
		expect(await observe(12000)).to.be.at.most(CAP)
		plan.computeDelay = () => 2
		await advanceUntil(() => countRunning() === CAP)
	})

	it("counts the CPU that tasks take only while others leave it idle", async () => {
		const {first, submit, observe} = await createCappedDomain({
			office: {cap: {cpu: 5000, mem_mb: 0, gpu: 0}}
		})
		await submit(first, JOB_A, createJob({count: 9, gpu: 0, cpu: 1000, fills: true, workMs: 60000}))
		expect(await observe(2000)).to.equal(5)
	})

	it("counts the capacity that is being freed for work that preempts", async () => {
		const {first, submit, submitOther, advance, observe} = await createCappedDomain(OFFICE)
		await submitOther(createId(3), createJob({count: 32, workMs: 60000}))
		await advance(1000)
		await submit(first, `${URGENT}${createId(4)}`, createJob({count: 4, workMs: 3000}))
		await submit(first, JOB_A, createJob({count: 4, workMs: 3000}))
		expect(await observe(3000, createId(4))).to.equal(4)
		expect(await observe(4000, createId(1))).to.be.at.most(CAP)
	})

	it("doesn't refuse a repeated submission that was accepted before it was lowered", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(8)}})
		const {first, submit} = domain
		const gang = createJob({count: 8, gang: true, workMs: 60000})
		expect(findRefusal(await submit(first, JOB_A, gang))).to.equal(undefined)
		await setCatalog(domain, 3, OFFICE)
		expect(findRefusal(await submit(first, JOB_A, gang))).to.equal(undefined)
		expect(findRefusal(await submit(first, JOB_B, gang))).to.equal("over-quota")
	})

	it("counts a run that a worker shows and the holder has released, until its lease ends", async () => {
		const domain = await createCappedDomain(OFFICE)
		const {first, fleet, plan, submit, advance, observe} = domain
		await submit(first, JOB_A, createJob({count: 12, workMs: 60000}))
		await advance(500)
		const worker = fleet.workers.get("w4")!
		plan.isLost = (_, {target, path}) => target === "w4" && path === "/v1/run-stop"
		// An earlier order for a task that runs elsewhere by now, carried out late.
		worker.start({
			task: `${createId(1)}.0.0.0`,
			run_id: 1,
			spec: JSON.stringify({workMs: 60000}),
			until_ms: worker.clockMs + 3000,
			fencing_token: first.board.authority.get("fleet")!.epoch
		})
		await advance(1000)
		plan.isLost = (_, {target}) => target === "w4"
		expect(first.board.health.get("w4")!.foreignRuns).to.have.length(1)
		await submit(first, JOB_B, createJob({count: 12, workMs: 60000}))
		await setCatalog(domain, 3, {office: {cap: createCap(CAP + 1)}})
		expect(await observe(1000)).to.equal(CAP + 1)
		expect(await observe(20000)).to.equal(CAP + 1)
		expect(worker.running).to.have.length(0)
		expect(await observe(100)).to.equal(CAP + 1)
	})
})
