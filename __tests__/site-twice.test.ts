/** The check from outside for tasks that ran twice, on events made by hand. */
import {expect} from "chai"
import {TwiceKind, formatTwiceCase} from "../bench/site-twice.js"
import {
	OTHER_TASK,
	TASK,
	createAcknowledgement,
	createEnd,
	createLoss,
	createStart,
	findTwice
} from "./fixtures/site-events.js"

function findKinds(...events: Parameters<typeof findTwice>) {
	return findTwice(...events).map(({kind}) => kind)
}

describe("the check for tasks that ran twice", () => {
	it("finds a second run that starts while the first is live", () => {
		const [found, ...others] = findTwice(
			createStart(100, 1, "w1"),
			createStart(900, 2, "w2"),
			createEnd(1000, 1, "w1", "done")
		)
		expect(others).to.deep.equal([])
		expect(found).to.deep.include({kind: TwiceKind.liveRuns, task: TASK})
		expect(found?.first).to.deep.include({run: 1, worker: "w1", startedAt: 100, endedAt: 1000})
		expect(found?.second).to.deep.include({run: 2, worker: "w2", startedAt: 900})
	})

	it("finds a second run beside a first that never ends", () => {
		const kinds = findKinds(createStart(100, 1, "w1"), createStart(900, 2, "w2"))
		expect(kinds).to.deep.equal([TwiceKind.liveRuns])
	})

	it("finds a second live run on the same worker", () => {
		const kinds = findKinds(createStart(100, 1, "w1"), createStart(900, 2, "w1"))
		expect(kinds).to.deep.equal([TwiceKind.liveRuns])
	})

	it("finds each pair of three live runs", () => {
		const starts = [createStart(1, 1, "w1"), createStart(2, 2, "w2"), createStart(3, 3, "w3")]
		expect(findTwice(...starts)).to.have.length(3)
	})

	it("finds a start after an end as done that was acknowledged before", () => {
		const kinds = findKinds(
			createStart(100, 1, "w1"),
			createEnd(500, 1, "w1", "done"),
			createAcknowledgement(600, 1, "w1"),
			createStart(900, 2, "w2")
		)
		expect(kinds).to.deep.equal([TwiceKind.afterDone])
	})

	it("finds a start after an end as done that is acknowledged later", () => {
		const kinds = findKinds(
			createStart(100, 1, "w1"),
			createEnd(500, 1, "w1", "done"),
			createStart(900, 2, "w2"),
			createAcknowledgement(1200, 1, "w1")
		)
		expect(kinds).to.deep.equal([TwiceKind.afterDone])
	})

	it("passes over an end as done that is never acknowledged", () => {
		const kinds = findKinds(
			createStart(100, 1, "w1"),
			createEnd(500, 1, "w1", "done"),
			createStart(900, 2, "w2")
		)
		expect(kinds).to.deep.equal([])
	})

	it("passes over an end as done that was lost before its acknowledgement", () => {
		const kinds = findKinds(
			createStart(100, 1, "w1"),
			createEnd(500, 1, "w1", "done"),
			createLoss(700, 1, "w1"),
			createStart(900, 2, "w2"),
			createAcknowledgement(1200, 1, "w1")
		)
		expect(kinds).to.deep.equal([])
	})

	for (const outcome of ["failed", "stopped", "broken", "lapsed", "lost"])
		it(`passes over a start after an end as ${outcome}`, () => {
			const kinds = findKinds(
				createStart(100, 1, "w1"),
				createEnd(500, 1, "w1", outcome),
				createAcknowledgement(600, 1, "w1"),
				createStart(900, 2, "w2")
			)
			expect(kinds).to.deep.equal([])
		})

	it("passes over a start that follows the first run's end in the same millisecond", () => {
		const kinds = findKinds(
			createStart(100, 1, "w1"),
			createEnd(900, 1, "w1", "stopped"),
			createStart(900, 2, "w2")
		)
		expect(kinds).to.deep.equal([])
	})

	it("finds a start that precedes the first run's end in the same millisecond", () => {
		const kinds = findKinds(
			createStart(100, 1, "w1"),
			createStart(900, 2, "w2"),
			createEnd(900, 1, "w1", "stopped")
		)
		expect(kinds).to.deep.equal([TwiceKind.liveRuns])
	})

	it("passes over runs of different tasks", () => {
		const kinds = findKinds(createStart(100, 1, "w1"), createStart(200, 1, "w2", OTHER_TASK))
		expect(kinds).to.deep.equal([])
	})

	it("tells task, runs, workers and times in one line", () => {
		const [found] = findTwice(
			createStart(1100, 1, "w1"),
			createEnd(1500, 1, "w1", "done"),
			createAcknowledgement(1600, 1, "w1"),
			createStart(1900, 2, "w2")
		)
		expect(found === undefined ? "" : formatTwiceCase(found, 1000)).to.equal(
			`${TASK} start after an acknowledged end as done: ` +
				"run 1 on w1 from 100 to 500 (done, acknowledged 600); " +
				"run 2 on w2 from 900 to - (live, acknowledged -)"
		)
	})
})
