/** Tests the placement policy alone: where tasks that start together are placed. */
import {expect} from "chai"
import {PackedRunPlacement} from "../src/internal.js"
import {
	LOSS_MAX,
	chooseNodes,
	createFullNode,
	createNode,
	createRefs,
	createUnit
} from "./fixtures/placement.js"

describe("placement of tasks that start together", () => {
	const gang = {count: 2, gpu: 8, gang: true, tightly_coupled: true}

	it("takes one rack for a tightly coupled gang", () => {
		const nodes = [createNode("a1", "a"), createNode("b1", "b"), createNode("b2", "b")]
		expect(chooseNodes(createUnit(createRefs("one", gang)), nodes)).to.deep.equal(["b1", "b2"])
	})

	it("spreads a gang if one rack would cost more work than the gang is worth", () => {
		const nodes = [
			createFullNode("a1", "a", {loss: LOSS_MAX}),
			createFullNode("a2", "a", {loss: LOSS_MAX}),
			createNode("b1", "b", {isSuspect: true}),
			createNode("c1", "c", {isSuspect: true})
		]
		expect(chooseNodes(createUnit(createRefs("one", gang)), nodes)).to.deep.equal(["b1", "c1"])
	})

	// Regression test: withheld accelerators kept work that needs none from free cores.
	it("takes a worker with free cores for work without accelerators, also if those are withheld", () => {
		const [ref] = createRefs("cores", {count: 1, cpu: 1000})
		const free = {cpuMillis: 32000, memoryMb: 131072, accelerators: -8}
		expect(chooseNodes(createUnit([ref!]), [createNode("a1", "a", {free})])).to.deep.equal(["a1"])
	})

	// Load pattern: gangs wider than a rack. They waited 2 s for a rack that could never hold them.
	it("spreads a gang at once that no rack could ever hold", () => {
		const nodes = [createNode("a1", "a"), createNode("b1", "b"), createNode("c1", "c")]
		const patient = {rank: 3, lossMax: -1, remoteCost: Infinity}
		const wide = createUnit(createRefs("wide", gang), patient)
		expect(chooseNodes(wide, nodes)).to.have.length(2)
	})

	it("lets a gang wait for a rack that could hold it", () => {
		const nodes = [
			createNode("a1", "a"),
			createFullNode("a2", "a", {rank: 1}),
			createNode("b1", "b"),
			createFullNode("b2", "b", {rank: 1})
		]
		const unit = createUnit(createRefs("narrow", gang), {
			rank: 3,
			lossMax: -1,
			remoteCost: Infinity
		})
		expect(chooseNodes(unit, nodes)).to.equal(undefined)
	})

	// Load pattern: urgent gangs with little time to spare on workers of unequal speed; a gang is as fast as its slowest.
	it("takes the fastest rack and workers for urgent tasks, and the fullest for others", () => {
		const used = {cpuMillis: 32000, memoryMb: 131072, accelerators: 4}
		const nodes = [
			createNode("a1", "a", {pace: 0.8}),
			createNode("a2", "a", {pace: 1.3}),
			createNode("b1", "b", {pace: 1}),
			createNode("b2", "b", {pace: 1}),
			createNode("b3", "b", {pace: 1.2, free: used})
		]
		const small = createRefs("small", {count: 1, gpu: 1})
		expect(chooseNodes(createUnit(small), nodes)).to.deep.equal(["b3"])
		expect(chooseNodes(createUnit(small, {prefersFast: true}), nodes)).to.deep.equal(["a1"])
		const unit = createUnit(createRefs("gang", gang), {prefersFast: true})
		expect(chooseNodes(unit, nodes)).to.deep.equal(["b1", "b2"])
	})

	it("stops the run whose loss is least", () => {
		const nodes = [
			createFullNode("a1", "a", {loss: 500}),
			createFullNode("a2", "a", {loss: 100}),
			createFullNode("a3", "a", {loss: 300})
		]
		const unit = createUnit(createRefs("one", {count: 1, gpu: 8}))
		expect(chooseNodes(unit, nodes)).to.deep.equal(["a2"])
	})

	it("treats capacity as not free until the run on it has ended", () => {
		const unit = createUnit(createRefs("one", {count: 2, gpu: 2, gang: true}))
		const slots = new PackedRunPlacement().choose(unit, [createFullNode("a1", "a", {})])
		expect(slots?.map(({isFree}) => isFree)).to.deep.equal([false, false])
	})

	it("stops no run of the same or a higher rank, and no protected run", () => {
		const nodes = [
			createFullNode("a1", "a", {rank: 1}),
			createFullNode("a2", "a", {isProtected: true})
		]
		const unit = createUnit(createRefs("one", {count: 1, gpu: 8}))
		expect(chooseNodes(unit, nodes)).to.equal(undefined)
	})

	it("places a small task on the worker with the least capacity left over", () => {
		const small = createNode("a2", "a", {
			free: {cpuMillis: 32000, memoryMb: 131072, accelerators: 2}
		})
		const unit = createUnit(createRefs("one", {count: 1, gpu: 1}))
		expect(chooseNodes(unit, [createNode("a1", "a"), small])).to.deep.equal(["a2"])
	})

	it("waits for the last attempt of a task until a worker that is not suspect has room", () => {
		const suspect = createNode("a1", "a", {isSuspect: true})
		const full = createFullNode("a2", "a", {isProtected: true})
		const refs = createRefs("one", {count: 1, gpu: 8})
		expect(chooseNodes(createUnit(refs), [suspect, full])).to.deep.equal(["a1"])
		const last = createUnit(refs, {isLastAttempt: true})
		expect(chooseNodes(last, [suspect, full])).to.equal(undefined)
		expect(chooseNodes(last, [suspect])).to.deep.equal(["a1"])
	})

	it("avoids a suspect worker that a task failed on, unless the others could never hold its gang", () => {
		const nodes = [createNode("a1", "a", {isSuspect: true}), createNode("a2", "a")]
		const failedOn = new Set(["a1"])
		const single = createUnit(createRefs("one", {count: 1, gpu: 8}), {failedOn})
		expect(chooseNodes(single, nodes)).to.deep.equal(["a2"])
		const pair = createUnit(createRefs("two", {count: 2, gpu: 8, gang: true}), {failedOn})
		expect(chooseNodes(pair, nodes)).to.deep.equal(["a1", "a2"])
	})

	it("lets a long-running task return to a worker that it failed on", () => {
		const nodes = [
			createNode("a1", "a", {isSuspect: true}),
			createFullNode("a2", "a", {isProtected: true})
		]
		const refs = createRefs("one", {count: 1, gpu: 8, long_running: true})
		const unit = createUnit(refs, {failedOn: new Set(["a1"]), isLastAttempt: true})
		expect(chooseNodes(unit, nodes)).to.deep.equal(["a1"])
	})

	it("forecasts where a task fits soonest", () => {
		const nodes = [
			createFullNode("a1", "a", {remainingMs: 9000}),
			createFullNode("a2", "a", {remainingMs: 2000})
		]
		const unit = createUnit(createRefs("one", {count: 1, gpu: 8}), {lossMax: -1})
		const slots = new PackedRunPlacement().forecast(unit, nodes)
		expect(slots?.map(({node}) => node.id)).to.deep.equal(["a2"])
	})
})
