/** Spans in which nothing of a workflow ran, from log lines. */
import {expect} from "chai"
import {type LogEvent, DayLogReader} from "../bench/day-log.js"
import {formatStandstills} from "../bench/standstill-report.js"
import {findStandstills} from "../bench/standstill.js"

const ID = "00000000000000aa"
const TASK = `${ID}.0.0.0`
const OTHER_TASK = `${ID}.0.0.1`
const STARTED_AT = 1000000

type Line = readonly [atMs: number, msg: string, fields: Record<string, unknown>]

function createDay(lines: readonly Line[]) {
	const reader = new DayLogReader()
	for (const [atMs, msg, fields] of lines) {
		const event: LogEvent = {time: STARTED_AT + atMs, host: "host-1", msg, ...fields}
		reader.read(event)
	}
	return reader.finish()
}

function createTakeUp(atMs: number, id = ID): Line {
	const fields = {workflow: id, queue: "urgent", workspace: "office", ageMs: 0}
	return [atMs, "workflow-taken-up", fields]
}

function createStart(atMs: number, task: string, run: number): Line {
	return [atMs, "start-sent", {task, run}]
}

function createEnd(atMs: number, task: string, run: number): Line {
	return [atMs, "run-ended", {task, run, end: "done"}]
}

function createGate(atMs: number, reason: string, worker?: string, stillMs?: number): Line {
	return [atMs, "workflow-still", {workflow: ID, task: TASK, reason, worker, stillMs}]
}

describe("standstills in a log", () => {
	it("finds the spans in which no task ran, with their gates, longest first", () => {
		const found = findStandstills(
			createDay([
				createTakeUp(0),
				createGate(2000, "no-room"),
				createStart(3000, TASK, 1),
				createStart(3500, OTHER_TASK, 1),
				createEnd(4000, TASK, 1),
				createEnd(9000, OTHER_TASK, 1),
				createGate(10000, "term-unconfirmed"),
				createGate(12000, "no-room"),
				createStart(14000, TASK, 2),
				createEnd(15000, TASK, 2),
				[17999, "workflow-ended", {workflow: ID, state: "completed"}]
			])
		)
		const spans = found.map(({from, to, isOpen, gates}) => [
			from - STARTED_AT,
			to - STARTED_AT,
			isOpen,
			gates.map(({gate}) => gate)
		])
		expect(spans).to.deep.equal([
			[9000, 14000, false, ["term-unconfirmed", "no-room"]],
			[0, 3000, false, ["no-room"]]
		])
	})

	it("counts a workflow that has not ended as still until the log ends", () => {
		const day = createDay([
			createTakeUp(0),
			createStart(100, TASK, 1),
			[200, "run-released", {task: TASK, run: 1, reason: "worker-expired"}],
			createGate(1500, "run-stopping", "worker-7"),
			[6000, "listening", {}]
		])
		expect(findStandstills(day)).to.have.length(1)
		const text = formatStandstills(day)
		expect(text).to.match(/5\.80 +0\.20 +6\.00 \(log ends\) {2}00000000000000aa urgent/)
		expect(text).to.include("run-stopping (worker-7) at 1.50")
	})

	it("finds nothing while a run goes on whose end is not in the log", () => {
		const day = createDay([createTakeUp(0), createStart(100, TASK, 1), [9000, "listening", {}]])
		expect(findStandstills(day)).to.deep.equal([])
	})

	it("counts a run that was asked to stop, or that the holder says does not run, as not running", () => {
		const day = createDay([
			createTakeUp(0),
			createStart(0, TASK, 1),
			createStart(0, OTHER_TASK, 1),
			[1000, "stop-asked", {task: TASK, run: 1, reason: "gang-stopped"}],
			createGate(9000, "run-stopping", "worker-7", 7500),
			createGate(11000, "run-stopping", "worker-7", 9500),
			[11500, "run-released", {task: OTHER_TASK, run: 1, reason: "lapsed"}],
			createStart(11600, OTHER_TASK, 2),
			createEnd(12000, OTHER_TASK, 2),
			[12000, "workflow-ended", {workflow: ID, state: "completed"}]
		])
		const spans = findStandstills(day).map(({from, to}) => [from - STARTED_AT, to - STARTED_AT])
		expect(spans).to.deep.equal([[1500, 11000]])
	})

	it("bounds its output", () => {
		const takeUps = Array.from({length: 100}, (_, index) => createTakeUp(0, `id-${index}`))
		const lines = formatStandstills(createDay([...takeUps, [5000, "listening", {}]])).split("\n")
		expect(lines).to.have.length(44)
		expect(lines.at(-1)).to.equal("and 60 more")
		expect(lines[1]).to.include("no gate named")
	})
})
