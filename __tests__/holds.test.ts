/** How long work that could run is held after an outage of the store, and in a new term. */
import {expect} from "chai"
import {HOLD_MAX_MS, type OutagePlay, OutageKind, playOutage} from "./fixtures/holds.js"

const OFFSETS = Array.from({length: 8}, (_, index) => index * 115)
const AWAY_MS = 6000
const LAPSED_MS = 2000
const THIRD = 1 / 3

/** Plays the outage at several phases of the polls, each of which has to end in time. */
async function checkHolds(play: Omit<OutagePlay, "offsetMs">): Promise<void> {
	const took: number[] = []
	for (const offsetMs of OFFSETS) took.push(await playOutage({...play, offsetMs}))
	expect(Math.max(...took), took.join(" ")).to.be.below(HOLD_MAX_MS)
}

describe("a start after an outage of the store", () => {
	for (const kind of Object.values(OutageKind)) {
		it(`comes in time in the same term (${kind})`, () => checkHolds({kind, awayMs: AWAY_MS}))

		it(`comes in time if the workers' entries expired (${kind})`, () =>
			checkHolds({kind, awayMs: AWAY_MS, lapsedMs: LAPSED_MS}))

		it(`comes in time in a new term (${kind})`, () =>
			checkHolds({kind, awayMs: AWAY_MS, isKilled: true}))

		it(`comes in time in a new term if the workers' entries expired (${kind})`, () =>
			checkHolds({kind, awayMs: AWAY_MS, isKilled: true, lapsedMs: LAPSED_MS}))

		it(`comes in time in the same term while a third of the calls still fail (${kind})`, () =>
			checkHolds({kind, awayMs: AWAY_MS, failingShare: THIRD}))

		// One failed read of 32 starts the whole load again.
		it(`comes in time in a new term while a third of the calls still fail (${kind})`, () =>
			checkHolds({kind, awayMs: AWAY_MS, isKilled: true, failingShare: THIRD}))
	}
})
