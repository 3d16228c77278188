/** Work whose rows exceed what the platform's table takes in one commit. */
import {expect} from "chai"
import {WorkflowAction} from "../src/internal.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"
const ID_B = "00000000000000bb"
/** Each has a row, whose deletion is two entries of a commit. */
const OCCURRENCES = 74
const INTERVAL_MS = 100

type Domain = Awaited<ReturnType<typeof createServingDomain>>

function createRecurringJob(occurrences: number, firstRunMs: number) {
	const schedule = {
		first_run_ms: firstRunMs,
		interval_ms: INTERVAL_MS,
		repeat_count: occurrences
	}
	return {...createJob({workMs: 50}), ...schedule}
}

function countProgressRows({fleet}: Domain): number {
	return fleet.store.readRange("progress", "main", "", undefined, 500).rows.length
}

/** Submits a job of one task and checks that it completes, which needs commits of its own. */
async function expectOtherWorkToComplete(domain: Domain): Promise<void> {
	const {first, submit, advance, readState, fleet} = domain
	await submit(first, `${BATCH}${ID_B}`, createJob())
	await advance(3000)
	expect(fleet.excesses).to.deep.equal([])
	expect(await readState(first, `${BATCH}${ID_B}`)).to.equal("completed")
}

describe("a workflow with more rows than one commit takes", () => {
	// Regression test, review case 2: the deletion of all rows was one commit, which the table refused for ever.
	it("is cancelled without holding up other work", async () => {
		const domain = await createServingDomain()
		const {first, submit, ask, advance, readState, clock} = domain
		await submit(first, `${BATCH}${ID_A}`, createRecurringJob(2 * OCCURRENCES, clock.now()))
		await advance(OCCURRENCES * INTERVAL_MS)
		expect(countProgressRows(domain)).to.be.above(OCCURRENCES - 5)
		await ask(first, {action: WorkflowAction.cancel, path: `${BATCH}${ID_A}`})
		await expectOtherWorkToComplete(domain)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("cancelled")
		expect(countProgressRows(domain)).to.equal(0)
	})

	it("completes by itself without holding up other work", async () => {
		const domain = await createServingDomain()
		const {first, submit, advance, readState, clock} = domain
		await submit(first, `${BATCH}${ID_A}`, createRecurringJob(OCCURRENCES, clock.now()))
		await advance((OCCURRENCES + 5) * INTERVAL_MS)
		await expectOtherWorkToComplete(domain)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(countProgressRows(domain)).to.equal(0)
	})

	it("starts all of its occurrences if they are due at once", async () => {
		const domain = await createServingDomain({workers: 12})
		const {first, submit, readState, fleet} = domain
		await submit(first, `${BATCH}${ID_A}`, createRecurringJob(OCCURRENCES, 1))
		await expectOtherWorkToComplete(domain)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(fleet.monitor.starts).to.have.length(OCCURRENCES + 1)
	})

	it("lets other work go on while thousands of its rows are deleted, and a successor deletes the rest", async () => {
		const domain = await createServingDomain({hosts: 2})
		const {first, submit, ask, advance, advanceUntil, readState, clock, fleet, hosts, plan} = domain
		const rows = 2000
		const dueMs = clock.now() + 1e9
		await submit(first, `${BATCH}${ID_A}`, createRecurringJob(rows + 1, dueMs))
		const value = Buffer.from('[{"tasks":[["done",1,0,"","","",[]]],"gangFailures":0,"gangFailedRun":0}]')
		for (let index = 0; index < rows; index++)
			fleet.store.transact({
				precondition: [],
				put: [
					{
						table: "progress",
						part: "main",
						key: `${ID_A}.${index}`,
						value: value.toString("base64")
					}
				],
				delete: []
			})
		first.stop()
		first.board.authority.delete("fleet")
		const [, second] = hosts
		await advanceUntil(() => second!.board.terms.has("loaded"))
		plan.computeDelay = (_, call) => (call.path === "/v1/rows-tx" ? 50 : 2)
		await ask(second!, {action: WorkflowAction.cancel, path: `${BATCH}${ID_A}`})
		await submit(second!, `${BATCH}${ID_B}`, createJob({workMs: 500}))
		await advance(2500)
		expect(await readState(second!, `${BATCH}${ID_B}`)).to.equal("completed")
		expect(countProgressRows(domain)).to.be.above(0)
		second!.stop()
		second!.board.authority.delete("fleet")
		const third = domain.addHost()
		await advanceUntil(() => third.board.terms.has("loaded"))
		await advance(10000)
		expect(countProgressRows(domain)).to.equal(0)
		expect(await readState(third, `${BATCH}${ID_A}`)).to.equal("cancelled")
		expect(fleet.excesses).to.deep.equal([])
	})
})
