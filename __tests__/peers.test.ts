import {expect} from "chai"
import fc from "fast-check"
import {CommandKind, HOLDER_LEASE_MS, MalformedError, type PeerStatus} from "../src/internal.js"
import {PeerSeal} from "../src/adapters/peer-seal.js"
import {
	decodePeerStatus,
	decodeNotices,
	encodePeerStatus,
	encodeNotices
} from "../src/adapters/peer-messages.js"
import {createCluster, waitFor, createBundleContent} from "./fixtures/cluster.js"
import {createRig, isPlatformCommand} from "./fixtures/in-process.js"

function createPeerStatus(fields: Partial<PeerStatus> = {}): PeerStatus {
	return {
		hostId: "host-1",
		zone: "zone-a",
		bundle: undefined,
		generation: 3,
		evidenceAgeMs: 12.5,
		holding: true,
		queued: 4,
		freeAccelerators: 8,
		stopping: false,
		...fields
	}
}

describe("peer messages", () => {
	it("are unchanged by encoding and decoding", () => {
		const status = createPeerStatus({bundle: "{}"})
		expect(decodePeerStatus(encodePeerStatus(status, true))._unsafeUnwrap()).to.deep.equal({
			...status,
			wantsBundle: true
		})
		const notice = {
			kind: "ended" as const,
			jobId: "0123456789abcdef0123456789abcdef",
			zone: "zone-b",
			hostId: "host-1"
		}
		expect(decodeNotices(encodeNotices("host-1", [notice]))._unsafeUnwrap()).to.deep.equal([notice])
	})

	it("are refused as malformed if a value is invalid", () => {
		const wrong = [{hostId: ""}, {zone: "No Zone"}, {evidenceAgeMs: -1}, {evidenceAgeMs: NaN}]
		for (const fields of wrong)
			expect(
				decodePeerStatus(encodePeerStatus(createPeerStatus(fields), false))._unsafeUnwrapErr()
			).to.be.instanceOf(MalformedError)
	})

	it("never crash the reader, whatever the bytes", () => {
		const property = fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			for (const result of [decodePeerStatus(bytes), decodeNotices(bytes)])
				if (result.isErr()) expect(result.error).to.be.instanceOf(MalformedError)
		})
		fc.assert(property, {seed: 5, numRuns: 2000})
	})
})

describe("the seal between hosts", () => {
	const payload = new Uint8Array([1, 2, 3])

	it("is opened by any known secret and by no other", () => {
		const sealed = new PeerSeal(["an-old-secret-of-ours"]).sealRequest("Exchange", payload)
		const rotating = new PeerSeal(["a-new-secret-of-ours", "an-old-secret-of-ours"])
		expect(rotating.openRequest("Exchange", sealed).isOk()).to.equal(true)
		expect(new PeerSeal(["a-new-secret-of-ours"]).openRequest("Exchange", sealed).isErr()).to.equal(
			true
		)
		expect(rotating.openRequest("NotifyJobs", sealed).isErr(), "another method").to.equal(true)
		const changed = {...sealed, payload: new Uint8Array([1, 2, 4])}
		expect(rotating.openRequest("Exchange", changed).isErr(), "changed bytes").to.equal(true)
	})

	it("refuses a replayed answer to a later request", () => {
		const seal = new PeerSeal(["a-secret-between-hosts"])
		const first = seal.sealRequest("Exchange", payload)
		const answer = seal.sealAnswer("Exchange", first.nonce, payload)
		expect(seal.openAnswer("Exchange", first, answer).isOk()).to.equal(true)
		const later = seal.sealRequest("Exchange", payload)
		expect(seal.openAnswer("Exchange", later, answer).isErr()).to.equal(true)
		const renamed = {...answer, nonce: later.nonce}
		expect(seal.openAnswer("Exchange", later, renamed).isErr()).to.equal(true)
	})
})

describe("status exchange between hosts", () => {
	it("lets a zone that lost the platform go on starting work on a peer's evidence", () => {
		const {clock, plan, cluster, submit, findHolder} = createRig({zones: ["zone-a", "zone-b"]})
		const holder = findHolder("zone-a")!
		plan.isCut = (hostId, command) => hostId.startsWith("zone-a") && isPlatformCommand(command)
		clock.advance(10000)
		const age = clock.now() - holder.bundle.get("current")!.evidenceAt
		expect(age).to.be.lessThan(HOLDER_LEASE_MS)
		plan.isCut = () => false
		const job = submit("zone-a-1", "after-heal")
		clock.advance(5000)
		expect(cluster.workers.get("zone-a-worker")!.runs.map(({jobId}) => jobId)).to.include(job.id)
	})

	it("brings a higher generation to hosts that can't read the platform, each asking one peer", () => {
		const {clock, plan, cluster, rollOut} = createRig({
			zones: ["zone-a", "zone-b"],
			hostsPerZone: 3
		})
		let fetched = 0
		plan.isCut = (hostId, command) => {
			if (command.kind === CommandKind.peerExchange && command.request.wantsBundle) fetched++
			return hostId !== "zone-b-1" && isPlatformCommand(command)
		}
		clock.advance(500)
		rollOut(["zone-a"])
		clock.advance(4000)
		for (const {board} of cluster.hosts.values())
			expect(board.bundle.get("current")?.bundle.generation, board.settings.hostId).to.equal(2)
		expect(fetched).to.equal(cluster.hosts.size - 1)
	})

	it("takes no evidence from an incoming query", () => {
		const {clock, plan, findHolder, cluster} = createRig({zones: ["zone-a", "zone-b"]})
		const holder = findHolder("zone-a")!
		// All commands of zone-a fail; queries from zone-b to zone-a still arrive.
		plan.isCut = hostId => hostId.startsWith("zone-a")
		const lostAt = clock.now()
		clock.advance(10000)
		expect(holder.peers.get("zone-b-1")!.observedAt).to.be.greaterThan(lostAt + 5000)
		expect(holder.bundle.get("current")!.evidenceAt).to.be.at.most(lostAt)
		expect(cluster.hosts.size).to.equal(4)
	})

	it("works between daemons over connect-es", async () => {
		const cluster = await createCluster({zones: ["zone-a"], daemonsPerZone: 2})
		try {
			await cluster.rollOut(createBundleContent())
			const isAdopted = (name: string) =>
				cluster.daemons.get(name)!.lines.some(line => line.includes("bundle-adopted"))
			await waitFor("both adopt", () => [...cluster.daemons.keys()].every(name => isAdopted(name)))
			await waitFor("each receives the other's generation", async () => {
				const received = await Promise.all(
					[...cluster.daemons.values()].map(async host => {
						const {body} = await cluster.readBundle(host)
						return body.adopted.filter(({generation}) => generation === 1).length
					})
				)
				return received.every(count => count === 2)
			})
		} finally {
			await cluster.stopAll()
		}
	})
})
