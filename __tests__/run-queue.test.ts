/** The order of work that looks late. */
import {expect} from "chai"
import {LATE_WAIT_MAX_MS, Punctuality, computePunctuality} from "../src/internal.js"

const WORK_MS = 1500

describe("a forecast that is wrong", () => {
	const queue = {stretch: 1.5, targetLatencyMs: 400} as never
	const find = (factor: number, ageMs: number) =>
		computePunctuality([WORK_MS * factor], 0, queue, ageMs)

	it("by a thousand times too short holds work back behind others only until it has been late for long", () => {
		expect(find(0.001, 10000)).to.equal(Punctuality.overdue)
		expect(find(0.001, LATE_WAIT_MAX_MS + 1)).to.equal(Punctuality.longLate)
		expect(Punctuality.longLate).to.be.below(Punctuality.onTime)
	})

	it("by a thousand times too long holds it back no sooner than a right one", () => {
		for (const ageMs of [0, 1000, 10000, LATE_WAIT_MAX_MS])
			expect(find(1000, ageMs)).to.be.at.most(find(1, ageMs))
	})
})
