import {expect} from "chai"
import {SystemClock} from "../src/internal.js"

/** Runs `check` with the wall clock shifted by `aheadMs`. */
function shiftWallClock(aheadMs: number, check: () => void): void {
	const readWallClock = Date.now
	Date.now = () => readWallClock() + aheadMs
	try {
		check()
	} finally {
		Date.now = readWallClock
	}
}

const SUSPENDED_MS = 5000
const TOLERANCE_MS = 200

describe("the system clock", () => {
	it("includes the time during which the monotonic clock was suspended", () => {
		const clock = new SystemClock()
		const before = clock.now()
		shiftWallClock(SUSPENDED_MS, () => {
			expect(clock.now() - before).to.be.closeTo(SUSPENDED_MS, TOLERANCE_MS)
		})
	})

	it("never goes back with the wall clock", () => {
		const clock = new SystemClock()
		const before = clock.now()
		shiftWallClock(-SUSPENDED_MS, () => {
			expect(clock.now()).to.be.at.least(before)
		})
	})
})
