import {expect} from "chai"
import {CommandKind} from "../src/internal.js"
import {createRig} from "./fixtures/in-process.js"

describe("renewals and host lists that contain only what changed", () => {
	it("leave out tasks that the holder knows, and include them once one changed", () => {
		const {clock, cluster, submit, findHolder} = createRig()
		const holder = findHolder("zone-a")!
		const worker = cluster.workers.get("zone-a-worker")!
		submit(holder.settings.hostId, "k", {payload: JSON.stringify({runMs: 10000})})
		clock.advance(3000)
		const entry = holder.workers.get("zone-a-worker")!
		expect([...entry.tasks.values()].map(({state}) => state)).to.deep.equal(["running"])
		const renewal = {holder: "h", epoch: 1, generation: 1, leaseMs: 10000, permitUntilMs: 0}
		const known = worker.renew({...renewal, knownRevision: entry.revision})
		expect(known.tasks).to.equal(undefined)
		expect(known.capacity).to.equal(undefined)
		clock.advance(5000)
		const confirmed = holder.workers.get("zone-a-worker")!
		expect(confirmed.confirmedAt).to.be.greaterThan(entry.confirmedAt)
		expect({...confirmed, confirmedAt: 0, remoteClockMs: 0, remoteClockReadAt: 0}).to.deep.equal({
			...entry,
			confirmedAt: 0,
			remoteClockMs: 0,
			remoteClockReadAt: 0
		})
		clock.advance(5000)
		expect(worker.renew({...renewal, knownRevision: entry.revision}).tasks).not.to.equal(undefined)
		expect(holder.ended.size).to.equal(1)
	})

	it("include every task for a holder that has just taken over the zone", () => {
		const {clock, cluster, submit, findHolder} = createRig()
		const old = findHolder("zone-a")!.settings.hostId
		submit(old, "k", {payload: JSON.stringify({runMs: 60000})})
		clock.advance(3000)
		cluster.killHost(old)
		clock.advance(8000)
		const holder = findHolder("zone-a")!
		expect(holder.settings.hostId).not.to.equal(old)
		expect([...holder.workers.get("zone-a-worker")!.tasks.values()]).to.have.length(1)
	})

	it("include the host list only if its version changed", () => {
		const {clock, cluster, plan, findHolder} = createRig()
		const holder = findHolder("zone-a")!
		const versions: number[] = []
		plan.isCut = (_, command) => {
			if (command.kind === CommandKind.hostList) versions.push(command.request.knownVersion)
			return false
		}
		clock.advance(5000)
		expect(new Set(versions).size).to.equal(1)
		cluster.addEndpoint("another", "zone-a", 1)
		clock.advance(2500)
		expect(holder.hosts.has("another")).to.equal(true)
		cluster.platform.removeHost("another", clock.now())
		clock.advance(2500)
		expect(holder.hosts.has("another")).to.equal(false)
	})
})
