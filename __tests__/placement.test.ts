import {expect} from "chai"
import fc from "fast-check"
import {
	type FleetWorker,
	type PlacementRequest,
	Adjacency,
	BestFitPlacementPolicy,
	FirstFitPlacementPolicy,
	FleetIndex,
	computeBlockSize,
	computeFreeOrders,
	findTightestBlock
} from "../src/internal.js"
import {createFleet, createFleetWorker, createShape, occupy} from "./fixtures/fleet.js"

const RUNS = {numRuns: 300, seed: 20261}

function createRequest(
	shape: Partial<PlacementRequest["shape"]>,
	overrides: Partial<PlacementRequest> = {}
): PlacementRequest {
	return {
		jobId: "job",
		workspace: "posta",
		shape: createShape(shape),
		failedOn: [],
		...overrides
	}
}

function createMixedFleet(workers: readonly FleetWorker[]): FleetIndex {
	const fleet = new FleetIndex()
	for (const worker of workers) fleet.set(worker)
	return fleet
}

function listWorkers(members: readonly {workerId: string}[] | undefined): string[] {
	return (members ?? []).map(({workerId}) => workerId).sort()
}

describe("blocks of accelerators", () => {
	it("computes the sizes of the maximal free blocks", () => {
		const {free} = createFleetWorker({}, [1])
		expect(computeFreeOrders(free)).to.equal(0b111)
		expect(computeFreeOrders(createFleetWorker().free)).to.equal(0b1000)
		expect(computeFreeOrders(createFleetWorker({}, [0, 1, 2, 3, 4, 5, 6, 7]).free)).to.equal(0)
	})

	it("takes the smallest free block that suffices", () => {
		expect(findTightestBlock(createFleetWorker({}, [4]).free, 1)).to.equal(5)
		expect(findTightestBlock(createFleetWorker({}, [4]).free, 2)).to.equal(6)
		expect(findTightestBlock(createFleetWorker({}, [4]).free, 4)).to.equal(0)
		expect(findTightestBlock(createFleetWorker({}, [4]).free, 8)).to.equal(-1)
	})
})

describe("best-fit placement", () => {
	const policy = new BestFitPlacementPolicy()

	it("fills a partly used worker before an idle one", () => {
		const fleet = createFleet(1)
		occupy(fleet, [{workerId: "r0w5", accelerators: [0, 1, 2, 3]}])
		const members = policy.place(createRequest({accelerators: 2}), fleet)
		expect(members).to.deep.equal([{workerId: "r0w5", incarnation: "1", accelerators: [4, 5]}])
	})

	it("takes the rack with the fewest workers that could serve the gang", () => {
		const fleet = createFleet(2)
		for (const at of [0, 1, 2, 3])
			occupy(fleet, [{workerId: `r1w${at}`, accelerators: [0, 1, 2, 3, 4]}])
		const shape = {members: 4, accelerators: 8, adjacency: Adjacency.rack}
		const members = policy.place(createRequest(shape), fleet)
		expect(listWorkers(members)).to.deep.equal(["r1w4", "r1w5", "r1w6", "r1w7"])
	})

	it("refuses a rack gang that only several racks together could hold", () => {
		const shape = {members: 9, accelerators: 1, adjacency: Adjacency.rack}
		expect(policy.place(createRequest(shape), createFleet(2))).to.equal(undefined)
		expect(
			policy.place(createRequest({...shape, adjacency: Adjacency.any}), createFleet(2))
		).to.have.length(9)
	})

	it("places only where processors and memory suffice", () => {
		const fleet = createMixedFleet([
			createFleetWorker({id: "full", freeCpus: 3}),
			createFleetWorker({id: "small", freeMemoryMb: 10}),
			createFleetWorker({id: "right", freeCpus: 20})
		])
		const members = policy.place(createRequest({cpus: 16, memoryMb: 100}), fleet)
		expect(listWorkers(members)).to.deep.equal(["right"])
	})

	it("reuses a worker the job failed on only if no other fits", () => {
		const fleet = createMixedFleet([
			createFleetWorker({id: "failed"}, [0]),
			createFleetWorker({id: "other"})
		])
		const request = createRequest({}, {failedOn: ["failed"]})
		expect(listWorkers(policy.place(request, fleet))).to.deep.equal(["other"])
		fleet.delete("other")
		expect(listWorkers(policy.place(request, fleet))).to.deep.equal(["failed"])
	})

	for (const variant of [policy, new FirstFitPlacementPolicy()])
		it(`waits for other workers rather than reuse one the job failed on (${variant.name})`, () => {
			const fleet = createMixedFleet([
				createFleetWorker({id: "failed"}),
				createFleetWorker({id: "full"}, [0, 1, 2, 3, 4, 5, 6, 7])
			])
			const request = createRequest({}, {failedOn: ["failed"]})
			expect(variant.place(request, fleet)).to.equal(undefined)
			fleet.delete("full")
			expect(listWorkers(variant.place(request, fleet))).to.deep.equal(["failed"])
		})

	it("places work without accelerators on a worker without accelerators", () => {
		const fleet = createMixedFleet([
			createFleetWorker({id: "gpu"}),
			createFleetWorker({id: "plain", accelerators: 0})
		])
		expect(listWorkers(policy.place(createRequest({accelerators: 0}), fleet))).to.deep.equal([
			"plain"
		])
	})

	it("places whatever first fit places, on free and aligned blocks only", () => {
		const firstFit = new FirstFitPlacementPolicy()
		const workerArbitrary = fc.record({
			free: fc.array(fc.boolean(), {minLength: 0, maxLength: 8}),
			freeCpus: fc.integer({min: 0, max: 30}),
			freeMemoryMb: fc.integer({min: 0, max: 4}),
			usable: fc.boolean(),
			rack: fc.constantFrom("a", "b", "c")
		})
		const shapeArbitrary = fc.record({
			members: fc.integer({min: 1, max: 4}),
			accelerators: fc.integer({min: 0, max: 8}),
			cpus: fc.integer({min: 0, max: 20}),
			memoryMb: fc.integer({min: 0, max: 3}),
			adjacency: fc.constantFrom(Adjacency.any, Adjacency.rack)
		})
		const property = fc.property(
			fc.array(workerArbitrary, {maxLength: 12}),
			shapeArbitrary,
			(workers, shape) => {
				const fleet = createMixedFleet(
					workers.map((worker, at) =>
						createFleetWorker({...worker, id: `w${at}`, accelerators: worker.free.length})
					)
				)
				const request = createRequest(shape)
				const members = policy.place(request, fleet)
				expect(members === undefined).to.equal(firstFit.place(request, fleet) === undefined)
				for (const {workerId, accelerators} of members ?? []) {
					const worker = fleet.get(workerId)!
					expect(worker.usable).to.equal(true)
					expect(accelerators.every(at => worker.free[at])).to.equal(true)
					expect((accelerators[0] ?? 0) % computeBlockSize(shape.accelerators)).to.equal(0)
				}
				if (members !== undefined)
					expect(new Set(listWorkers(members)).size).to.equal(shape.members)
				if (shape.adjacency === Adjacency.rack && members !== undefined)
					expect(new Set(members.map(({workerId}) => fleet.get(workerId)?.rack)).size).to.equal(1)
			}
		)
		fc.assert(property, RUNS)
	})
})

describe("the fleet index", () => {
	it("matches a newly built index after any sequence of changes", () => {
		const changeArbitrary = fc.record({
			id: fc.constantFrom("a", "b", "c", "d", "e"),
			rack: fc.constantFrom("r0", "r1"),
			free: fc.array(fc.boolean(), {minLength: 4, maxLength: 4}),
			usable: fc.boolean(),
			deleted: fc.boolean()
		})
		const shape = createShape({members: 2, accelerators: 2})
		const property = fc.property(fc.array(changeArbitrary, {maxLength: 20}), changes => {
			const fleet = new FleetIndex()
			for (const {deleted, ...change} of changes) {
				if (deleted) fleet.delete(change.id)
				else fleet.set(createFleetWorker({...change, accelerators: 4}))
			}
			const rebuilt = createMixedFleet([...fleet.values()])
			expect(summarizeIndex(fleet)).to.deep.equal(summarizeIndex(rebuilt))
		})
		fc.assert(property, RUNS)

		function summarizeIndex(fleet: FleetIndex) {
			return {
				buckets: fleet
					.listBuckets(shape)
					.map(({key, workers}) => [key, [...workers.keys()].sort()]),
				racks: [...fleet.listRacks(shape)].map(({name, counts}) => [name, counts]).sort()
			}
		}
	})
})
