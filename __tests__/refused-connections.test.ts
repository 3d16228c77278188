/** A port that refuses connections says nothing about the runs of its worker, which may go on. */
import {expect} from "chai"
import {STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000037"
const OTHER_ID = "0000000000000038"
const LONG_MS = 8000
/** Ends while the store is away. */
const SHORT_MS = 4500
/** By then the run has ended, and so has a second one. */
const PLAYED_MS = 20000

interface RefusalOptions {
	readonly workMs?: number
	readonly refusedMs: number
	/** The store refuses all calls from this time before the port does until this time after it; undefined for a calm one. */
	readonly storeAway?: {readonly beforeMs: number; readonly afterMs: number}
}

/** Plays two jobs on a worker that refuses connections while they run, and returns the rules broken and the ends. */
async function playRefusal({workMs = LONG_MS, refusedMs, storeAway}: RefusalOptions) {
	const {first, fleet, plan, submit, readState, advance, advanceUntil} = await createServingDomain({
		workers: 4
	})
	for (const id of [ID, OTHER_ID]) await submit(first, `${BATCH}${id}`, createJob({workMs}))
	await advanceUntil(() => fleet.monitor.starts.length === 2)
	await advance(500)
	const refusing = new Set(fleet.monitor.starts.map(({worker}) => worker))
	const isStoreCall = ({target}: {target: string}) => target === STORE_TARGET
	if (storeAway !== undefined) {
		plan.isRefused = (_, call) => isStoreCall(call)
		await advance(storeAway.beforeMs)
	}
	plan.isClosed = (_, {target}) => refusing.has(target)
	await advance(refusedMs)
	plan.isClosed = () => false
	if (storeAway !== undefined) {
		await advance(storeAway.afterMs)
		plan.isRefused = () => false
	}
	await advance(PLAYED_MS)
	const states = [
		await readState(first, `${BATCH}${ID}`),
		await readState(first, `${BATCH}${OTHER_ID}`)
	]
	return {violations: fleet.monitor.violations, starts: fleet.monitor.starts.length, states}
}

const UNBROKEN = {violations: [], starts: 2, states: ["completed", "completed"]}

describe("a live worker whose port refuses connections", () => {
	for (const refusedMs of [300, 600, 1000, 2000, 3000, 4000])
		it(`does not get its tasks run twice (${refusedMs} ms)`, async () => {
			expect(await playRefusal({refusedMs})).to.deep.equal(UNBROKEN)
		})

	for (const refusedMs of [1000, 2000, 4000])
		for (const storeAway of [
			{beforeMs: 0, afterMs: 1000},
			{beforeMs: 4000, afterMs: 0},
			{beforeMs: 1500, afterMs: 500}
		])
			it(`does not get its tasks run twice (${refusedMs} ms, the store away from ${storeAway.beforeMs} ms before it to ${storeAway.afterMs} ms after it)`, async () => {
				expect(await playRefusal({refusedMs, storeAway})).to.deep.equal(UNBROKEN)
			})

	for (const refusedMs of [1000, 2000])
		it(`does not get its tasks run again after they are done (${refusedMs} ms)`, async () => {
			const storeAway = {beforeMs: 1500, afterMs: 3000}
			expect(await playRefusal({workMs: SHORT_MS, refusedMs, storeAway})).to.deep.equal(UNBROKEN)
		})
})
