/** A job as large as the limits allow: no process ends or stalls, and other work goes on. */
import {expect} from "chai"
import {
	type Board,
	RunPlacementController,
	WORKFLOW_STEPS_MAX,
	WORKFLOW_TASKS_MAX,
	WorkflowAction,
	createOccurrence
} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {BATCH, OTHER_KEY, URGENT, createJob, createServingDomain} from "./fixtures/domain.js"
import {type OverdueOptions, ID_A, ID_B, createOverdueJob} from "./fixtures/job-sizes.js"

type Domain = Awaited<ReturnType<typeof createServingDomain>>

function countOpenTasks({workflows}: Board): number {
	return [...workflows.values()]
		.flatMap(({occurrences}) => [...occurrences.values()])
		.flatMap(({steps}) => steps.flatMap(({tasks}) => tasks)).length
}

/** Submits urgent work of another workspace and returns how long it waits for its start. */
async function measureOtherStart(domain: Domain): Promise<number> {
	const {first, fleet, ask, advanceUntil} = domain
	const spec = decodeWorkflow(createJob())
	const path = `${URGENT}${ID_B}`
	await ask(first, {action: WorkflowAction.submit, path, spec, key: OTHER_KEY})
	return advanceUntil(() => fleet.monitor.starts.some(({task}) => task.startsWith(ID_B)))
}

describe("a job of which thousands of occurrences are due at once", () => {
	const SHAPES: Readonly<Record<string, OverdueOptions>> = {
		"13 steps of one task": {steps: 13},
		"100 steps of 23 tasks": {steps: WORKFLOW_STEPS_MAX, tasks: 23},
		"one step of 2,300 tasks": {tasks: WORKFLOW_TASKS_MAX}
	}
	for (const [name, options] of Object.entries(SHAPES))
		// Regression test, review case 6: all occurrences were created at once, and each round tried all of their steps.
		it(`holds up no urgent work of others, and opens few of them at a time (${name})`, async () => {
			const domain = await createServingDomain()
			const {first, fleet, submit, advanceUntil} = domain
			await submit(first, `${BATCH}${ID_A}`, createOverdueJob(options))
			await advanceUntil(() => fleet.monitor.starts.length > 0)
			expect(await measureOtherStart(domain)).to.be.below(1500)
			expect(countOpenTasks(first.board)).to.be.at.most(WORKFLOW_TASKS_MAX + 1)
			expect(fleet.monitor.violations).to.deep.equal([])
		})

	it("is served to its end, each of its occurrences once", async () => {
		const domain = await createServingDomain({workers: 12})
		const {first, fleet, submit, advanceUntil, readState} = domain
		const occurrences = 3000
		await submit(first, `${BATCH}${ID_A}`, createOverdueJob({occurrences, workMs: 50}))
		const isEnded = () => first.board.workflows.get(ID_A)?.savedState === "completed"
		await advanceUntil(isEnded, 60000)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(fleet.monitor.starts).to.have.length(occurrences)
		expect(fleet.monitor.done.size).to.equal(occurrences)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	// Regression test: placement took the earliest of the delays by a call with one argument for each step.
	it("is placed however many steps are ready", async () => {
		const {first, clock, submit} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 30000}))
		first.stop()
		const workflow = first.board.workflows.get(ID_A)!
		for (let index = 1; index < 130000; index++)
			workflow.occurrences.set(index, createOccurrence(workflow.record, index))
		const controller = new RunPlacementController(clock)
		expect(() => controller.step(first.board, clock.now())).not.to.throw()
	})
})
