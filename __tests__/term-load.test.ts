/** The load of a term, however many rows it has. */
import {expect} from "chai"
import {ManualClock, WorkflowAdoption, WorkflowLoad} from "../src/internal.js"
import {createBoard} from "./fixtures/board.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"
import {ID_A, createRecord, replaceHolder} from "./fixtures/job-sizes.js"

describe("the load of a term", () => {
	// Regression test: the rows of a read were passed as the arguments of one call.
	it("takes reads of any number of rows", () => {
		const load = new WorkflowLoad([])
		const rows = Array.from({length: 300000}, (_, index) => ({
			key: `progress/${ID_A}.${index}`,
			version: 1,
			value: ""
		}))
		load.addProgress(rows)
		load.addWorkflows({rows, version: 1, isComplete: true})
		expect(load.progressRows).to.have.length(rows.length)
		expect(load.workflowRows).to.have.length(rows.length)
	})

	// Regression test: all rows were adopted in one turn, for longer than the holder's lease if there were many.
	it("adopts them in parts", () => {
		const board = createBoard()
		const adoption = new WorkflowAdoption(board, () => 0)
		const load = new WorkflowLoad([])
		const count = 2000
		const payload = "x".repeat(4000)
		const rows = Array.from({length: count}, (_, index) => {
			const id = index.toString(16).padStart(16, "0")
			const record = createRecord({id})
			const value = JSON.stringify({...record, spec: {...record.spec, payload}})
			return {key: `workflow/${id}`, version: 1, value}
		})
		load.addWorkflows({rows, version: 1, isComplete: true})
		adoption.plan(load)
		let parts = 0
		for (; adoption.isPending; parts++) {
			const known = board.workflows.size
			adoption.adoptNext(0)
			expect(board.workflows.size - known).to.be.below(400)
		}
		expect(board.workflows.size).to.equal(count)
		expect(parts).to.be.above(5)
	})

	it("loads many jobs while the holder keeps its domain", async () => {
		const domain = await createServingDomain({hosts: 2})
		const {first, fleet, submit, advance, advanceUntil, hosts} = domain
		const payload = {text: "x".repeat(3800)}
		for (let index = 0; index < 400; index++)
			await submit(
				first,
				`${BATCH}${index.toString(16).padStart(16, "0")}`,
				createJob({workMs: 30000}, payload)
			)
		await replaceHolder(domain)
		expect(hosts[1]!.board.workflows.size).to.equal(400)
		await advance(1000)
		expect(hosts[1]!.board.authority.get("fleet")?.isHeldHere).to.equal(true)
		await advanceUntil(() => fleet.monitor.starts.length > 0)
		expect(fleet.monitor.violations).to.deep.equal([])
	})
})

describe("a clock that doesn't move", () => {
	it("lets the load of a term end all the same", () => {
		const board = createBoard()
		const adoption = new WorkflowAdoption(board, () => new ManualClock().readWallClock())
		adoption.plan(new WorkflowLoad([]))
		adoption.adoptNext(0)
		expect(adoption.isPending).to.equal(false)
	})
})
