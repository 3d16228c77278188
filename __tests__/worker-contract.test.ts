import {expect} from "chai"
import {RefusalCode, TaskState} from "../src/internal.js"
import {StandInRefusal} from "../standins/serve.js"
import {
	createRenewal,
	createReservation,
	createStart,
	createStop,
	createWorker
} from "./fixtures/workers.js"

/** Returns the code with which a call is refused, or undefined if it isn't. */
function findRefusal(call: () => unknown): string | undefined {
	try {
		call()
		return undefined
	} catch (error) {
		if (error instanceof StandInRefusal) return error.code
		throw error
	}
}

describe("a worker that keeps the contract with the scheduler", () => {
	it("refuses every call of an earlier holder", () => {
		const {worker} = createWorker()
		worker.renew(createRenewal())
		worker.reserve(createReservation())
		const calls = [
			() => worker.renew(createRenewal({epoch: 1})),
			() => worker.reserve(createReservation({taskId: "task-2", epoch: 1})),
			() => worker.start(createStart({epoch: 1})),
			() => worker.stop(createStop({epoch: 1}))
		]
		expect(calls.map(findRefusal)).to.deep.equal(calls.map(() => RefusalCode.staleEpoch))
		expect(worker.runs).to.have.lengthOf(0)
	})

	it("refuses calls that are meant for an earlier incarnation", () => {
		const {worker} = createWorker()
		worker.renew(createRenewal())
		const incarnation = "earlier-incarnation"
		const calls = [
			() => worker.reserve(createReservation({incarnation})),
			() => worker.start(createStart({incarnation})),
			() => worker.stop(createStop({incarnation}))
		]
		expect(calls.map(findRefusal)).to.deep.equal(calls.map(() => RefusalCode.otherIncarnation))
	})

	it("starts nothing under an earlier generation or after its permit", () => {
		const {clock, worker} = createWorker()
		worker.renew(createRenewal({permitUntilMs: 1000}))
		worker.reserve(createReservation())
		expect(findRefusal(() => worker.start(createStart({generation: 1})))).to.equal(
			RefusalCode.staleGeneration
		)
		clock.advance(1000)
		expect(findRefusal(() => worker.start(createStart()))).to.equal(RefusalCode.permitLapsed)
	})

	it("runs a task id once, whatever calls follow", () => {
		const {clock, worker} = createWorker()
		worker.renew(createRenewal())
		worker.reserve(createReservation())
		worker.start(createStart())
		expect(worker.start(createStart()).state).to.equal(TaskState.running)
		clock.advance(1000)
		worker.release("task-1")
		expect(findRefusal(() => worker.reserve(createReservation()))).to.equal(RefusalCode.alreadyRan)
		expect(findRefusal(() => worker.start(createStart()))).to.equal(RefusalCode.alreadyRan)
		expect(worker.stop(createStop()).started).to.equal(true)
		expect(worker.runs).to.have.lengthOf(1)
	})

	it("never starts a task that was stopped before it started", () => {
		const {worker} = createWorker()
		worker.renew(createRenewal())
		expect(worker.stop(createStop()).started).to.equal(false)
		expect(findRefusal(() => worker.start(createStart()))).to.equal(RefusalCode.alreadyRan)
	})

	it("stops its tasks once its lease has expired without a renewal", () => {
		const {clock, worker} = createWorker()
		worker.renew(createRenewal({leaseMs: 500}))
		worker.reserve(createReservation())
		worker.start(createStart())
		clock.advance(500)
		expect(worker.runs.map(({end}) => end)).to.deep.equal([TaskState.stopped])
	})
})
