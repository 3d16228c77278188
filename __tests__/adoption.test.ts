import {expect} from "chai"
import {type ClusterView, HostRole, LEASE_MARGIN_MS, START_PERMIT_MS} from "../src/internal.js"
import {
	AdoptionState,
	computePermitDurations,
	findAdoptionExitCode,
	formatRolloutResult,
	checkZones
} from "../src/cli/adoption.js"
import {ExitCode} from "../src/cli/exit-code.js"
import {createBundleContent} from "./fixtures/cluster.js"

const ZONE = "zone-a"
const PERMIT_MS = START_PERMIT_MS + LEASE_MARGIN_MS

/** Builds a view of one zone: hosts that answered, with their generations, and hosts that are only listed. */
function createView(
	generations: Readonly<Record<string, number>>,
	listed: string[] = []
): ClusterView {
	return {
		generation: 0,
		workers: [],
		endpoints: [],
		zones: [],
		adopted: Object.entries(generations).map(([hostId, generation]) => ({
			hostId,
			zone: ZONE,
			generation,
			ageMs: 0
		})),
		hosts: listed.map(id => ({
			id,
			role: HostRole.daemon,
			zone: ZONE,
			address: "",
			leaving: false
		}))
	}
}

describe("whether a generation is in force in a zone", () => {
	const permits = new Map([[ZONE, PERMIT_MS]])
	const cases: readonly [string, ClusterView, number, AdoptionState][] = [
		["all its hosts adopted it", createView({a: 2, b: 3}), 0, AdoptionState.adopted],
		["one host has not yet", createView({a: 2, b: 1}), 0, AdoptionState.pending],
		["a listed host has not answered", createView({a: 2}, ["b"]), 0, AdoptionState.pending],
		["no host has answered", createView({}), PERMIT_MS - 1, AdoptionState.pending],
		["no earlier permit is left", createView({a: 1}, ["b"]), PERMIT_MS, AdoptionState.permitsRanOut]
	]
	for (const [condition, view, elapsedMs, expected] of cases)
		it(`is ${expected} if ${condition}`, () => {
			const zones = checkZones(view, 2, permits, elapsedMs)
			expect(zones.map(({force}) => force)).to.deep.equal([expected])
			const code = expected === AdoptionState.pending ? ExitCode.notAdopted : ExitCode.ok
			expect(findAdoptionExitCode({generation: 2, zones})).to.equal(code)
		})

	it("prints how long work may still start", () => {
		const zones = checkZones(createView({a: 1}), 2, permits, 1000)
		const text = formatRolloutResult({generation: 2, zones})
		expect(text).to.include(`work may start there for ${PERMIT_MS - 1000} ms more`)
	})

	it("derives each zone's permit from the previous bundle's start limit for cut-off zones", () => {
		const content = createBundleContent({zones: [ZONE, "zone-b"], zonesOut: ["zone-b"]})
		const zones = content.zones.map(zone => ({...zone, cutOffStartMs: 60000}))
		expect([...computePermitDurations(content, {...content, zones})]).to.deep.equal([
			[ZONE, 60000 + LEASE_MARGIN_MS],
			["zone-b", 0]
		])
		expect([...computePermitDurations(content, undefined)].map(([, ms]) => ms)).to.deep.equal([
			0, 0
		])
	})
})
