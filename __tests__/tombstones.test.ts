/** What a cancellation of an unknown workflow promises, and what it leaves in the table. */
import {expect} from "chai"
import {
	INTAKE_REPEATED_MAX_MS,
	LONG_POLL_WAIT_MS,
	TOMBSTONES_MAX,
	TOMBSTONE_KEPT_MS,
	WorkflowAction,
	WorkflowState
} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {
	type MixedDomain,
	NO_KEY,
	OPEN,
	replaceRoute,
	createMixedCatalog,
	createMixedDomain,
	formatAnswer,
	readRows,
	writeRow
} from "./fixtures/access.js"
import {
	type DomainHost,
	BATCH,
	CALLER_KEY,
	OTHER_KEY,
	URGENT,
	createJob
} from "./fixtures/domain.js"

const ID = "00000000000000a1"
const {get, cancel, submit} = WorkflowAction
const {queued, running} = WorkflowState

/** The client of review/13 leaves after this time, and the store is silent to its host for a little longer. */
const CLIENT_LEAVES_MS = 900
const STORE_SILENT_MS = 1100
/** Longer than any call that a test delays. */
const SETTLED_MS = 8000

function isCommit({path}: FleetCall): boolean {
	return path === "/v1/rows-tx"
}

function formatId(index: number): string {
	return (0x1000 + index).toString(16).padStart(16, "0")
}

function countTombstones({fleet}: MixedDomain): number {
	return readRows(fleet, "workflow").filter(({key}) => key.endsWith(".cancel")).length
}

async function createThreeHosts() {
	const domain = await createMixedDomain({hosts: 3})
	const holder = domain.findHolder()!
	const [near, far] = domain.hosts.filter(host => host !== holder) as [DomainHost, DomainHost]
	return {...domain, holder, near, far}
}

async function expectNeverAccepted(domain: MixedDomain): Promise<void> {
	const {hosts, call, advance, fleet} = domain
	await advance(SETTLED_MS)
	for (const host of hosts)
		expect(await call(host, get, `${BATCH}${ID}`)).to.equal("unknown-workflow")
	expect(fleet.monitor.starts).to.deep.equal([])
	expect(readRows(fleet, "pending")).to.deep.equal([])
}

describe("a cancellation that is answered with no such workflow", () => {
	// Regression test: a submission that its host still repeated was accepted after the cancellation and ran to its end.
	it("keeps out a submission that another host repeats while the table is silent to it", async () => {
		const domain = await createThreeHosts()
		const {near, far, plan, call, advance} = domain
		plan.isLost = (hostId, {target}) => hostId === near.id && target === STORE_TARGET
		const submitted = call(near, submit, `${BATCH}${ID}`)
		await advance(CLIENT_LEAVES_MS)
		expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
		await advance(STORE_SILENT_MS - CLIENT_LEAVES_MS)
		plan.isLost = () => false
		expect(await submitted).to.equal("cancelled")
		await expectNeverAccepted(domain)
	})

	it("keeps out a submission whose commit is carried out late", async () => {
		const domain = await createThreeHosts()
		const {near, far, plan, call, advance} = domain
		plan.computeDelay = (hostId, request) => (hostId === near.id && isCommit(request) ? 5000 : 2)
		const submitted = call(near, submit, `${BATCH}${ID}`)
		await advance(CLIENT_LEAVES_MS)
		expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
		expect(await submitted).to.equal("answer-lost")
		await expectNeverAccepted(domain)
	})

	it("keeps out a repetition that arrives later, at every host and under the next holder", async () => {
		const domain = await createThreeHosts()
		const {holder, near, far, hosts, call, advanceUntil} = domain
		expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
		for (const host of hosts)
			expect(await call(host, submit, `${BATCH}${ID}`)).to.equal("cancelled")
		holder.stop()
		holder.board.authority.delete("fleet")
		await advanceUntil(() => near.board.terms.has("loaded") || far.board.terms.has("loaded"))
		for (const host of [near, far])
			expect(await call(host, submit, `${BATCH}${ID}`)).to.equal("cancelled")
		await expectNeverAccepted({...domain, hosts: [near, far]})
	})

	it("keeps out a submission to another queue, and one through a queue that has become public since", async () => {
		const domain = await createThreeHosts()
		const {near, far, call, putConfig, plan, advance} = domain
		plan.isLost = (hostId, request) => hostId === near.id && isCommit(request)
		const submitted = call(near, submit, `${BATCH}${ID}`)
		await putConfig(replaceRoute(createMixedCatalog(), "batch", {public: true}))
		expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
		plan.isLost = () => false
		expect(await submitted).to.equal("cancelled")
		for (const path of [URGENT, BATCH])
			expect(await call(far, submit, `${path}${ID}`)).to.equal("cancelled")
		await advance(SETTLED_MS)
		expect(domain.fleet.monitor.starts).to.deep.equal([])
	})

	it("is answered as for a known workflow if its submission is stored before the promise", async () => {
		const {near, far, plan, call, advance, fleet} = await createThreeHosts()
		plan.computeDelay = (hostId, request) => (hostId === far.id && isCommit(request) ? 300 : 2)
		const cancelled = call(far, cancel, `${BATCH}${ID}`)
		await advance(50)
		expect(await call(near, submit, `${BATCH}${ID}`)).to.equal(queued)
		expect(await cancelled).to.equal(queued)
		await advance(SETTLED_MS)
		expect(await call(near, get, `${BATCH}${ID}`)).to.equal("cancelled")
		expect(fleet.monitor.done.size).to.equal(0)
	})

	it("is given once its promise is stored, though the answer of the table was lost", async () => {
		const domain = await createThreeHosts()
		const {far, plan, call} = domain
		let lost = 0
		plan.isAnswerLost = (hostId, request) => hostId === far.id && isCommit(request) && lost++ < 1
		expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
		expect(lost).to.be.above(1)
		expect(await call(far, submit, `${BATCH}${ID}`)).to.equal("cancelled")
	})

	it("isn't given while its promise can't be stored", async () => {
		const {far, plan, call} = await createThreeHosts()
		plan.isLost = (hostId, request) => hostId === far.id && isCommit(request)
		expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("answer-lost")
		plan.isLost = () => false
		plan.isRefused = (hostId, request) => hostId === far.id && isCommit(request)
		expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("platform-unavailable")
	})

	// Regression test: an older host asks for no tombstone, so what it repeated was accepted after the cancellation.
	for (const isTakenOver of [false, true])
		it(`stops what a host of an earlier version accepts afterwards, ${isTakenOver ? "by the next holder" : "at once"}`, async () => {
			const {holder, near, far, call, advance, advanceUntil, fleet} = await createThreeHosts()
			await call(far, submit, `${BATCH}${formatId(0)}`)
			const earlier = readRows(fleet, "workflow").find(({key}) => key === formatId(0))?.value ?? ""
			expect(await call(far, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
			if (isTakenOver) {
				holder.stop()
				holder.board.authority.delete("fleet")
			}
			writeRow(fleet, "workflow", ID, earlier.replaceAll(formatId(0), ID))
			await advanceUntil(
				() => near.board.terms.has("loaded") || far.board.terms.has("loaded"),
				isTakenOver ? 30_000 : 1
			)
			await advance(SETTLED_MS)
			expect(await call(far, get, `${BATCH}${ID}`)).to.equal("cancelled")
			expect(fleet.monitor.starts.filter(({task}) => task.startsWith(ID))).to.deep.equal([])
		})

	it("keeps nobody else from using the id", async () => {
		const {near, far, call, advance} = await createThreeHosts()
		expect(await call(far, cancel, `${OPEN}${ID}`, {key: NO_KEY})).to.equal("unknown-workflow")
		expect(await call(far, cancel, `${BATCH}${ID}`, {key: OTHER_KEY})).to.equal("unknown-workflow")
		expect(await call(near, submit, `${BATCH}${ID}`)).to.equal(queued)
		await advance(1000)
		expect(await call(far, get, `${BATCH}${ID}`)).to.equal(running)
		expect(await call(far, cancel, `${OPEN}${ID}`, {key: NO_KEY})).to.equal("unknown-workflow")
		expect(await call(far, cancel, `${BATCH}${ID}`, {key: OTHER_KEY})).to.equal("unknown-workflow")
		await advance(1000)
		expect(await call(far, get, `${BATCH}${ID}`)).to.equal(running)
	})
})

describe("the rows that such cancellations leave", () => {
	it("go away, whichever host holds the domain by then", async () => {
		const domain = await createThreeHosts()
		const {holder, near, far, call, advance, advanceUntil} = domain
		await call(far, cancel, `${BATCH}${ID}`)
		await advance(TOMBSTONE_KEPT_MS / 2)
		expect(await call(far, cancel, `${BATCH}${formatId(1)}`)).to.equal("unknown-workflow")
		holder.stop()
		holder.board.authority.delete("fleet")
		await advanceUntil(() => near.board.terms.has("loaded") || far.board.terms.has("loaded"))
		await advance(TOMBSTONE_KEPT_MS - 1000)
		expect(countTombstones(domain)).to.equal(4)
		await advance(3000)
		expect(countTombstones(domain)).to.equal(0)
		expect(await call(far, submit, `${BATCH}${ID}`)).to.equal(queued)
	}).timeout(60_000)

	it("are kept for their whole time after the last cancellation", async () => {
		const domain = await createThreeHosts()
		const {near, call, advance} = domain
		await call(near, cancel, `${BATCH}${ID}`)
		await advance(TOMBSTONE_KEPT_MS - 1000)
		expect(await call(near, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
		await advance(TOMBSTONE_KEPT_MS - 1000)
		expect(await call(near, submit, `${BATCH}${ID}`)).to.equal("cancelled")
	}).timeout(60_000)

	// Nothing else fails if the holder goes on to delete a row that has gone without its notice.
	it("hold up no other work if they go away while the holder can't see it", async () => {
		const domain = await createThreeHosts()
		const {holder, near, far, call, advance, fleet, plan} = domain
		await call(far, cancel, `${BATCH}${ID}`)
		await advance(1000)
		plan.isLost = (hostId, {path, query}) =>
			hostId === holder.id && path === "/v1/rows-feed" && query.get("table") === "workflow"
		await advance(LONG_POLL_WAIT_MS + 100)
		const rows = readRows(fleet, "workflow").map(({key}) => ({
			table: "workflow",
			part: "main",
			key
		}))
		fleet.store.transact({precondition: [], put: [], delete: rows})
		fleet.store.clearHistory()
		await advance(3000)
		plan.isLost = () => false
		await advance(TOMBSTONE_KEPT_MS)
		expect(await call(near, submit, `${BATCH}${formatId(1)}`)).to.equal(queued)
		await advance(2000)
		expect(await call(near, get, `${BATCH}${formatId(1)}`)).to.equal(running)
	}).timeout(60_000)

	it("are no more than a host's share, of which a stranger leaves half to others", async () => {
		const domain = await createThreeHosts()
		const {near, far, call, advance} = domain
		const cancelMany = async (host: DomainHost) => {
			for (let index = 0; index < TOMBSTONES_MAX; index++) {
				const path = `${OPEN}${formatId(index)}`
				const answer = await call(host, cancel, path, {key: NO_KEY})
				if (answer !== "unknown-workflow") return {index, answer}
			}
			return undefined
		}
		expect(await cancelMany(near)).to.deep.equal({index: TOMBSTONES_MAX / 2, answer: "queue-full"})
		expect(countTombstones(domain)).to.equal(TOMBSTONES_MAX / 2)
		expect(await call(near, cancel, `${OPEN}${ID}`, {key: NO_KEY})).to.equal("queue-full")
		expect(await call(near, cancel, `${BATCH}${ID}`)).to.equal("unknown-workflow")
		expect(await call(near, cancel, `${BATCH}${ID}`, {key: OTHER_KEY})).to.equal("unknown-workflow")
		expect(await call(near, submit, `${OPEN}${formatId(5000)}`, {key: NO_KEY})).to.equal(queued)
		expect(await call(near, cancel, `${OPEN}${formatId(5000)}`, {key: NO_KEY})).to.equal(queued)
		await advance(TOMBSTONE_KEPT_MS + 5000)
		expect(countTombstones(domain)).to.equal(1)
		expect(await call(near, cancel, `${OPEN}${ID}`, {key: NO_KEY})).to.equal("unknown-workflow")
		expect(await call(far, cancel, `${OPEN}${ID}`, {key: NO_KEY})).to.equal("unknown-workflow")
	}).timeout(120_000)

	it("aren't left by questions", async () => {
		const domain = await createThreeHosts()
		const {hosts, call, fleet} = domain
		const before = fleet.store.version
		for (const host of hosts)
			for (const key of [CALLER_KEY, NO_KEY])
				expect(await call(host, get, `${OPEN}${ID}`, {key})).to.equal("unknown-workflow")
		expect(countTombstones(domain)).to.equal(0)
		expect(fleet.store.version - before).to.be.below(5)
	})
})

describe("a submission whose caller waits for very long", () => {
	// Regression test: a host repeated it for as long as the caller allowed, beyond the end of the cancellation's tombstone.
	it("is given up before a tombstone could expire", async () => {
		const {near, plan, advance} = await createThreeHosts()
		plan.isLost = (hostId, request) => hostId === near.id && isCommit(request)
		const spec = decodeWorkflow(createJob())
		const request = {action: submit, path: `${BATCH}${ID}`, replyTimeoutMs: 3_600_000, spec}
		let answer = ""
		void near.ask(request).then(reply => (answer = formatAnswer(reply)))
		await advance(INTAKE_REPEATED_MAX_MS)
		expect(answer).to.equal("answer-lost")
	}).timeout(60_000)
})

describe("a cancellation whose commit is carried out late", () => {
	// Regression test: it left a row that cancelled the next workflow of the id under the next holder.
	it("leaves no row once the workflow is gone", async () => {
		const domain = await createMixedDomain({settings: {stateKeptMs: 1000}})
		const {hosts, first, plan, call, advance, fleet} = domain
		const [, other] = hosts as [DomainHost, DomainHost]
		await call(first, submit, `${BATCH}${ID}`)
		plan.computeDelay = (hostId, request) => (hostId === other.id && isCommit(request) ? 4000 : 2)
		const cancelled = call(other, cancel, `${BATCH}${ID}`)
		await advance(500)
		expect(await call(first, cancel, `${BATCH}${ID}`)).to.equal(queued)
		expect(await cancelled).to.equal("cancelled")
		await advance(6000)
		expect(readRows(fleet, "workflow")).to.deep.equal([])
	})
})
