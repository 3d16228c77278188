/** Workspaces at their cap: what they have running never exceeds it, whatever they hand in and whoever schedules. */
import {expect} from "chai"
import {ReplyKind, TaskPhase} from "../src/internal.js"
import {setCatalog, createCap, createCappedDomain} from "./fixtures/caps.js"
import {BATCH, URGENT, createJob} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"
const ID_B = "00000000000000bb"
const ID_C = "00000000000000cc"

describe("the cap of a workspace", () => {
	it("is used up and never exceeded, while work starts, is cancelled and fails", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(6)}})
		const {first, submit, observe} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 20, workMs: 700}))
		await submit(first, `${BATCH}${ID_B}`, createJob({count: 10, workMs: 300}, {fails: true}))
		expect(await observe(4000)).to.equal(6)
	})

	it("holds up no other workspace", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(2)}})
		const {first, submit, submitOther, observe} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 40, workMs: 5000}))
		await submitOther(ID_B, createJob({count: 30, workMs: 5000}))
		expect(await observe(1000, ID_B)).to.equal(30)
		expect(await observe(100, ID_A)).to.equal(2)
	})

	it("makes way for the workspace's own guaranteed work", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(8)}})
		const {first, submit, fleet, advance, observe, countRunning} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 20, workMs: 60000}))
		await advance(1000)
		expect(countRunning(ID_A)).to.equal(8)
		await submit(first, `${URGENT}${ID_B}`, createJob({count: 3, gpu: 1, gang: true, workMs: 3000}))
		expect(await observe(1500)).to.equal(8)
		expect(fleet.monitor.starts.filter(({task}) => task.startsWith(ID_B))).to.have.length(3)
		expect(countRunning(ID_A)).to.equal(5)
	})

	it("refuses at once what it never allows", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(6)}})
		const {first, submit} = domain
		const gang = await submit(first, `${BATCH}${ID_A}`, createJob({count: 7, gang: true}))
		expect(gang.kind === ReplyKind.refused && gang.refusal).to.include({
			reason: "over-quota",
			ran: "no",
			askAgain: false
		})
		const waves = await submit(first, `${BATCH}${ID_B}`, createJob({count: 7}))
		expect(waves.kind).to.equal(ReplyKind.workflow)
	})

	it("that is lowered below an accepted gang holds up only that gang", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(8)}})
		const {first, submit, advance, fleet, observe} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 8, workMs: 1000}))
		await submit(first, `${BATCH}${ID_B}`, createJob({count: 8, gang: true, workMs: 1000}))
		await setCatalog(domain, 3, {office: {cap: createCap(4)}})
		await submit(first, `${BATCH}${ID_C}`, createJob({count: 8, workMs: 500}))
		await advance(1500)
		expect(await observe(3000)).to.be.at.most(4)
		expect(fleet.monitor.starts.some(({task}) => task.startsWith(ID_B))).to.equal(false)
		expect([...fleet.monitor.done].filter(task => task.startsWith(ID_C))).to.have.length(8)
		await setCatalog(domain, 4, {office: {cap: createCap(8)}})
		await advance(1500)
		expect(fleet.monitor.starts.filter(({task}) => task.startsWith(ID_B))).to.have.length(8)
	})

	it("counts what an earlier holder has started", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(6)}}, 2)
		const {first, hosts, submit, advanceUntil, observe} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 30, workMs: 6000}))
		await observe(500)
		first.stop()
		await advanceUntil(() => hosts[1]!.board.terms.has("loaded"))
		expect(await observe(8000)).to.equal(6)
	})

	it("makes way for all tasks of guaranteed work at the same time", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(12)}})
		const {first, submit, advance, advanceUntil, countRunning, fleet} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 20, workMs: 60000}))
		await advance(1500)
		for (const worker of fleet.workers.values()) worker.stopMs = 400
		await submit(first, `${URGENT}${ID_B}`, createJob({count: 12, workMs: 60000}))
		expect(await advanceUntil(() => countRunning(ID_B) === 12)).to.be.below(1500)
		expect(countRunning()).to.equal(12)
	})

	it("stops no more for work that waits for room under it than that needs", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(10)}})
		const {first, submit, advance, fleet} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 10, workMs: 60000}))
		await advance(500)
		// The workers stop nothing for a while, so that the work waits beside a service that is mostly idle.
		for (const worker of fleet.workers.values()) worker.stopMs = 4000
		await submit(first, `${URGENT}${ID_B}`, createJob({count: 3, gang: true, workMs: 60000}))
		await advance(3500)
		const stopping = [...first.board.runs.values()].filter(
			({task}) => task.phase === TaskPhase.stopping
		)
		expect(stopping).to.have.length(3)
	})

	it("stops for urgent work only what uses the resource that is short", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(4)}})
		const {first, submit, advance, countRunning} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 4, workMs: 60000}))
		await advance(2000)
		await submit(first, `${BATCH}${ID_C}`, createJob({count: 3, gpu: 0, workMs: 60000}))
		await advance(500)
		await submit(first, `${URGENT}${ID_B}`, createJob({count: 2, workMs: 60000}))
		await advance(1500)
		expect(countRunning(ID_B)).to.equal(2)
		expect(countRunning(ID_C)).to.equal(3)
	})

	it("lets work pass a gang that waits for it, while less than half of it and of the service is in use", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(20)}})
		const {first, submit, advance, advanceUntil, countRunning} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 4, workMs: 60000}))
		await advance(500)
		await submit(first, `${BATCH}${ID_B}`, createJob({count: 18, gang: true, workMs: 1000}))
		await submit(first, `${BATCH}${ID_C}`, createJob({count: 1, workMs: 1000}))
		expect(await advanceUntil(() => countRunning(ID_C) === 1)).to.be.below(3000)
	})

	const NEVER = {
		"no workers could hold": [{workMs: 60000}, {requires: "kind-of-no-worker"}],
		"never fits beside what runs until it is cancelled": [{long_running: true, workMs: 60000}, {}]
	} as const
	for (const [what, [others, gang]] of Object.entries(NEVER))
		it(`is not left to a gang that ${what}`, async () => {
			const domain = await createCappedDomain({office: {cap: createCap(20)}})
			const {first, submit, advance, fleet} = domain
			await submit(first, `${BATCH}${ID_A}`, createJob({count: 12, ...others}))
			await advance(300)
			await submit(first, `${BATCH}${ID_B}`, createJob({count: 16, gang: true, ...gang}))
			await submit(first, `${BATCH}${ID_C}`, createJob({count: 40, workMs: 500}))
			await advance(4500)
			expect([...fleet.monitor.done].filter(task => task.startsWith(ID_C))).to.have.length(40)
		})

	it("is left to a gang that waits for it, while half of it is in use", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(20)}})
		const {first, submit, advance, advanceUntil, countRunning} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 12, workMs: 4000}))
		await advance(500)
		await submit(first, `${BATCH}${ID_B}`, createJob({count: 18, gang: true, workMs: 1000}))
		await submit(first, `${BATCH}${ID_C}`, createJob({count: 100, workMs: 4000}))
		await advanceUntil(() => countRunning(ID_B) === 18, 6000)
		expect(countRunning()).to.be.within(18, 20)
	})

	// Nothing else fails if later work of the workspace takes what the gang waits for.
	it("is withheld for a gang from the later work of its workspace, until the gang runs", async () => {
		const domain = await createCappedDomain({office: {cap: createCap(20)}})
		const {first, submit, advance, advanceUntil, countRunning, observe} = domain
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 12, workMs: 4000}))
		await advance(500)
		await submit(first, `${BATCH}${ID_B}`, createJob({count: 18, gang: true, workMs: 4000}))
		await submit(first, `${BATCH}${ID_C}`, createJob({count: 100, workMs: 4000}))
		expect(await observe(3000, ID_C)).to.equal(0)
		await advanceUntil(() => countRunning(ID_B) > 0, 3000)
		expect(countRunning(ID_B)).to.equal(18)
	})
})
