import {expect} from "chai"
import fc from "fast-check"
import {
	type DomainModelOptions,
	type DomainStep,
	DomainModelRun,
	domainStepArbitrary
} from "./fixtures/domain-model.js"
import {SLOW_STOP_MS} from "./fixtures/headroom.js"

const SEED = 20261204
const SEQUENCES = Number(process.env.DOMAIN_SEQUENCES ?? "25")
const STEPS_MAX = 30
/** Less than the largest gangs need, which are refused. */
const CAP = 14
/** Less urgent work leaves headroom. */
const FULL_LOAD: DomainModelOptions = {stopMs: SLOW_STOP_MS, jobs: 20}
const sequenceArbitrary = fc.array(domainStepArbitrary, {maxLength: STEPS_MAX})

async function runSequence(
	steps: readonly DomainStep[],
	options?: DomainModelOptions
): Promise<void> {
	const run = new DomainModelRun()
	await run.start(options)
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
			fc.asyncProperty(sequenceArbitrary, steps => runSequence(steps)),
			{seed, numRuns: SEQUENCES, endOnFailure: process.env.DOMAIN_SHRINK === undefined}
		)
	})

	it("nor while less urgent work leaves headroom", async function () {
		this.timeout(600000)
		const seed = Number(process.env.DOMAIN_SEED ?? SEED)
		await fc.assert(
			fc.asyncProperty(sequenceArbitrary, steps => runSequence(steps, FULL_LOAD)),
			{seed, numRuns: SEQUENCES, endOnFailure: process.env.DOMAIN_SHRINK === undefined}
		)
	})

	it("nor the cap of a workspace", async function () {
		this.timeout(600000)
		const seed = Number(process.env.DOMAIN_SEED ?? SEED)
		await fc.assert(
			fc.asyncProperty(sequenceArbitrary, steps => runSequence(steps, {cap: CAP})),
			{seed, numRuns: SEQUENCES, endOnFailure: process.env.DOMAIN_SHRINK === undefined}
		)
	})
})
