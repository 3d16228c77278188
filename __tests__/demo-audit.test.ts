import {expect} from "chai"
import {OutcomeKind} from "../src/internal.js"
import {type DemoJob, countJobs, countStartsWithin, isPassed} from "../scripts/demo-audit.js"
import {type RunEntry} from "../standins/worker/core.js"

function createJob(fields: Partial<DemoJob> = {}): DemoJob {
	const outcome = {kind: OutcomeKind.completed, answer: "done"}
	return {id: "job", members: 1, repeatable: false, expectedAnswer: "done", outcome, ...fields}
}

function createRun(fields: Partial<RunEntry> = {}): RunEntry {
	return {
		taskId: "job.1.0",
		jobId: "job",
		workerId: "worker-1",
		epoch: 1,
		generation: 1,
		startedWallMs: 1000,
		endedWallMs: 2000,
		end: "completed",
		...fields
	}
}

describe("the demo's audit of outcomes and runs", () => {
	it("passes a job that ran once and whose outcome its caller received", () => {
		const counts = countJobs([createJob()], [createRun()])
		expect(counts).to.include({accepted: 1, completed: 1, doubled: 0, lost: 0})
		expect(isPassed(counts)).to.equal(true)
	})

	const faults: readonly [string, DemoJob, RunEntry[], object][] = [
		["a doubled run", createJob(), [createRun(), createRun({taskId: "job.2.0"})], {doubled: 1}],
		["a job without an end", createJob({outcome: undefined}), [createRun()], {lost: 1}],
		["a completion that no back end recorded", createJob(), [], {lost: 1}],
		[
			"a gang with a member that did not complete",
			createJob({members: 2}),
			[createRun()],
			{lost: 1}
		],
		["another job's answer", createJob({expectedAnswer: "mine"}), [createRun()], {wrongAnswers: 1}],
		[
			"a job reported as not run that ran",
			createJob({outcome: {kind: OutcomeKind.notRun}}),
			[createRun({end: "stopped"})],
			{falseNotRun: 1}
		]
	]
	for (const [description, job, runs, expected] of faults)
		it(`counts ${description} as a fault`, () => {
			const counts = countJobs([job], runs)
			expect(counts).to.include(expected)
			expect(isPassed(counts)).to.equal(false)
		})

	it("lets a repeatable job run again", () => {
		const runs = [createRun({end: "stopped"}), createRun({taskId: "job.2.0"})]
		expect(isPassed(countJobs([createJob({repeatable: true})], runs))).to.equal(true)
	})

	it("does not pass an empty run", () => {
		expect(isPassed(countJobs([], []))).to.equal(false)
	})

	it("counts starts on given workers from one moment until before another", () => {
		const runs = [999, 1000, 1999, 2000].map(startedWallMs => createRun({startedWallMs}))
		expect(countStartsWithin(runs, new Set(["worker-1"]), 1000, 2000)).to.equal(2)
		expect(countStartsWithin(runs, new Set(["worker-2"]), 1000, 2000)).to.equal(0)
	})
})
