/** What is learned from finished runs, and which runs are learned from. */
import {expect} from "chai"
import {
	type StepIdentity,
	type TaskProgress,
	ROW_BYTES_MAX,
	ReasonCode,
	RunTimeSource,
	StepTimes,
	TaskPhase,
	createOccurrence,
	createWorkflowEntry,
	listTaskRefs,
	recordFinishedRun,
	recordLongRun
} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {createBoard} from "./fixtures/board.js"
import {type StepOptions, createJob} from "./fixtures/domain.js"
import {createRecord} from "./fixtures/job-sizes.js"

function createStep(fields: Partial<StepIdentity> = {}): StepIdentity {
	return {
		queue: "batch",
		workspace: "office",
		stepIndex: 0,
		isGang: false,
		...fields
	}
}

/** `runs` gives the duration and the estimate of each. */
function createTimes(
	runs: readonly (readonly [number, number])[],
	step: StepIdentity = createStep(),
	times = new StepTimes()
): StepTimes {
	for (const [durationMs, estimateMs] of runs) times.record(step, estimateMs, [durationMs], 0)
	return times
}

const STEADY = [
	[2000, 6000],
	[2100, 700],
	[1900, 5500],
	[2000, 650]
] as const

describe("what a step is expected to take", () => {
	it("is the caller's estimate until runs have finished", () => {
		const expectation = createTimes(STEADY.slice(0, 1)).expect(createStep(), 900)
		expect(expectation).to.include({
			medianMs: 900,
			source: RunTimeSource.caller,
			samples: 0
		})
	})

	it("follows the durations where estimates are three times off either way", () => {
		const {medianMs, highMs, samples, source} = createTimes(STEADY).expect(createStep(), 6000)
		expect(medianMs).to.be.within(1900, 2100)
		expect(highMs).to.be.within(2000, 2200)
		expect({samples, source}).to.deep.equal({
			samples: 4,
			source: RunTimeSource.learned
		})
	})

	it("follows the callers' estimates where they are good", () => {
		const times = createTimes([2000, 9000, 500, 30000, 4000].map(ms => [ms, ms * 1.02]))
		expect(times.expect(createStep(), 12000).medianMs).to.equal(12000)
	})

	it("corrects estimates that are all too short by the same factor", () => {
		const times = createTimes([2000, 9000, 500, 30000, 4000].map(ms => [ms, ms / 3]))
		expect(times.expect(createStep(), 5000).medianMs).to.be.within(14800, 15300)
	})

	it("is between the two where durations and estimates are equally far off", () => {
		const times = new StepTimes()
		const OFF = [-0.6, 0, 0.6]
		const pairs = OFF.flatMap(work => OFF.map(error => [work, error] as const))
		for (const [work, error] of [...pairs, ...pairs])
			createTimes([[2000 * Math.exp(work), 2000 * Math.exp(work + error)]], createStep(), times)
		const {medianMs} = times.expect(createStep(), 2000 * Math.exp(1.2))
		expect(medianMs / Math.exp(0.6)).to.be.within(1900, 2100)
	})

	it("takes the runs of other workspaces where a workspace has none, and its own where it has", () => {
		const step = createStep({workspace: "other"})
		const many = [...STEADY, ...STEADY, ...STEADY]
		const times = createTimes(many)
		expect(times.expect(step, 6000).medianMs).to.be.within(1900, 2100)
		const own = many.map(([durationMs, estimateMs]) => [durationMs * 5, estimateMs] as const)
		createTimes(own, step, times)
		expect(times.expect(step, 6000).medianMs).to.be.within(9000, 11000)
		expect(times.expect(createStep(), 6000).medianMs).to.be.within(1900, 2100)
	})

	it("forgets how long runs took before they became longer", () => {
		const times = createTimes(Array.from({length: 40}, () => [2000, 700]))
		createTimes(
			Array.from({length: 40}, () => [8000, 700]),
			createStep(),
			times
		)
		expect(times.expect(createStep(), 700).medianMs).to.be.within(7900, 8200)
	})

	it("stays near what was seen if an estimate is a thousand times too long", () => {
		const times = createTimes([2000, 9000, 500, 30000, 4000].map(ms => [ms, ms / 3]))
		expect(times.expect(createStep(), 1e7).medianMs).to.be.at.most(4 * 31000)
	})

	it("shows by queue how far estimates and forecasts have been off lately", () => {
		const [errors] = createTimes([...STEADY, ...STEADY, ...STEADY]).listErrors()
		expect(errors?.queue).to.equal("batch")
		expect(errors?.caller).to.be.within(Math.log(2.8), Math.log(3.2))
		expect(errors?.chosen).to.be.below(errors!.caller / 2)
	})

	it("is kept of few steps and in a row that the table takes, whatever names there are", () => {
		const times = new StepTimes()
		for (let index = 0; index < 2000; index++) {
			const step = createStep({
				workspace: `${index}`.repeat(20),
				stepIndex: index % 100
			})
			createTimes([[100 + index * 50, 1000]], step, times)
		}
		expect(times.size).to.be.at.most(256)
		expect(Buffer.byteLength(times.encode("batch"))).to.be.at.most(ROW_BYTES_MAX)
	})

	it("is the same after its row was read", () => {
		const next = new StepTimes()
		expect(next.adopt(createTimes(STEADY).encode("batch")).isOk()).to.equal(true)
		const expected = createTimes(STEADY).expect(createStep(), 6000)
		expect(next.expect(createStep(), 6000)).to.deep.equal(expected)
	})

	for (const [what, spoil] of [
		["that is no text of ours", () => "%"],
		[
			"with a negative duration",
			(row: string) => row.replaceAll('"durations":[', '"durations":[-5,')
		],
		["without ratios", (row: string) => row.replaceAll('"ratios"', '"rates"')],
		[
			"with a negative number of samples",
			(row: string) => row.replaceAll('"samples":', '"samples":-')
		]
	] as const)
		it(`takes nothing from a row ${what}`, () => {
			const next = new StepTimes()
			expect(next.adopt(spoil(createTimes(STEADY).encode("batch"))).isErr()).to.equal(true)
			expect(next.size).to.equal(0)
		})
})

const STARTED_AT = 1000
const ENDED_AT = 5000

/** Lets a step end at ENDED_AT, on workers of two racks, and returns the duration that is learned. */
function learnDuration({
	step = {},
	tasks = {},
	health = {},
	stopped
}: {
	step?: StepOptions
	tasks?: Partial<TaskProgress>
	health?: {pace?: number; suspectUntil?: number; slowUntil?: number}
	stopped?: ReasonCode
}): number | undefined {
	const board = createBoard({domain: {remoteFactor: 2} as never})
	const spec = decodeWorkflow(createJob({workMs: 3000, ...step}))._unsafeUnwrap()
	const workflow = createWorkflowEntry(createRecord({spec}), 0, 0)
	const refs = listTaskRefs(workflow, createOccurrence(workflow.record, 0), 0)
	for (const [index, {task}] of refs.entries()) {
		const workerId = `w${index}`
		const startedAt = STARTED_AT + index * 100
		const running = {
			phase: TaskPhase.running,
			run: 1,
			starts: 1,
			workerId,
			startedAt
		}
		Object.assign(task, running, tasks)
		board.health.set(workerId, {
			pace: 1,
			suspectUntil: 0,
			slowUntil: 0,
			...health
		} as never)
		board.nodes.set(workerId, {registration: {rack: `r${index}`}} as never)
	}
	if (stopped === undefined) recordFinishedRun(board, refs, ENDED_AT)
	else recordLongRun(board, refs[0]!, stopped, ENDED_AT)
	return [...board.finishedRuns.values()][0]?.durationMs
}

describe("the duration that is learned from a run", () => {
	const LONG = ENDED_AT - STARTED_AT
	for (const [what, run, expected] of [
		["is from its start to its end", {}, LONG],
		["of a gang is from its last member's start", {step: {gang: true, count: 3}}, LONG - 200],
		["on a fast worker is that on others", {health: {pace: 0.8}}, LONG / 0.8],
		["in another rack than its data is that beside them", {step: {data_rack: "r7"}}, LONG / 2],
		["beside its data is the whole of it", {step: {data_rack: "r0"}}, LONG],
		[
			"of which an earlier holder saw a fifth is the whole of it",
			{tasks: {starts: 0, startPercent: 20}},
			LONG / 0.8
		],
		["of which most was not seen is not known", {tasks: {starts: 0, startPercent: 60}}, undefined],
		["whose start was not seen is not known", {tasks: {starts: 0}}, undefined],
		[
			"that may have gone on from a checkpoint is not known",
			{tasks: {run: 2, checkpoint: "c"}},
			undefined
		],
		["on a suspect worker is not known", {health: {suspectUntil: ENDED_AT + 1}}, undefined],
		["on a slow worker is not known", {health: {slowUntil: ENDED_AT + 1}}, undefined],
		[
			"that was never seen as running is not known",
			{tasks: {phase: TaskPhase.starting}},
			undefined
		],
		["that was preempted late is at least what it took", {stopped: ReasonCode.preempted}, LONG],
		[
			"that was preempted early is not known",
			{stopped: ReasonCode.preempted, tasks: {startedAt: 4000}},
			undefined
		],
		["that made no progress is not known", {stopped: ReasonCode.taskFailed}, undefined]
	] as const)
		it(what, () => {
			expect(learnDuration(run)).to.equal(expected)
		})
})
