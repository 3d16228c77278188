import {expect} from "chai"
import {type Command, JobState, OutcomeKind, PriorityClass, ReasonCode} from "../src/internal.js"
import {DefaultFaultPlan, DeliveryAction} from "../standins/fault-plan.js"
import {type TestZone, createGuaranteedZone} from "./fixtures/zone.js"

/** Required bound on reclaiming a guarantee from borrowers that checkpoint. */
const RECLAIM_BOUND_MS = 10000
/** Required bound on the start of urgent work. */
const URGENT_BOUND_MS = 1000
const START_TIMEOUT_MS = 5000

const RACK_PAIR = {members: 2, accelerators: 8, adjacency: "rack"} as const

/** Loses every request to one worker. */
class CutOffFaultPlan extends DefaultFaultPlan {
	readonly #target: string
	constructor(target: string) {
		super()
		this.#target = target
	}
	override decide(_hostId?: string, command?: Command): DeliveryAction {
		return command?.target === this.#target ? DeliveryAction.loseRequest : DeliveryAction.deliver
	}
}

/** Starts a borrower of workspace `posta` on every worker of the zone. */
function startBorrowers(zone: TestZone, fields: {checkpoint: boolean; repeatable: boolean}) {
	const jobs = [...zone.cluster.workers.keys()].map(id =>
		zone.submit(`borrower-${id}`, {workspace: "posta", shape: {accelerators: 8}, ...fields})
	)
	const areRunning = () => jobs.every(id => zone.listRunning(id).length === 1)
	expect(zone.advanceUntil(areRunning, START_TIMEOUT_MS)).to.be.below(Infinity)
	return jobs
}

function listRacks(workers: readonly string[]): string[] {
	return [...new Set(workers.map(id => id.slice(0, 2)))]
}

describe("reclaim of a guaranteed shape", () => {
	it("reclaims two whole workers in one rack from borrowers that checkpoint", () => {
		const zone = createGuaranteedZone({guarantees: {kerala: [RACK_PAIR], posta: []}, racks: 2})
		const borrowers = startBorrowers(zone, {checkpoint: true, repeatable: false})
		zone.clock.advance(60000)
		const claim = zone.submit("claim", {workspace: "kerala", shape: RACK_PAIR, runMs: 20000})
		const isRunning = () => zone.listRunning(claim).length === 2
		expect(zone.advanceUntil(isRunning, RECLAIM_BOUND_MS)).to.be.at.most(RECLAIM_BOUND_MS)
		expect(listRacks(zone.listRunning(claim))).to.have.length(1)
		const stopped = borrowers.filter(id => zone.listRunning(id).length === 0)
		expect(stopped).to.have.length(2)
		for (const id of stopped) {
			const {record} = zone.host.board.jobs.get(id)!
			expect(record).to.include({state: JobState.queued, attempts: 0})
			expect(record.checkpoint).to.be.above(0.09)
		}
		const areRestarted = () => stopped.every(id => zone.listRunning(id).length === 1)
		expect(zone.advanceUntil(areRestarted, 60000)).to.be.below(Infinity)
	})

	it("stops borrowers that ignore the checkpoint request, without a checkpoint", () => {
		const zone = createGuaranteedZone({guarantees: {kerala: [RACK_PAIR], posta: []}})
		const borrowers = startBorrowers(zone, {checkpoint: true, repeatable: true})
		for (const core of zone.cluster.workers.values()) core.switches.ignoreStopMs = 3600000
		const claim = zone.submit("claim", {workspace: "kerala", shape: RACK_PAIR})
		const isRunning = () => zone.listRunning(claim).length === 2
		expect(zone.advanceUntil(isRunning, RECLAIM_BOUND_MS)).to.be.at.most(RECLAIM_BOUND_MS)
		for (const id of borrowers)
			expect(zone.host.board.jobs.get(id)?.record.state).to.equal(JobState.queued)
	})

	it("fails a borrower that may not be repeated and left no checkpoint, rather than run it twice", () => {
		const zone = createGuaranteedZone({guarantees: {kerala: [RACK_PAIR], posta: []}})
		const [borrower = ""] = startBorrowers(zone, {checkpoint: true, repeatable: false})
		for (const core of zone.cluster.workers.values()) core.switches.ignoreStopMs = 3600000
		zone.submit("claim", {workspace: "kerala", shape: RACK_PAIR})
		const hasEnded = () => zone.host.board.ended.has(borrower)
		expect(zone.advanceUntil(hasEnded, 2 * RECLAIM_BOUND_MS)).to.be.below(Infinity)
		expect(zone.host.board.ended.get(borrower)?.outcome).to.include({
			kind: OutcomeKind.failed,
			reason: ReasonCode.reclaimed
		})
	})

	it("chooses other borrowers if a worker becomes unreachable during the reclaim", () => {
		const single = {members: 1, accelerators: 8}
		const zone = createGuaranteedZone({guarantees: {kerala: [single], posta: []}, racks: 2})
		startBorrowers(zone, {checkpoint: true, repeatable: true})
		const claim = zone.submit("claim", {workspace: "kerala", shape: single})
		const isHeld = () => zone.host.board.holds.has(claim)
		expect(zone.advanceUntil(isHeld, START_TIMEOUT_MS)).to.be.below(Infinity)
		const cutOff = zone.host.board.holds.get(claim)!.members[0]!.workerId
		zone.cluster.plan = new CutOffFaultPlan(cutOff)
		const isRunning = () => zone.listRunning(claim).some(id => id !== cutOff)
		expect(zone.advanceUntil(isRunning, 2 * RECLAIM_BOUND_MS)).to.be.below(Infinity)
	})

	it("serves every workspace that claims at the same time", () => {
		const single = {members: 1, accelerators: 4}
		const names = ["one", "two", "three", "four"]
		const guarantees = Object.fromEntries(names.map(name => [name, [{...single, count: 2}]]))
		const zone = createGuaranteedZone({guarantees: {...guarantees, posta: []}, racks: 2})
		startBorrowers(zone, {checkpoint: true, repeatable: true})
		const claims = names.flatMap(workspace =>
			[1, 2].map(nth => zone.submit(`${workspace}-${nth}`, {workspace, shape: single}))
		)
		const areRunning = () => claims.every(id => zone.listRunning(id).length === 1)
		expect(zone.advanceUntil(areRunning, RECLAIM_BOUND_MS)).to.be.at.most(RECLAIM_BOUND_MS)
	})

	it("stops no more borrowers than the guarantee covers", () => {
		const single = {members: 1, accelerators: 8}
		const zone = createGuaranteedZone({guarantees: {kerala: [single], posta: []}})
		const borrowers = startBorrowers(zone, {checkpoint: true, repeatable: true})
		for (const nth of [1, 2, 3]) zone.submit(`claim-${nth}`, {workspace: "kerala", shape: single})
		zone.clock.advance(3 * RECLAIM_BOUND_MS)
		expect(borrowers.filter(id => zone.listRunning(id).length === 1)).to.have.length(1)
	})
})

describe("work that can't be stopped", () => {
	it("waits with a reason rather than occupy another workspace's guarantee", () => {
		const single = {members: 1, accelerators: 8}
		const zone = createGuaranteedZone({guarantees: {kerala: [single], posta: []}})
		const jobs = [1, 2].map(nth =>
			zone.submit(`hard-${nth}`, {workspace: "posta", shape: {accelerators: 8}})
		)
		zone.clock.advance(START_TIMEOUT_MS)
		expect(jobs.map(id => zone.listRunning(id).length).sort()).to.deep.equal([0, 1])
		const waiting = jobs.find(id => zone.listRunning(id).length === 0)!
		expect(zone.host.board.waiting.get(waiting)?.reason).to.equal(ReasonCode.guaranteeAtRisk)
		const claim = zone.submit("claim", {workspace: "kerala", shape: {accelerators: 8}})
		const isRunning = () => zone.listRunning(claim).length === 1
		expect(zone.advanceUntil(isRunning, URGENT_BOUND_MS)).to.be.at.most(URGENT_BOUND_MS)
	})

	it("is placed only on capacity beyond the guarantees", () => {
		const zone = createGuaranteedZone({
			guarantees: {kerala: [{members: 1, accelerators: 4, count: 3}], posta: []}
		})
		const job = zone.submit("hard", {workspace: "posta", shape: {accelerators: 4}})
		const isRunning = () => zone.listRunning(job).length === 1
		expect(zone.advanceUntil(isRunning, START_TIMEOUT_MS)).to.be.below(Infinity)
		const next = zone.submit("next", {workspace: "posta", shape: {accelerators: 1}})
		zone.clock.advance(START_TIMEOUT_MS)
		expect(zone.host.board.waiting.get(next)?.reason).to.equal(ReasonCode.guaranteeAtRisk)
	})
})

describe("urgent work", () => {
	it("starts within a second by preempting batch work, which is requeued", () => {
		const zone = createGuaranteedZone({guarantees: {kerala: [], posta: []}})
		const jobs = [...zone.cluster.workers.keys()].map(id =>
			zone.submit(`batch-${id}`, {
				workspace: "posta",
				shape: {accelerators: 8},
				priority: PriorityClass.batch,
				checkpoint: true
			})
		)
		const areRunning = () => jobs.every(id => zone.listRunning(id).length === 1)
		expect(zone.advanceUntil(areRunning, START_TIMEOUT_MS)).to.be.below(Infinity)
		const urgent = zone.submit("urgent", {
			workspace: "kerala",
			shape: {accelerators: 2},
			priority: PriorityClass.urgent
		})
		const isRunning = () => zone.listRunning(urgent).length === 1
		expect(zone.advanceUntil(isRunning, URGENT_BOUND_MS)).to.be.at.most(URGENT_BOUND_MS)
		const preempted = jobs.filter(id => zone.listRunning(id).length === 0)
		expect(preempted).to.have.length(1)
		const {record} = zone.host.board.jobs.get(preempted[0]!)!
		expect(record).to.include({state: JobState.queued, attempts: 0})
	})

	it("does not preempt work of its own class", () => {
		const zone = createGuaranteedZone({guarantees: {kerala: [], posta: []}})
		const spec = {shape: {accelerators: 8}, priority: PriorityClass.urgent, checkpoint: true}
		const jobs = [1, 2, 3].map(nth => zone.submit(`urgent-${nth}`, {workspace: "posta", ...spec}))
		zone.clock.advance(3 * START_TIMEOUT_MS)
		expect(jobs.map(id => zone.listRunning(id).length)).to.deep.equal([1, 1, 0])
	})
})
