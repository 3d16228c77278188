/** What is left of occurrences that are done, and that none of them runs again. */
import {expect} from "chai"
import {WORKFLOW_TASKS_MAX, createWorkflowEntry} from "../src/internal.js"
import {BATCH, createServingDomain} from "./fixtures/domain.js"
import {
	ID_A,
	countProgressRows,
	createOverdueJob,
	createRecord,
	replaceHolder
} from "./fixtures/job-sizes.js"

describe("occurrences that are done", () => {
	// Regression test: each left a row, and its tasks in the holder's memory, until the whole job had ended.
	it("leave neither rows nor tasks behind while their job goes on", async () => {
		const domain = await createServingDomain()
		const {first, fleet, submit, advanceUntil} = domain
		await submit(first, `${BATCH}${ID_A}`, createOverdueJob({workMs: 50}))
		await advanceUntil(() => fleet.monitor.done.size > 400)
		expect(countProgressRows(domain)).to.be.below(100)
		const {occurrences, done} = first.board.workflows.get(ID_A)!
		expect(occurrences.size).to.be.at.most(WORKFLOW_TASKS_MAX + 100)
		expect(done.encode().length).to.be.below(50)
	})

	it("are not run again by a next holder, and the others are", async () => {
		const domain = await createServingDomain({hosts: 2, workers: 4})
		const {first, fleet, submit, advance, advanceUntil, readState, hosts} = domain
		const occurrences = 600
		await submit(first, `${BATCH}${ID_A}`, createOverdueJob({occurrences, workMs: 50}))
		await advanceUntil(() => fleet.monitor.done.size > 200)
		await replaceHolder(domain)
		await advance(20000)
		expect(await readState(hosts[1]!, `${BATCH}${ID_A}`)).to.equal("completed")
		expect(fleet.monitor.done.size).to.equal(occurrences)
		expect(fleet.monitor.violations).to.deep.equal([])
		expect(countProgressRows(domain)).to.equal(0)
	})

	it("lose rows that were left over when the next term begins", async () => {
		const domain = await createServingDomain({hosts: 2})
		const {first, fleet, submit, advance, advanceUntil, hosts} = domain
		await submit(first, `${BATCH}${ID_A}`, createOverdueJob({workMs: 50}))
		await advanceUntil(() => fleet.monitor.done.size > 50)
		await advance(500)
		const index = first.board.workflows.get(ID_A)!.done.encode()[0]![0]
		const value = Buffer.from(
			'[{"tasks":[["placed",1,0,"","w1","0",[]]],"gangFailures":0,"gangFailedRun":0}]'
		).toString("base64")
		const put = [{table: "progress", part: "main", key: `${ID_A}.${index}`, value}]
		fleet.store.transact({precondition: [], put, delete: []})
		await replaceHolder(domain)
		await advance(3000)
		const {rows} = fleet.store.readRange("progress", "main", `${ID_A}.${index}`, undefined, 1)
		expect(rows[0]?.key).not.to.equal(`${ID_A}.${index}`)
		expect(hosts[1]!.board.workflows.get(ID_A)!.done.has(index)).to.equal(true)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("are not run again under a state that can't be read, nor under an earlier version", async () => {
		const domain = await createServingDomain()
		const {first, fleet, submit, advanceUntil, readState} = domain
		await submit(first, `${BATCH}${ID_A}`, createOverdueJob({workMs: 50}))
		await advanceUntil(() => fleet.monitor.done.size > 50)
		const {rows} = fleet.store.readRange("workflow", "main", `${ID_A}.state`, undefined, 1)
		const {state} = JSON.parse(Buffer.from(rows[0]!.value!, "base64").toString()) as {
			state: string
		}
		// Earlier versions know the states queued, running, completed, failed and cancelled.
		expect(state).to.equal("partly-done")
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("running")
	})

	it("are kept as ranges of their indices", () => {
		const {done} = createWorkflowEntry(createRecord(), 0, 0)
		for (const index of [5, 3, 4, 0, 9, 8, 4, 1]) done.add(index)
		expect(done.size).to.equal(7)
		expect(done.encode()).to.deep.equal([
			[0, 1],
			[3, 5],
			[8, 9]
		])
		expect([...done.listMissing(11)]).to.deep.equal([2, 6, 7, 10])
		expect([0, 1, 2, 3, 5, 6, 9, 10].map(index => done.has(index))).to.deep.equal([
			true,
			true,
			false,
			true,
			true,
			false,
			true,
			false
		])
	})
})
