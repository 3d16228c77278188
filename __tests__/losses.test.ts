/** What stopping a run loses, which stalls are waited for, and which workers are left alone, without a network. */
import {expect} from "chai"
import {TaskPhase, computeLostWork, recordCheckpoint} from "../src/internal.js"
import {BATCH, URGENT, createJob, createServingDomain} from "./fixtures/domain.js"
import {createRuns} from "./fixtures/runs.js"

const NOW = 10000
/** Eight accelerators and no cores count as 64 cores. */
const WHOLE = {cpu: 0, gpu: 8}

describe("the loss of a run", () => {
	it("is seen from the latest checkpoint once a run is released", () => {
		const [run] = createRuns("one", {...WHOLE, count: 1, checkpointing: true}, {startedAt: 1000})
		recordCheckpoint(run!, "a", 9000)
		expect(computeLostWork(run!, NOW)).to.equal(64)
		run!.task.phase = TaskPhase.planned
		expect(computeLostWork(run!, NOW)).to.equal(0)
	})

	// Load pattern: urgent work that needs a worker of a gang. The log named the stop of each member, not what began it.
	it("is counted for each member of a gang by what stopped the first of them", async () => {
		const {first, fleet, submit, advance} = await createServingDomain({workers: 3})
		const gang = createJob({count: 3, gpu: 8, gang: true, workMs: 20000})
		await submit(first, `${BATCH}${"0".repeat(16)}`, gang)
		await advance(2000)
		expect(fleet.monitor.starts).to.have.length(3)
		await submit(first, `${URGENT}${"1".repeat(16)}`, createJob({gpu: 8}))
		await advance(1000)
		const released = [...first.board.events.values()].filter(({name}) => name === "run-released")
		expect(released.map(({fields}) => fields.cause)).to.deep.equal(Array(3).fill("preempted"))
		for (const {fields} of released) expect(fields.lost).to.be.greaterThan(64)
	})
})
