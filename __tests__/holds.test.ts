/** How long work that could run is held after an outage of the store, and in a new term. */
import {expect} from "chai"
import {createJob} from "./fixtures/domain.js"
import {
	HOLD_MAX_MS,
	type OutagePlay,
	OutageKind,
	playLostMember,
	playLostPlan,
	playLostStarts,
	playOutage
} from "./fixtures/holds.js"

const OFFSETS = Array.from({length: 8}, (_, index) => index * 115)
const AWAY_MS = 6000
const LAPSED_MS = 2000
const THIRD = 1 / 3

/** Plays at several phases of the polls, each of which has to end in time. */
async function checkAll(
	play: (offsetMs: number) => Promise<number>,
	maxMs = HOLD_MAX_MS
): Promise<void> {
	const took: number[] = []
	for (const offsetMs of OFFSETS) took.push(await play(offsetMs))
	expect(Math.max(...took), took.join(" ")).to.be.below(maxMs)
}

function checkHolds(play: Omit<OutagePlay, "offsetMs">): Promise<void> {
	return checkAll(offsetMs => playOutage({...play, offsetMs}))
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

const TASK = createJob({workMs: 500})
const GANG = createJob({count: 4, gang: true, gpu: 8, workMs: 500})

describe("a start that waits for what an earlier one left", () => {
	for (const [name, job] of [
		["task", TASK],
		["gang", GANG]
	] as const) {
		it(`comes in time after the load of a term that finds a plan of which nothing started (${name})`, () =>
			checkAll(offsetMs => playLostPlan({offsetMs, job, awayMs: 0, isKilled: true})))

		it(`comes in time after an outage and the load of a term that finds such a plan (${name})`, () =>
			checkAll(offsetMs => playLostPlan({offsetMs, job, awayMs: AWAY_MS, isKilled: true})))

		it(`comes in time after an outage that hid the commit of its plan (${name})`, () =>
			checkAll(offsetMs => playLostPlan({offsetMs, job, awayMs: AWAY_MS, isKilled: false})))

		it(`comes in time after a stop of starts that were lost (${name})`, () =>
			checkAll(offsetMs => playLostStarts(offsetMs, job)))
	}

	for (const isKilled of [false, true])
		for (const isReplaced of [false, true]) {
			const term = isKilled ? "new" : "same"
			const state = isReplaced ? "restarted" : "is silent"
			it(`comes in time after an outage in which a worker of its gang ${state} (${term} term)`, () =>
				checkAll(offsetMs => playLostMember({offsetMs, awayMs: AWAY_MS, isKilled, isReplaced})))
		}
})
