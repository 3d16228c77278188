import {expect} from "chai"
import {err} from "neverthrow"
import {
	type Board,
	type Clock,
	type Completion,
	type Controller,
	CommandKind,
	ControllerLoop,
	Lifecycle,
	ManualClock,
	SectionName,
	TransportError
} from "../src/internal.js"
import {createBoard} from "./fixtures/board.js"

function createCountingController(name: string): Controller & {steps: number} {
	return {
		name,
		reads: [SectionName.completions, SectionName.lifecycle],
		steps: 0,
		step(board: Board) {
			this.steps++
			board.takeCompletions(name)
			return undefined
		}
	}
}

function createLoop() {
	const clock = new ManualClock()
	const board = createBoard()
	const [one, other] = [createCountingController("one"), createCountingController("other")]
	const loop = new ControllerLoop(board, clock, [one, other])
	loop.start()
	clock.advance(1)
	return {clock, board, one, other}
}

describe("the controller loop", () => {
	it("wakes only the controller whose command has completed", () => {
		const {clock, board, one, other} = createLoop()
		const id = board.issue<"host-list">({
			kind: CommandKind.hostList,
			owner: "one",
			subject: "",
			target: "",
			request: {knownVersion: 0},
			timeoutMs: 1,
			issuedAt: 0
		})
		const command = board.outbox.take(id)!
		const result = err(new TransportError("", "cut", true))
		board.completions.set(id, {command, result} as Completion)
		clock.advance(1)
		expect([one.steps, other.steps]).to.deep.equal([2, 1])
		expect(board.completions.size).to.equal(0)
	})

	// Regression test: a timer with an infinite delay fired after 1 ms, again and again.
	it("arms no timer for a controller that asks for no time", () => {
		const clock = new ManualClock()
		let delays = 0
		const counting: Clock = {
			now: () => clock.now(),
			readJumps: () => clock.readJumps(),
			readWallClock: () => clock.readWallClock(),
			schedule: (delayMs, callback) => {
				if (delayMs > 0) delays++
				return clock.schedule(delayMs, callback)
			}
		}
		const waiting: Controller = {name: "waiting", reads: [], step: () => Infinity}
		new ControllerLoop(createBoard(), counting, [waiting]).start()
		clock.advance(1)
		expect(delays).to.equal(0)
	})

	it("wakes every reader of a section whose entries have no owner", () => {
		const {clock, board, one, other} = createLoop()
		board.lifecycle.set("state", Lifecycle.stopping)
		clock.advance(1)
		expect([one.steps, other.steps]).to.deep.equal([2, 2])
	})
})
