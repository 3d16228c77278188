import {generateKeyPairSync} from "node:crypto"
import {expect} from "chai"
import fc from "fast-check"
import {
	type BundleContent,
	type FleetTask,
	type GuaranteeUnit,
	Adjacency,
	BestFitPlacementPolicy,
	FleetIndex,
	GuaranteePlacementIndex,
	GuaranteeKeeper,
	GuaranteeReclaimRule,
	ReasonCode,
	ReplyKind,
	RequestKind,
	RolloutController,
	addTask,
	bundleContentSchema,
	checkGuarantees,
	createPolicies,
	findReclaim,
	listUnits,
	removeTasks,
	signBundle
} from "../src/internal.js"
import {createFleet, createFleetTask, createShape} from "./fixtures/fleet.js"
import {createBoard} from "./fixtures/board.js"
import {ZONE, createGuaranteeContent} from "./fixtures/zone.js"

const RUNS = {numRuns: 200, seed: 20262}
const WORKSPACES = ["one", "two", "three"]

interface CapacityOptions {
	readonly racks: number
	readonly workers: number
}

function createDeclaredContent(
	guarantees: Parameters<typeof createGuaranteeContent>[0],
	{racks, workers}: CapacityOptions
): BundleContent {
	const content = createGuaranteeContent(guarantees)
	const capacity = Array.from({length: racks}, (_, at) => ({
		rack: `r${at}`,
		workers,
		accelerators: 8,
		cpus: 30,
		memoryMb: 128000
	}))
	const zones = content.zones.map(zone => ({...zone, capacity}))
	return bundleContentSchema.parse({...content, zones})
}

describe("the check of a bundle's guarantees", () => {
	const pair = {members: 2, accelerators: 8, adjacency: "rack"}

	it("accepts guarantees that fill the declared capacity exactly", () => {
		const content = createDeclaredContent(
			{one: [{...pair, count: 2}], two: [{members: 1, accelerators: 4, count: 8}]},
			{racks: 4, workers: 2}
		)
		expect(checkGuarantees(content).isOk()).to.equal(true)
	})

	it("refuses guarantees that fit by number of accelerators but not by shape", () => {
		const content = createDeclaredContent({one: [{...pair, count: 1}]}, {racks: 2, workers: 1})
		const error = checkGuarantees(content)._unsafeUnwrapErr()
		expect(error.reason).to.equal(ReasonCode.guaranteesDoNotFit)
		expect(error.message).to.contain("one: 2 x 8 accelerators, adjacency rack")
	})

	it("refuses guarantees whose processors do not fit", () => {
		const content = createDeclaredContent(
			{one: [{members: 1, accelerators: 1}]},
			{racks: 1, workers: 1}
		)
		const [workspace] = content.workspaces
		const shape = createShape({cpus: 31})
		const oversized = {...workspace!, guarantees: [{zone: ZONE, shape, count: 1}]}
		expect(checkGuarantees({...content, workspaces: [oversized]}).isErr()).to.equal(true)
	})

	it("refuses a guarantee in a zone that the bundle does not list", () => {
		const content = createGuaranteeContent({one: [pair]})
		const zones = content.zones.map(zone => ({...zone, name: "zone-b"}))
		expect(checkGuarantees({...content, zones}).isErr()).to.equal(true)
	})
})

describe("a roll-out of guarantees that do not fit", () => {
	it("is refused with a reason before any command is issued", () => {
		const keys = generateKeyPairSync("ed25519")
		const privateKey = keys.privateKey.export({format: "der", type: "pkcs8"}).toString("base64")
		const publicKey = keys.publicKey.export({format: "der", type: "spki"}).toString("base64")
		const board = createBoard({bundleKeys: {main: publicKey}})
		const content = createDeclaredContent(
			{one: [{members: 1, accelerators: 8, count: 3}]},
			{racks: 1, workers: 2}
		)
		board.requests.set("request", {
			kind: RequestKind.rollout,
			id: "request",
			identity: {workspace: "", caller: "operator", operator: true},
			arrivedAt: 0,
			bundle: signBundle(1, content, "main", privateKey)
		})
		new RolloutController(createPolicies()).step(board, 0)
		const reply = board.replies.get("request")
		expect(reply?.kind === ReplyKind.refused && reply.refusal.reason).to.equal(
			ReasonCode.guaranteesDoNotFit
		)
		expect(board.outbox.size).to.equal(0)
	})
})

/** A step of the model: place a gang, end one, or claim a guaranteed shape from borrowers. */
const stepArbitrary = fc.record({
	kind: fc.constantFrom("place", "place", "place", "end", "claim"),
	workspace: fc.constantFrom(...WORKSPACES, "guest"),
	stoppable: fc.boolean(),
	members: fc.constantFrom(1, 1, 2, 3),
	accelerators: fc.constantFrom(0, 1, 2, 4, 8),
	cpus: fc.constantFrom(1, 4, 12),
	adjacency: fc.constantFrom(Adjacency.any, Adjacency.rack),
	pick: fc.nat(1000)
})
type ModelStep = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never

function createUnits(): readonly GuaranteeUnit[] {
	const content = createGuaranteeContent({
		one: [{members: 2, accelerators: 8, adjacency: "rack"}],
		two: [{members: 1, accelerators: 4, count: 3}],
		three: [
			{members: 3, accelerators: 2, adjacency: "rack"},
			{members: 1, accelerators: 1, count: 2}
		]
	})
	return listUnits(content, ZONE)
}

/** A fleet of two racks of three workers, with the guarantees of three workspaces. */
function createModel() {
	const fleet = new FleetIndex()
	for (const worker of createFleet(2).values())
		if (!["3", "4", "5", "6", "7"].includes(worker.id.slice(-1))) fleet.set(worker)
	const keeper = new GuaranteeKeeper()
	const units = createUnits()
	const jobs: string[] = []
	let now = 0
	keeper.sync(units, fleet, now)

	function run(step: ModelStep, index: number): void {
		now += 1000
		if (step.kind === "end") end(jobs.splice(step.pick % Math.max(1, jobs.length), 1))
		else if (step.kind === "place") place(step, `job-${index}`)
		else claim(step, `job-${index}`)
		keeper.sync(units, fleet, now)
	}

	function createTask(step: ModelStep, jobId: string): FleetTask {
		const {workspace, stoppable, cpus} = step
		return createFleetTask({jobId, workspace, stoppable, cpus, startedAt: now})
	}

	function place(step: ModelStep, jobId: string): void {
		const {members, accelerators, cpus, adjacency, workspace} = step
		const shape = createShape({members, accelerators, cpus, adjacency})
		const request = {jobId, workspace, shape, failedOn: []}
		const task = createTask(step, jobId)
		const placed = keeper.place(new BestFitPlacementPolicy(), request, task, fleet, now)
		if (placed.isOk()) start(placed.value, task)
	}

	function claim(step: ModelStep, jobId: string): void {
		const {members, accelerators, cpus, adjacency, workspace} = step
		const shape = createShape({members, accelerators, cpus, adjacency})
		keeper.refresh([workspace], fleet, now)
		const rule = new GuaranteeReclaimRule(workspace, keeper.placements)
		const choice = findReclaim(shape, fleet.values(), rule, now)
		if (choice === undefined) return
		end(choice.victims)
		for (const id of choice.victims) jobs.splice(jobs.indexOf(id), 1)
		start(choice.members, createTask(step, jobId))
	}

	function start(
		members: readonly {workerId: string; accelerators: readonly number[]}[],
		task: FleetTask
	): void {
		jobs.push(task.jobId)
		for (const {workerId, accelerators} of members)
			fleet.set(addTask(fleet.get(workerId)!, {...task, accelerators}))
	}

	function end(ids: readonly string[]): void {
		for (const worker of [...fleet.values()])
			if (worker.tasks.some(({jobId}) => ids.includes(jobId)))
				fleet.set(removeTasks(worker, ({jobId}) => ids.includes(jobId)))
	}

	return {fleet, keeper, units, run}
}

/** Checks the guarantee placements without using the packing code that chose them. */
function expectValidPlacements(
	placements: GuaranteePlacementIndex,
	fleet: FleetIndex,
	units: number
): void {
	const assigned = new Set<string>()
	expect(placements.list).to.have.length(units)
	for (const {unit, members} of placements.list) {
		expect(members, `placement of ${unit.id}`).to.have.length(unit.shape.members)
		const racks = new Set(members.map(({workerId}) => fleet.get(workerId)?.rack))
		if (unit.shape.adjacency === Adjacency.rack) expect(racks.size).to.equal(1)
		for (const {workerId, accelerators} of members) {
			expect(accelerators).to.have.length(unit.shape.accelerators)
			expect((accelerators[0] ?? 0) % unit.shape.accelerators).to.equal(0)
			for (const at of accelerators) {
				expect(assigned.has(`${workerId}/${at}`)).to.equal(false)
				assigned.add(`${workerId}/${at}`)
				for (const task of fleet.get(workerId)!.tasks)
					if (task.accelerators.includes(at) && !task.stoppable)
						expect(task.workspace).to.equal(unit.workspace)
			}
		}
	}
	for (const worker of fleet.values()) {
		expect(worker.freeCpus).to.be.at.least(0)
		const occupied = worker.tasks.flatMap(({accelerators}) => accelerators)
		expect(new Set(occupied).size).to.equal(occupied.length)
	}
}

describe("the placements of guaranteed shapes", () => {
	it("exist for every shape after gangs are placed, ended and reclaimed", () => {
		const property = fc.property(fc.array(stepArbitrary, {minLength: 1, maxLength: 60}), steps => {
			const model = createModel()
			for (const [index, step] of steps.entries()) {
				model.run(step, index)
				expectValidPlacements(model.keeper.placements, model.fleet, model.units.length)
			}
		})
		fc.assert(property, RUNS)
	})
})
