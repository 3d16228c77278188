/** How long work that could run is held after an outage of the store, and in a new term. */
import {expect} from "chai"
import {blockThread, createConnections} from "./fixtures/connections.js"
import {createJob} from "./fixtures/domain.js"
import {
	HOLD_MAX_MS,
	type OutagePlay,
	OutageKind,
	countWorkerCalls,
	playAccepted,
	playAvoided,
	playCrowd,
	playForeignRuns,
	playLostCommits,
	playLostMember,
	playLostPlan,
	playLostStarts,
	playOutage,
	playPoisoned,
	playRefusedCommit,
	playSlowStore,
	playStaleCatalog,
	playWideGang
} from "./fixtures/holds.js"

const OFFSETS = Array.from({length: 8}, (_, index) => index * 115)
const AWAY_MS = 6000
/** Long enough for all leases of workers to end. */
const LONG_AWAY_MS = 16000
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

		for (const isKilled of [false, true]) {
			const term = isKilled ? "new" : "same"
			it(`comes in time if another host accepts the job then (${kind}, ${term} term)`, () =>
				checkAll(offsetMs => playAccepted({kind, awayMs: AWAY_MS, isKilled, offsetMs})))

			it(`comes in time if another host accepts the job then, and the store is slow (${kind}, ${term} term)`, () =>
				checkAll(offsetMs =>
					playAccepted({kind, awayMs: AWAY_MS, isKilled, offsetMs, delayMs: 150})
				))

			it(`comes in time if the holder reached nothing (${kind}, ${term} term)`, () =>
				checkHolds({kind, awayMs: AWAY_MS, isKilled, isCutOff: true}))

			it(`comes in time if the store is slow on its return (${kind}, ${term} term)`, () =>
				checkHolds({kind, awayMs: AWAY_MS, isKilled, delayMs: 150}))

			it(`comes in time if the store is slow and the entries expired (${kind}, ${term} term)`, () =>
				checkHolds({kind, awayMs: AWAY_MS, isKilled, delayMs: 100, lapsedMs: LAPSED_MS}))
		}

		it(`comes in time in the same term while a third of the calls still fail (${kind})`, () =>
			checkHolds({kind, awayMs: AWAY_MS, failingShare: THIRD}))

		// One failed read of 32 starts the whole load again.
		it(`comes in time in a new term while a third of the calls still fail (${kind})`, () =>
			checkHolds({kind, awayMs: AWAY_MS, isKilled: true, failingShare: THIRD}))
	}
})

describe("a start after trouble with single calls", () => {
	// A commit without an answer is given up after 2 s.
	for (const count of [1, 2, 3])
		it(`comes in time if the answers to ${count} commits of its plan are lost`, () =>
			checkAll(offsetMs => playLostCommits(offsetMs, count)))

	it("comes in time if the catalog was stale when its plan became durable", () =>
		checkAll(playStaleCatalog))

	// A platform's refusal for the content of a commit is believed for 10 s.
	it("comes in time if one commit of its plan is refused as malformed", () =>
		checkAll(playRefusedCommit))

	it("comes in time if all workers run what the holder does not know", () =>
		checkAll(playForeignRuns))

	for (const cores of [1, 0.4])
		it(`comes in time in a new term after a slow store was away (${cores} cores)`, () =>
			checkAll(offsetMs => playSlowStore(offsetMs, cores)))

	for (const kind of Object.values(OutageKind))
		for (const isKilled of [false, true])
			it(`comes in time if leases and entries lapsed in the outage (${kind}, ${isKilled ? "new" : "same"} term)`, () =>
				checkHolds({kind, awayMs: LONG_AWAY_MS, isKilled, lapsedMs: LAPSED_MS}))
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

		it(`comes in time after an outage and the load of a term, if the entries expired (${name})`, () =>
			checkAll(offsetMs =>
				playLostPlan({offsetMs, job, awayMs: AWAY_MS, isKilled: true, lapsedMs: LAPSED_MS})
			))

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

describe("a start beside many others", () => {
	for (const delayMs of [2, 100, 200])
		for (const isKilled of [false, true])
			// One commit is in flight at a time, and takes 49 plans at most.
			it(`comes in time for 300 jobs after an outage (${delayMs} ms to the store, ${isKilled ? "new" : "same"} term)`, async () => {
				const tookMs = await playCrowd({jobs: 300, awayMs: AWAY_MS, delayMs, isKilled})
				expect(tookMs).to.be.below(HOLD_MAX_MS)
			})

	// Each worker that lists an end which is not durable is asked again each 0.2 s.
	it("costs no more than twice the calls while the store is away", async () => {
		const {calm, away} = await countWorkerCalls(250, AWAY_MS)
		expect(away, `calm ${calm}`).to.be.at.most(2 * calm)
	})

	it("comes in time after a failure beside idle workers", () => checkAll(playAvoided))

	// Failures of two workflows close a worker for 8 s, whatever their cause.
	it("comes in time after two jobs have failed on all workers", () => checkAll(playPoisoned))
})

describe("a start beside a gang that waits", () => {
	// Idle capacity is withheld for the gang, however long it has to wait for the rest.
	it("comes in time on idle workers", () => checkAll(playWideGang))
})

/** Phases of the event loop in which its thread may be late. */
const PHASES = {
	timers: () => Promise.resolve(),
	immediates: () => new Promise<void>(resolve => setImmediate(resolve))
}

describe("calls over connections that went silent", () => {
	const CONNECTIONS = 16
	const TIMEOUT_MS = 300
	let connections: Awaited<ReturnType<typeof createConnections>>

	beforeEach(async () => {
		connections = await createConnections()
	})
	afterEach(() => connections.stop())

	// Each call that gets no answer closes its own connection only, and the next one takes another silent one.
	it("lose two calls at most before one is answered", async () => {
		const {open, silence, send} = connections
		await open(CONNECTIONS)
		await silence()
		let lost = 0
		while (lost <= CONNECTIONS && !(await send(0, TIMEOUT_MS))) lost++
		expect(lost).to.be.at.most(2)
	})

	for (const [phase, enterPhase] of Object.entries(PHASES))
		// Timers fire before arrived answers are read, if the thread is late in another phase of the loop than theirs.
		it(`keep the answers that arrive while the thread is late (${phase})`, async () => {
			const {open, send} = connections
			await open(CONNECTIONS)
			const calls = Array.from({length: CONNECTIONS}, () => send(50, TIMEOUT_MS))
			await new Promise<void>(resolve => setTimeout(resolve, 20))
			await enterPhase()
			blockThread(1000)
			const answered = (await Promise.all(calls)).filter(Boolean)
			expect(answered).to.have.length(CONNECTIONS)
		})
})
