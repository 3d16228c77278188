import {expect} from "chai"
import fc from "fast-check"
import {type DomainStep, DomainModelRun, domainStepArbitrary} from "./fixtures/domain-model.js"

const SEED = 20261204
const SEQUENCES = Number(process.env.DOMAIN_SEQUENCES ?? "25")
const STEPS_MAX = 30

async function runSequence(steps: readonly DomainStep[]): Promise<void> {
	const run = new DomainModelRun()
	await run.start()
	for (const step of steps) {
		await run.apply(step)
		expect(run.listViolations()).to.deep.equal([])
	}
	expect(await run.finish()).to.deep.equal([])
}

describe("model of a domain: random faults of hosts, workers and the store", () => {
	it("violates no invariant after any step and ends every accepted workflow", async function () {
		this.timeout(600000)
		const seed = Number(process.env.DOMAIN_SEED ?? SEED)
		await fc.assert(
			fc.asyncProperty(fc.array(domainStepArbitrary, {maxLength: STEPS_MAX}), runSequence),
			{seed, numRuns: SEQUENCES, endOnFailure: process.env.DOMAIN_SHRINK === undefined}
		)
	})
})
