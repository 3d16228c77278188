/** What a round of placement costs while much waits, and that it leaves nothing out. */
import {expect} from "chai"
import {
	type NodeCapacity,
	type PlacementUnit,
	type RunPlacementPolicy,
	PackedRunPlacement,
	RunPlacementController
} from "../src/internal.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"
import {ID_A, ID_B} from "./fixtures/job-sizes.js"

/** Counts the choices that a placement policy is asked for. */
class CountingPlacement implements RunPlacementPolicy {
	readonly #policy = new PackedRunPlacement()
	choices = 0
	forecasts = 0

	choose(unit: PlacementUnit, nodes: readonly NodeCapacity[]) {
		this.choices++
		return this.#policy.choose(unit, nodes)
	}

	forecast(unit: PlacementUnit, nodes: readonly NodeCapacity[]) {
		this.forecasts++
		return this.#policy.forecast(unit, nodes)
	}
}

describe("a round of placement", () => {
	// Regression test: each waiting step was tried on all workers in each round, also after others like it had not fitted.
	it("tries what waits once for all steps alike, and others all the same", async () => {
		const {first, clock, submit, advance} = await createServingDomain()
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 16, workMs: 30000}))
		await advance(500)
		for (let index = 0; index < 300; index++)
			await submit(
				first,
				`${BATCH}${(0x1000 + index).toString(16).padStart(16, "0")}`,
				createJob({count: 3, workMs: 30000})
			)
		await submit(first, `${BATCH}${ID_B}`, createJob({gpu: 0, cpu: 100, workMs: 30000}))
		await advance(500)
		expect(first.board.runs.has(`${ID_B}.0.0.0`)).to.equal(true)
		first.stop()
		const policy = new CountingPlacement()
		new RunPlacementController(clock, policy).step(first.board, clock.now())
		expect(policy.choices).to.be.below(10)
		expect(policy.forecasts).to.be.below(10)
	})

	it("forecasts once for all that never fit", async () => {
		const {first, clock, submit} = await createServingDomain()
		for (let index = 0; index < 100; index++)
			await submit(
				first,
				`${BATCH}${(0x1000 + index).toString(16).padStart(16, "0")}`,
				createJob({requires: "kind-of-no-worker"})
			)
		first.stop()
		const policy = new CountingPlacement()
		new RunPlacementController(clock, policy).step(first.board, clock.now())
		expect(policy.forecasts).to.equal(1)
	})
})
