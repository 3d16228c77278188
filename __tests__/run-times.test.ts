/** A domain that learns from finished runs, under load and under failure. */
import {expect} from "chai"
import {type WorkflowEntry, RunTimeSource, WorkflowAction, buildForecast} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {type FleetCall} from "../standins/fleet/fleet.js"
import {
	type StepOptions,
	BATCH,
	OTHER_KEY,
	URGENT,
	createJob,
	createServingDomain
} from "./fixtures/domain.js"
import {replaceHolder} from "./fixtures/job-sizes.js"

type Domain = Awaited<ReturnType<typeof createServingDomain>>

const WORK_MS = 1500
/** Time in which what was learned is written. */
const WRITTEN_MS = 6000

function formatId(index: number): string {
	return (0x1000 + index).toString(16).padStart(16, "0")
}

function createEstimatedJob(index: number, estimateMs: number, options: StepOptions = {}) {
	const job = createJob({gpu: 1, workMs: WORK_MS, ...options})
	return {...job, steps: [{...job.steps[0], estimate_ms: estimateMs}]}
}

/** Runs jobs whose estimates are three times off either way. */
async function runJobs({first, submit, advance}: Domain, path = BATCH, from = 0): Promise<void> {
	for (let index = from; index < from + 4; index++) {
		const estimateMs = index % 2 === 0 ? WORK_MS / 3 : WORK_MS * 3
		await submit(first, `${path}${formatId(index)}`, createEstimatedJob(index, estimateMs))
	}
	await advance(WORK_MS + 3000)
}

/** Submits a job that can't start, and returns what its step is expected to take. */
async function findExpectation({submit, advance}: Domain, host: Domain["first"], id = 0x900) {
	const job = createEstimatedJob(id, WORK_MS * 3, {gpu: 8, count: 9, gang: true})
	const single = {...job, steps: [{...job.steps[0], count: 1, gang: false, label: "none"}]}
	await submit(host, `${BATCH}${formatId(id)}`, single)
	await advance(300)
	return host.board.workflows.get(formatId(id))?.forecast.steps[0]
}

function countRows({fleet}: Domain): number {
	return fleet.store.readRange("run-times", "main", "", undefined, 500).rows.length
}

function isRunTimesCommit({path, body}: FleetCall): boolean {
	return path === "/v1/rows-tx" && JSON.stringify(body).includes('"run-times"')
}

describe("a domain that learns run times", () => {
	it("expects of waiting work what finished runs took", async () => {
		const domain = await createServingDomain()
		await runJobs(domain)
		const expectation = await findExpectation(domain, domain.first)
		expect(expectation?.source).to.equal(RunTimeSource.learned)
		expect(expectation?.medianMs).to.be.within(WORK_MS * 0.9, WORK_MS * 1.2)
	})

	// Nothing else fails if the critical paths stay those of the caller's estimates.
	it("expects of each step what is left until the last one ends, by what was learned", async () => {
		const domain = await createServingDomain()
		await runJobs(domain)
		const job = createEstimatedJob(0x900, WORK_MS * 3, {requires: "kind-of-no-worker"})
		const [step] = job.steps
		const chain = [step, {...step, after: [0]}, {...step, after: [1]}]
		await domain.submit(domain.first, `${BATCH}${formatId(0x900)}`, {...job, steps: chain})
		await domain.advance(300)
		const {steps, criticalPathsMs} = domain.first.board.workflows.get(formatId(0x900))!.forecast
		const [learned, ...estimated] = steps.map(({medianMs}) => medianMs)
		expect(learned).to.be.within(WORK_MS * 0.9, WORK_MS * 1.2)
		expect(estimated).to.deep.equal([WORK_MS * 3, WORK_MS * 3])
		expect(criticalPathsMs).to.deep.equal([learned! + WORK_MS * 6, WORK_MS * 6, WORK_MS * 3])
	})

	it("expects what callers estimate where the settings say so", async () => {
		const domain = await createServingDomain({settings: {learnRunTimes: false}})
		await runJobs(domain)
		const expectation = await findExpectation(domain, domain.first)
		expect(expectation).to.include({medianMs: WORK_MS * 3, source: RunTimeSource.caller})
		await domain.advance(WRITTEN_MS)
		expect(countRows(domain)).to.equal(0)
	})

	it("goes on with it under the next holder, from one row for each queue", async () => {
		const domain = await createServingDomain({hosts: 2})
		await runJobs(domain)
		await domain.advance(WRITTEN_MS)
		expect(countRows(domain)).to.equal(1)
		await replaceHolder(domain)
		await domain.advance(300)
		const expectation = await findExpectation(domain, domain.hosts[1]!)
		expect(expectation).to.include({source: RunTimeSource.learned, samples: 4})
	})

	it("goes on without it if the holder ended before it was written", async () => {
		const domain = await createServingDomain({hosts: 2})
		domain.plan.isLost = (_, call) => isRunTimesCommit(call)
		await runJobs(domain)
		await replaceHolder(domain)
		const expectation = await findExpectation(domain, domain.hosts[1]!)
		expect(expectation?.source).to.equal(RunTimeSource.caller)
		expect(domain.fleet.monitor.violations).to.deep.equal([])
	})

	it("writes it again if the answer to its commit was lost", async () => {
		const domain = await createServingDomain({hosts: 2})
		let lost = 0
		domain.plan.isAnswerLost = (_, call) => isRunTimesCommit(call) && lost++ < 1
		await runJobs(domain)
		await domain.advance(2 * WRITTEN_MS)
		expect(lost).to.equal(2)
		await replaceHolder(domain)
		await domain.advance(300)
		expect(await findExpectation(domain, domain.hosts[1]!)).to.include({samples: 4})
	})

	it("writes nothing as a holder that another one has followed", async () => {
		const domain = await createServingDomain({hosts: 2})
		let delayed: FleetCall | undefined
		domain.plan.isLost = (_, call) => {
			if (isRunTimesCommit(call)) delayed ??= call
			return isRunTimesCommit(call)
		}
		await runJobs(domain)
		await domain.advance(WRITTEN_MS)
		await replaceHolder(domain)
		await domain.fleet.handle(delayed!)
		expect(countRows(domain)).to.equal(0)
	})

	it("learns on while the table refuses what it writes, and writes it afterwards", async () => {
		const domain = await createServingDomain()
		domain.plan.isRefused = (_, call) => isRunTimesCommit(call)
		await runJobs(domain)
		await domain.advance(WRITTEN_MS)
		expect((await findExpectation(domain, domain.first))?.source).to.equal(RunTimeSource.learned)
		domain.plan.isRefused = () => false
		await domain.advance(2 * WRITTEN_MS)
		expect(countRows(domain)).to.equal(1)
	})

	it("begins a term though its rows can't be read, and reads them afterwards", async () => {
		const domain = await createServingDomain({hosts: 2})
		await runJobs(domain)
		await domain.advance(WRITTEN_MS)
		const isRead = ({path, query}: FleetCall) =>
			path === "/v1/rows-get" && query.get("table") === "run-times"
		domain.plan.isLost = (_, call) => isRead(call)
		await replaceHolder(domain)
		expect((await findExpectation(domain, domain.hosts[1]!))?.source).to.equal(RunTimeSource.caller)
		domain.plan.isLost = () => false
		await domain.advance(WRITTEN_MS)
		const expectation = await findExpectation(domain, domain.hosts[1]!, 0x901)
		expect(expectation?.source).to.equal(RunTimeSource.learned)
	})

	it("goes on without a row that another writer has left", async () => {
		const domain = await createServingDomain({hosts: 2})
		await runJobs(domain)
		await domain.advance(WRITTEN_MS)
		const [row] = domain.fleet.store.readRange("run-times", "main", "", undefined, 1).rows
		const value = Buffer.from('{"queue":7}').toString("base64")
		domain.fleet.store.transact({precondition: [], put: [{...row!, value}], delete: []})
		await replaceHolder(domain)
		await domain.advance(300)
		const {board} = domain.hosts[1]!
		expect(board.events.size).to.be.above(0)
		const lines = [...board.events.values()].filter(({name}) => name === "workflow-row-malformed")
		expect(lines).to.have.length(1)
		expect(await findExpectation(domain, domain.hosts[1]!)).to.include({medianMs: WORK_MS * 3})
	})
})

/** Urgent jobs at 2.5 times the load that the workers carry; returns how many completed within their true objective. */
async function runUrgentLoad(learnRunTimes: boolean): Promise<number> {
	const domain = await createServingDomain({settings: {learnRunTimes}})
	const {first, fleet, ask, advance, clock} = domain
	await runJobs(domain, URGENT, 0x500)
	const acceptedAt = new Map<string, number>()
	const completedAt = new Map<string, number>()
	const advanceAndRecord = async (ms: number) => {
		for (let passed = 0; passed < ms; passed += 50) {
			await advance(50)
			for (const task of fleet.monitor.done)
				if (!completedAt.has(task)) completedAt.set(task, clock.now())
		}
	}
	for (let index = 0; index < 50; index++) {
		const estimateMs = index % 2 === 0 ? WORK_MS / 3 : WORK_MS * 3
		const spec = decodeWorkflow(createEstimatedJob(index, estimateMs, {gpu: 8}))
		const path = `${URGENT}${formatId(index)}`
		await ask(first, {action: WorkflowAction.submit, path, spec, key: OTHER_KEY})
		acceptedAt.set(`${formatId(index)}.0.0.0`, clock.now())
		await advanceAndRecord(300)
	}
	await advanceAndRecord(15000)
	const objectiveMs = 1.5 * WORK_MS + 400
	return [...acceptedAt].filter(
		([task, time]) => (completedAt.get(task) ?? Infinity) - time <= objectiveMs
	).length
}

describe("urgent work whose estimates are three times off either way, at 2.5 times the load that workers carry", () => {
	// Load pattern: the doomed look punctual since their estimates are long, and those with short ones look doomed.
	it("is on time far more often with what was learned than by the estimates", async () => {
		const byEstimates = await runUrgentLoad(false)
		const learned = await runUrgentLoad(true)
		expect(learned).to.be.at.least(byEstimates + 5)
	}).timeout(60000)
})

describe("a forecast that is wrong", () => {
	it("doesn't change what is run, in whatever order", async () => {
		const domain = await createServingDomain()
		const forecastWrongly = ({record, forecast}: WorkflowEntry, factor: number) =>
			buildForecast(
				record.spec.steps,
				forecast.steps.map(step => ({...step, medianMs: step.medianMs * factor}))
			)
		for (let index = 0; index < 12; index++) {
			const id = formatId(index)
			await domain.submit(
				domain.first,
				`${URGENT}${id}`,
				createEstimatedJob(index, WORK_MS, {gpu: 8})
			)
			await domain.advance(100)
			const entry = domain.first.board.workflows.get(id)!
			entry.forecast = forecastWrongly(entry, index % 2 === 0 ? 1000 : 0.001)
		}
		await domain.advance(12 * WORK_MS)
		expect(domain.fleet.monitor.done.size).to.equal(12)
		expect(domain.fleet.monitor.violations).to.deep.equal([])
	})
})
