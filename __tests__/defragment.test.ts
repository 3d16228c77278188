import {expect} from "chai"
import {computeFitShare} from "../src/internal.js"
import {createFleet, occupy} from "./fixtures/fleet.js"
import {type TestZone, createGuaranteedZone} from "./fixtures/zone.js"

const HOUR_MS = 3600000
const HALF_WORKER = [0, 1, 2, 3]

interface FragmentedZoneOptions {
	readonly movesPerHour?: number
	readonly repeatable?: boolean
}

/** Builds a zone of four workers, each half occupied by a long job, and two queued jobs that need a whole worker. */
function createFragmentedZone({movesPerHour, repeatable = true}: FragmentedZoneOptions): {
	readonly zone: TestZone
	countWhole: () => number
} {
	const zone = createGuaranteedZone({
		guarantees: {posta: []},
		workersPerRack: 4,
		...(movesPerHour === undefined ? {} : {defragmentMovesPerHour: movesPerHour})
	})
	const fields = {workspace: "posta", shape: {accelerators: 4}, checkpoint: true, repeatable}
	for (const nth of [1, 2, 3, 4]) {
		zone.submit(`long-${nth}`, {...fields, runMs: 24 * HOUR_MS})
		zone.submit(`short-${nth}`, {...fields, runMs: 60000})
	}
	zone.clock.advance(120000)
	const whole = {workspace: "posta", shape: {accelerators: 8}, runMs: 24 * HOUR_MS}
	const waiting = [1, 2].map(nth => zone.submit(`whole-${nth}`, whole))
	const countWhole = () => waiting.filter(id => zone.listRunning(id).length === 1).length
	zone.clock.advance(1000)
	expect(countWhole()).to.equal(0)
	return {zone, countWhole}
}

describe("defragmentation", () => {
	it("computes the share of free accelerators that the largest gang could use", () => {
		const fleet = createFleet(1)
		expect(computeFitShare(fleet)).to.equal(1)
		for (const at of [0, 1, 2, 3, 4, 5, 6])
			occupy(fleet, [{workerId: `r0w${at}`, accelerators: HALF_WORKER}])
		expect(computeFitShare(fleet)).to.be.closeTo(32 / 36, 0.001)
	})

	it("frees whole workers by moving work that can be checkpointed and repeated", () => {
		const {zone, countWhole} = createFragmentedZone({movesPerHour: 10})
		zone.clock.advance(HOUR_MS)
		expect(countWhole()).to.equal(2)
	})

	it("moves nothing unless the bundle sets a bound on moves per hour", () => {
		const {zone, countWhole} = createFragmentedZone({})
		zone.clock.advance(HOUR_MS)
		expect(countWhole()).to.equal(0)
	})

	it("moves nothing that may not be repeated", () => {
		const {zone, countWhole} = createFragmentedZone({movesPerHour: 10, repeatable: false})
		zone.clock.advance(HOUR_MS)
		expect(countWhole()).to.equal(0)
	})

	it("keeps to the bound on moves per hour", () => {
		const {zone, countWhole} = createFragmentedZone({movesPerHour: 1})
		zone.clock.advance(HOUR_MS)
		expect(countWhole()).to.equal(1)
	})
})
