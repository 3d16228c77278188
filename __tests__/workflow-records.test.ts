/** Records of workflows that another writer or an earlier version has left. */
import {expect} from "chai"
import {decodeWorkflowRecord} from "../src/internal.js"
import {createRecord} from "./fixtures/job-sizes.js"

describe("the record of a workflow in the table", () => {
	const [step] = createRecord().spec.steps
	const ODD_SPECS: Readonly<Record<string, unknown>> = {
		"four billion tasks": {steps: [{...step, tasks: 4e9}]},
		"too many tasks in all": {steps: Array.from({length: 2}, () => ({...step, tasks: 2000}))},
		"too many steps": {steps: Array.from({length: 1000}, () => step)},
		"too many occurrences": {
			steps: [step],
			schedule: {firstDueWallMs: 0, intervalMs: 0, occurrences: 4e9}
		}
	}
	for (const [name, odd] of Object.entries(ODD_SPECS))
		// Regression test: a record that another writer left ended each holder for want of memory.
		it(`takes no workflow from a record with ${name}`, () => {
			const record = createRecord()
			const value = JSON.stringify({...record, spec: {...record.spec, ...(odd as object)}})
			expect(decodeWorkflowRecord(value).isErr()).to.equal(true)
		})

	// Regression test: a step that names an earlier one thousands of times was checked as often in each round.
	it("names each of the steps that a step depends on once", () => {
		const record = createRecord()
		const after = Array.from({length: 15000}, () => 0)
		const value = JSON.stringify({
			...record,
			spec: {...record.spec, steps: [step, {...step, after}]}
		})
		expect(decodeWorkflowRecord(value)._unsafeUnwrap().spec.steps[1]!.after).to.deep.equal([0])
	})
})
