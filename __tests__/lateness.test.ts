/** The split of workflows' ages and of lost work, from log lines. */
import {expect} from "chai"
import {DayLogReader, parseLogLine} from "../bench/day-log.js"
import {formatLateness, formatPlot} from "../bench/lateness-report.js"
import {AgePart, listLostWork, measureAges} from "../bench/lateness.js"

const ID = "00000000000000aa"
const TASK = `${ID}.0.0.0`
const OTHER_TASK = `${ID}.0.0.1`
const STARTED_AT = 1000000

type Line = readonly [atMs: number, msg: string, fields: Record<string, unknown>]

/** Reads lines as the bench prints them, with a prefix. */
function createDay(lines: readonly Line[]) {
	const reader = new DayLogReader()
	for (const [atMs, msg, fields] of lines) {
		const text = JSON.stringify({time: STARTED_AT + atMs, host: "host-1", msg, ...fields})
		const event = parseLogLine(`   1.5 host-1 ${text}`)
		if (event !== undefined) reader.read(event)
	}
	return reader.finish()
}

const TAKEN_UP: Line = [
	100,
	"workflow-taken-up",
	{workflow: ID, queue: "urgent", workspace: "office", ageMs: 100, objectiveMs: 1500}
]
const ENDED: readonly Line[] = [
	[4000, "workflow-ended", {workflow: ID, state: "completed"}],
	[4100, "workflow-state", {workflow: ID, state: "completed"}]
]

function createStart(atMs: number, task: string, run: number): readonly Line[] {
	return [
		[atMs, "run-placed", {task, run, cores: 10, checkpoints: false}],
		[atMs, "start-sent", {task, run, start: 1}]
	]
}

describe("the split of workflows' ages", () => {
	it("judges lateness by the objective that was known at the end", () => {
		const [, state] = ENDED
		const ended: Line = [
			4000,
			"workflow-ended",
			{workflow: ID, state: "completed", objectiveMs: 5000}
		]
		const [age] = measureAges(createDay([TAKEN_UP, ...createStart(1000, TASK, 1), ended, state!]))
		expect(age?.isLate).to.equal(false)
	})

	it("names what each part of a late workflow's age went to", () => {
		const [age] = measureAges(
			createDay([
				[0, "request-refused", {path: `/urgent/${ID}`, action: "submit"}],
				[200, "request-answered", {workflow: ID, action: "submit", outcome: "queued"}],
				TAKEN_UP,
				[700, "zone-taken", {unrenewedMs: 400}],
				[800, "workflows-loaded", {}],
				[900, "run-waiting", {task: TASK}],
				...createStart(1000, TASK, 1),
				[2000, "run-ended", {task: TASK, run: 1, end: "failed"}],
				...createStart(2300, TASK, 2),
				[4000, "run-ended", {task: TASK, run: 2, end: "done"}],
				...ENDED
			])
		).filter(({isLate}) => isLate)
		expect(age?.totalMs).to.equal(4100)
		expect(Object.fromEntries(age!.parts)).to.deep.equal({
			[AgePart.untilAccepted]: 200,
			[AgePart.withoutHolder]: 500,
			[AgePart.noRoom]: 600,
			[AgePart.lost]: 1000,
			[AgePart.running]: 1700,
			[AgePart.endNotShown]: 100
		})
	})

	it("counts the lost work of a gang under what stopped its first member", () => {
		const lost = listLostWork(
			createDay([
				TAKEN_UP,
				...createStart(1000, TASK, 1),
				...createStart(1000, OTHER_TASK, 1),
				[2000, "stop-asked", {task: TASK, run: 1, reason: "preempted"}],
				[2000, "stop-asked", {task: OTHER_TASK, run: 1, reason: "gang-stopped"}],
				[2100, "run-ended", {task: TASK, run: 1, end: "stopped"}],
				[2200, "run-ended", {task: OTHER_TASK, run: 1, end: "stopped"}],
				...ENDED
			])
		)
		expect(lost).to.deep.equal([
			{queue: "urgent", cause: "preempted, of its gang", runs: 1, coreSeconds: 12},
			{queue: "urgent", cause: "preempted", runs: 1, coreSeconds: 11}
		])
	})

	it("skips what is no log line, and prints a table and a plot", () => {
		for (const line of ["", "served 0.8", '{"msg":', '{"msg":"x","time":"now"}'])
			expect(parseLogLine(line)).to.equal(undefined)
		const day = createDay([TAKEN_UP, ...createStart(200, TASK, 1), ...ENDED])
		expect(formatLateness(day)).to.include("urgent")
		expect(formatPlot(day)).to.include("<svg")
	})
})
