import {expect} from "chai"
import {
	CommandKind,
	HOLDER_LEASE_MS,
	Lifecycle,
	OutcomeKind,
	WORKER_LEASE_MS
} from "../src/internal.js"
import {createRig, isPlatformCommand, readJob} from "./fixtures/in-process.js"

const RECOVERY_TARGET_MS = 5000
const HAND_OVER_TARGET_MS = 1500

function createHeldZone() {
	const rig = createRig()
	const holder = rig.findHolder("zone-a")!
	const other = [...rig.cluster.hosts.values()].find(({board}) => board !== holder)!.board
	const runs = () => rig.cluster.workers.get("zone-a-worker")!.runs
	const advanceUntil = (isDone: () => boolean, limitMs: number) => {
		const from = rig.clock.now()
		while (!isDone() && rig.clock.now() - from < limitMs) rig.clock.advance(10)
		return rig.clock.now() - from
	}
	return {...rig, holder, other, runs, advanceUntil}
}

describe("the holder of a zone", () => {
	it("is succeeded by another host that starts work within the target after it was killed", () => {
		for (let offset = 0; offset < 1000; offset += 100) {
			const {clock, cluster, holder, other, submit, runs, advanceUntil} = createHeldZone()
			clock.advance(offset)
			cluster.killHost(holder.settings.hostId)
			submit(other.settings.hostId, "after-kill")
			const took = advanceUntil(() => runs().length === 1, 2 * RECOVERY_TARGET_MS)
			expect(took)
				.to.be.at.least(HOLDER_LEASE_MS - 1000)
				.and.at.most(RECOVERY_TARGET_MS)
			expect(runs()[0]!.epoch).to.equal(2)
		}
	})

	it("keeps using its workers while it can't reach the platform", () => {
		const {clock, plan, submit, wait, holder, other, runs} = createHeldZone()
		const payload = JSON.stringify({runMs: 2 * WORKER_LEASE_MS, answer: "whole"})
		const job = submit(holder.settings.hostId, "k", {payload})
		clock.advance(500)
		plan.isCut = (_, command) => isPlatformCommand(command)
		clock.advance(2 * WORKER_LEASE_MS + 1000)
		expect(runs().map(({end}) => end)).to.deep.equal(["completed"])
		plan.isCut = () => false
		const replies = wait(other.settings.hostId, job.id)
		clock.advance(10000)
		expect(readJob(replies[0])?.outcome).to.include({kind: OutcomeKind.completed})
		expect(runs()).to.have.length(1)
	})

	it("hands the zone over when it stops, even if the first commit is lost", () => {
		for (const isLossy of [false, true]) {
			const {plan, holder, other, advanceUntil} = createHeldZone()
			let losses = isLossy ? 1 : 0
			plan.isCut = (hostId, {kind, owner}) =>
				hostId === holder.settings.hostId &&
				owner === "authority" &&
				kind === CommandKind.tableCommit &&
				losses-- > 0
			holder.lifecycle.set("state", Lifecycle.drained)
			const isTaken = () => other.authority.get("zone-a")?.isHeldHere === true
			const allowance = isLossy ? 2500 : 0
			const took = advanceUntil(isTaken, 10000)
			expect(took).to.be.at.most(HAND_OVER_TARGET_MS + allowance)
			expect(holder.authority.get("zone-a")?.isHeldHere).to.equal(false)
			expect(other.authority.get("zone-a")?.epoch).to.equal(2)
		}
	})

	it("takes its zone again at once, under a higher epoch, when it is restarted", () => {
		const {cluster, holder, advanceUntil} = createHeldZone()
		const {hostId} = holder.settings
		cluster.killHost(hostId)
		const {board} = cluster.addHost(hostId, "zone-a")
		const took = advanceUntil(() => board.authority.get("zone-a")?.isHeldHere === true, 10000)
		expect(took).to.be.at.most(HAND_OVER_TARGET_MS)
		expect(board.authority.get("zone-a")?.epoch).to.equal(2)
	})

	it("does not spin while every take-over fails", () => {
		const {clock, plan, cluster, holder, other} = createHeldZone()
		cluster.killHost(holder.settings.hostId)
		let takeOvers = 0
		plan.isCut = (_, {kind, owner}) => {
			const isTakeOver = owner === "authority" && kind === CommandKind.tableCommit
			if (isTakeOver) takeOvers++
			return isTakeOver
		}
		clock.advance(20000)
		expect(other.authority.get("zone-a")?.isHeldHere).to.equal(false)
		expect(takeOvers).to.be.greaterThan(2).and.lessThan(20)
	})

	for (const freezeMs of [200, 2000, HOLDER_LEASE_MS + 3000, WORKER_LEASE_MS + 5000])
		it(`starts nothing twice after it was frozen for ${freezeMs} ms at any point of a start`, () => {
			for (let point = 0; point < 12; point++) {
				const {clock, cluster, holder, other, submit, runs} = createHeldZone()
				const frozen = cluster.hosts.get(holder.settings.hostId)!
				const payload = JSON.stringify({runMs: 60000})
				const jobs = ["a", "b"].map(key => submit(other.settings.hostId, key, {payload}))
				clock.advance(point)
				frozen.loop.stop()
				clock.advance(freezeMs)
				const before = runs().length
				frozen.loop.start()
				clock.advance(1)
				const stale = runs()
					.slice(before)
					.filter(({epoch}) => epoch === 1)
				if (freezeMs > HOLDER_LEASE_MS) expect(stale, "started on resuming").to.deep.equal([])
				clock.advance(30000)
				for (const {id} of jobs)
					expect(runs().filter(({jobId}) => jobId === id).length).to.be.at.most(1)
				const holders = [...cluster.hosts.values()].filter(
					({board}) => board.authority.get("zone-a")?.isHeldHere
				)
				expect(holders).to.have.length(1)
			}
		})
})
