/** Workspaces that share workers which are all in use, by their weights. */
import {expect} from "chai"
import fc from "fast-check"
import {
	type ReadyStep,
	GUARANTEED_RANK,
	Punctuality,
	WeightedRunQueue,
	WorkspaceShares,
	listCapUse,
	listWeightedShares
} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {DEFAULT_CAPACITY} from "../standins/fleet/fleet.js"
import {createCap, createCappedDomain, createId} from "./fixtures/caps.js"
import {BATCH, CALLER_KEY, OTHER_KEY, URGENT, createJob} from "./fixtures/domain.js"

const EVEN = {office: {weight: 1}, other: {weight: 1}}

/** The load that shares answer: one workspace sends a hundred jobs at once, and then another one sends a job. */
async function sendHundred(options: Parameters<typeof createCappedDomain>[0]) {
	const domain = await createCappedDomain(options)
	const {first, submit, submitOther, advanceUntil, countRunning} = domain
	for (let index = 0; index < 100; index++)
		await submit(first, `${BATCH}${createId(index)}`, createJob({count: 4, workMs: 1000}))
	await submitOther(createId(200), createJob({count: 4, workMs: 1000}))
	return {...domain, waitedMs: await advanceUntil(() => countRunning(createId(200)) === 4)}
}

describe("shares by weight", () => {
	it("let the first job of a workspace start at once after another one has sent a hundred", async () => {
		const {waitedMs, fleet} = await sendHundred(EVEN)
		expect(waitedMs).to.be.below(1300)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("leave the order of acceptance as it is where no weights are given", async () => {
		const {waitedMs} = await sendHundred({})
		expect(waitedMs).to.be.above(1300)
	})

	it("divide what is in use as the weights say", async () => {
		const domain = await createCappedDomain({office: {weight: 3}, other: {weight: 1}})
		const {first, submit, submitOther, advance, countRunning} = domain
		await submit(first, `${BATCH}${createId(1)}`, createJob({count: 200, workMs: 900}))
		await submitOther(createId(2), createJob({count: 200, workMs: 900}))
		await advance(3000)
		expect(countRunning(createId(1))).to.be.within(23, 25)
		expect(countRunning(createId(2))).to.be.within(7, 9)
	})

	it("count the resource that a workspace has most of", async () => {
		const domain = await createCappedDomain(EVEN)
		const {first, submit, submitOther, advance, countRunning} = domain
		// A quarter of a worker's CPU a task, and an eighth of its accelerators.
		const cpuJob = createJob({count: 100, gpu: 0, cpu: 8000, workMs: 900})
		await submit(first, `${BATCH}${createId(1)}`, cpuJob)
		await submitOther(createId(2), createJob({count: 100, gpu: 1, cpu: 4000, workMs: 900}))
		await advance(4000)
		expect(countRunning(createId(1))).to.be.within(7, 9)
		expect(countRunning(createId(2))).to.be.within(14, 18)
	})

	it("leave the rest to those that can use it, beside a workspace at its cap", async () => {
		const domain = await createCappedDomain({
			office: {weight: 9, cap: createCap(5)},
			other: {weight: 1}
		})
		const {first, submit, submitOther, advance, countRunning} = domain
		await submit(first, `${BATCH}${createId(1)}`, createJob({count: 100, workMs: 900}))
		await submitOther(createId(2), createJob({count: 100, workMs: 900}))
		await advance(2500)
		expect(countRunning(createId(1))).to.equal(5)
		expect(countRunning(createId(2))).to.equal(27)
	})

	it("don't hold up guaranteed work", async () => {
		const domain = await createCappedDomain({office: {weight: 1}, other: {weight: 1000}})
		const {first, submit, submitOther, advance, advanceUntil, countRunning} = domain
		await submit(first, `${BATCH}${createId(1)}`, createJob({count: 16, workMs: 60000}))
		await submitOther(createId(2), createJob({count: 200, workMs: 800}))
		await advance(500)
		await submit(first, `${URGENT}${createId(3)}`, createJob({count: 16, gang: true}))
		expect(await advanceUntil(() => countRunning(createId(3)) === 16)).to.be.below(1500)
	})

	// Nothing else fails if guaranteed work takes turns by share as well.
	it("leave guaranteed work in the order of acceptance, whatever its workspace has", async () => {
		const {first} = await createCappedDomain(EVEN)
		const catalog = first.board.catalog.get("current")!.catalog
		const shares = new WorkspaceShares(first.board, catalog, [DEFAULT_CAPACITY])
		const [step] = decodeWorkflow(createJob())._unsafeUnwrap().steps
		shares.reserve("office", step!, 4)
		const createReady = (workspace: string, acceptedAt: number, rank: number) => {
			const workflow = {record: {workspace}, acceptedAt}
			return {workflow, rank, punctuality: Punctuality.onTime} as ReadyStep
		}
		for (const [rank, expected] of [
			[GUARANTEED_RANK, ["office", "other", "office"]],
			[GUARANTEED_RANK + 1, ["other", "office", "office"]]
		] as const) {
			const steps = [
				createReady("office", 1, rank),
				createReady("other", 2, rank),
				createReady("office", 3, rank)
			]
			const round = new WeightedRunQueue().open(steps, shares)
			const order: string[] = []
			for (let ready = round.next(); ready !== undefined; ready = round.next()) {
				order.push(ready.workflow.record.workspace)
				round.close()
			}
			expect(order).to.deep.equal(expected)
		}
	})

	// With tasks that each fit anywhere, all that runs beyond its share has ended after the longest run.
	it("keep no workspace with waiting work below its share for longer than a run takes, and none above its cap", async () => {
		const runMaxMs = 1200
		const startMaxMs = 600
		const loads = fc.array(
			fc.record({
				from: fc.nat(2),
				at: fc.nat(3000),
				count: fc.integer({min: 1, max: 60}),
				workMs: fc.integer({min: 200, max: runMaxMs})
			}),
			{minLength: 4, maxLength: 14}
		)
		const terms = fc.record({
			weights: fc.tuple(weightArbitrary, weightArbitrary, weightArbitrary),
			caps: fc.tuple(capArbitrary, capArbitrary, capArbitrary)
		})
		const property = fc.asyncProperty(terms, loads, async ({weights, caps}, jobs) => {
			const options = weights.map((weight, index) => ({weight, cap: createCap(caps[index]!)}))
			const domain = await createCappedDomain({
				office: options[0]!,
				other: options[1]!,
				others: [{name: "third", api_keys: [THIRD_KEY], ...options[2]!}]
			})
			const observer = new ShareObserver(weights, caps)
			const due = [...jobs].sort((a, b) => a.at - b.at)
			for (let now = 0; now < 7000; now += 20) {
				for (; due[0] !== undefined && due[0].at <= now; due.shift()) {
					const {from, count, workMs} = due[0]
					const id = createId(observer.addJob(from, count))
					await domain.submitAs(KEYS[from]!, id, createJob({count, workMs}))
				}
				await domain.advance(20)
				observer.observe(domain, now)
			}
			expect(observer.overCap).to.deep.equal([])
			expect(observer.longestBelowMs).to.be.at.most(runMaxMs + startMaxMs)
		})
		await fc.assert(property, {seed: 20261207, numRuns: 25})
	}).timeout(60000)
})

describe("the figures of workspaces", () => {
	it("show what each uses of its cap and of the workers by its weight", async () => {
		const domain = await createCappedDomain({
			office: {weight: 2, cap: createCap(16)},
			other: {weight: 1}
		})
		await domain.submit(domain.first, `${BATCH}${createId(1)}`, createJob({count: 4}))
		await domain.advance(300)
		const {board} = domain.first
		expect(listCapUse(board)).to.deep.equal([{workspace: "office", value: 0.25}])
		expect(listWeightedShares(board)).to.deep.equal([
			{workspace: "office", value: 0.0625},
			{workspace: "other", value: 0}
		])
	})

	it("have few series however many workspaces there are", async () => {
		const others = Array.from({length: 200}, (_, index) => ({
			name: `team-${index}`,
			api_keys: [`key-${index}`],
			weight: 1,
			cap: createCap(1)
		}))
		const {first} = await createCappedDomain({...EVEN, others})
		expect(listCapUse(first.board)).to.have.length(50)
		expect(listWeightedShares(first.board)).to.have.length(50)
	})
})

const THIRD_KEY = "key-of-the-third"
const KEYS = [CALLER_KEY, OTHER_KEY, THIRD_KEY]
const ACCELERATORS = 32
const weightArbitrary = fc.integer({min: 1, max: 5})
/** 0 means that there is no cap. */
const capArbitrary = fc.constantFrom(0, 0, 6, 20)

type Domain = Awaited<ReturnType<typeof createCappedDomain>>

/** Follows what each of several workspaces has running, and how long one with waiting work has too little. */
class ShareObserver {
	readonly #weights: readonly number[]
	readonly #caps: readonly number[]
	readonly #jobs: {readonly from: number; readonly count: number}[] = []
	/** Since when each workspace is below its share while another one is above its own. */
	readonly #belowSince = new Map<number, number>()
	#sharing = ""
	readonly overCap: string[] = []
	longestBelowMs = 0

	constructor(weights: readonly number[], caps: readonly number[]) {
		this.#weights = weights
		this.#caps = caps.map(cap => (cap === 0 ? Infinity : cap))
	}

	/** Returns the job's number. */
	addJob(from: number, count: number): number {
		return this.#jobs.push({from, count}) - 1
	}

	observe({fleet, countRunning}: Domain, now: number): void {
		const left = this.#weights.map(() => 0)
		const running = this.#weights.map(() => 0)
		for (const [index, {from, count}] of this.#jobs.entries()) {
			const id = createId(index)
			running[from]! += countRunning(id)
			left[from]! += count - [...fleet.monitor.done].filter(task => task.startsWith(id)).length
		}
		const names = this.#weights.map((_, index) => index)
		for (const name of names)
			if (running[name]! > this.#caps[name]!) this.overCap.push(`${name} at ${now}`)
		// Shares change with who has work, so time counts anew.
		const sharing = names.filter(name => left[name]! > 0)
		if (sharing.join() !== this.#sharing) this.#belowSince.clear()
		this.#sharing = sharing.join()
		const total = sharing.reduce((sum, name) => sum + this.#weights[name]!, 0)
		const surpluses = names.map(
			name => running[name]! - (ACCELERATORS * this.#weights[name]!) / total
		)
		const isAnyAbove = surpluses.some(surplus => surplus >= 1)
		for (const name of sharing) {
			const isWaiting = left[name]! > running[name]! && running[name]! < this.#caps[name]!
			if (!isAnyAbove || !isWaiting || surpluses[name]! > -1) this.#belowSince.delete(name)
			else this.#belowSince.set(name, this.#belowSince.get(name) ?? now)
			const belowMs = now - (this.#belowSince.get(name) ?? now)
			this.longestBelowMs = Math.max(this.longestBelowMs, belowMs)
		}
	}
}
