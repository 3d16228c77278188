/** More work than the holder can keep: its workspace is refused at once, and the others go on. */
import {expect} from "chai"
import {
	type WorkflowEntry,
	DOMAIN_RECORD_BYTES_MAX,
	DOMAIN_TASKS_MAX,
	FULL_RETRY_AFTER_MS,
	ReplyKind,
	WORKFLOW_TASKS_MAX,
	WorkflowAction,
	WorkflowState,
	createWorkflowEntry,
	findClosedPairs
} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {BATCH, OTHER_KEY, URGENT, createJob, createServingDomain} from "./fixtures/domain.js"

const OTHER_ID = "00000000000000bb"

type Domain = Awaited<ReturnType<typeof createServingDomain>>

function formatId(index: number): string {
	return (0x1000 + index).toString(16).padStart(16, "0")
}

function createLargeJob() {
	return createJob({count: WORKFLOW_TASKS_MAX, gpu: 8, workMs: 600000})
}

/** Hands in large jobs until one is refused, and returns its index and the refusal. */
async function fillDomain({first, submit}: Domain) {
	for (let index = 0; index < 200; index++) {
		const reply = await submit(first, `${BATCH}${formatId(index)}`, createLargeJob())
		if (reply.kind === ReplyKind.refused) return {index, refusal: reply.refusal}
	}
	throw new Error("nothing was refused")
}

describe("a workspace that hands in to a queue without end", () => {
	// Regression test: 400 accepted jobs of 2,300 tasks ended all hosts for want of memory, again and again.
	it("is refused there as not run before the holder has too much, at every host, and nobody else is", async () => {
		const domain = await createServingDomain({hosts: 2})
		const {first, submit, ask, advance, fleet, hosts} = domain
		const {index, refusal} = await fillDomain(domain)
		expect(refusal).to.include({reason: "queue-full", ran: "no", askAgain: true})
		expect(refusal.retryAfterMs).to.equal(FULL_RETRY_AFTER_MS)
		expect(index * WORKFLOW_TASKS_MAX).to.be.within(DOMAIN_TASKS_MAX / 2, DOMAIN_TASKS_MAX)
		await advance(500)
		const again = await submit(hosts[1]!, `${BATCH}${formatId(index)}`, createLargeJob())
		expect(again.kind).to.equal(ReplyKind.refused)
		const request = {action: WorkflowAction.submit, path: `${BATCH}${OTHER_ID}`, key: OTHER_KEY}
		const other = await ask(hosts[1]!, {...request, spec: decodeWorkflow(createJob({gpu: 0}))})
		expect(other.kind).to.equal(ReplyKind.workflow)
		await advance(3000)
		expect(fleet.monitor.done.has(`${OTHER_ID}.0.0.0`)).to.equal(true)
		const urgent = await submit(hosts[1]!, `${URGENT}${OTHER_ID.replace("bb", "cc")}`, createJob())
		expect(urgent.kind).to.equal(ReplyKind.workflow)
		expect(fleet.monitor.starts.some(({task}) => task.startsWith(formatId(index)))).to.equal(false)
		expect(first.board.authority.get("fleet")?.isHeldHere).to.equal(true)
	}).timeout(120000)

	it("is told of a job that was accepted before, and may go on once some of its work has ended", async () => {
		const domain = await createServingDomain({hosts: 2})
		const {first, submit, ask, advance, hosts} = domain
		const {index} = await fillDomain(domain)
		const known = await submit(hosts[1]!, `${BATCH}${formatId(0)}`, createLargeJob())
		expect(known.kind).to.equal(ReplyKind.workflow)
		for (let ended = 0; ended < 20; ended++)
			await ask(first, {action: WorkflowAction.cancel, path: `${BATCH}${formatId(ended)}`})
		await advance(2000)
		const reply = await submit(hosts[1]!, `${BATCH}${formatId(index)}`, createLargeJob())
		expect(reply.kind).to.equal(ReplyKind.workflow)
	}).timeout(120000)

	it("stays closed under the next holder", async () => {
		const domain = await createServingDomain({hosts: 2})
		const {first, submit, advance, advanceUntil, hosts} = domain
		const {index} = await fillDomain(domain)
		await advance(500)
		first.stop()
		first.board.authority.delete("fleet")
		await advanceUntil(() => hosts[1]!.board.terms.has("loaded"))
		await advance(1000)
		const reply = await submit(hosts[1]!, `${BATCH}${formatId(index)}`, createLargeJob())
		expect(reply.kind).to.equal(ReplyKind.refused)
	}).timeout(120000)
})

/** Workflows of one workspace that have these numbers of tasks and bytes in all. */
function createLoad(workspace: string, tasks: number, bytes: number): WorkflowEntry[] {
	const entries: WorkflowEntry[] = []
	const count = Math.max(1, Math.ceil(tasks / WORKFLOW_TASKS_MAX))
	for (let index = 0; index < count; index++) {
		const spec = decodeWorkflow(createJob({count: Math.round(tasks / count)}))._unsafeUnwrap()
		const queue = {queue: "batch", service: "trace", priority: 2, maxAttempts: 2}
		const record = {...queue, id: formatId(index), workspace, acceptedAtWallMs: 0, spec}
		entries.push(createWorkflowEntry(record, 0, 0, bytes / count))
	}
	return entries
}

describe("the share of a workspace", () => {
	const NONE = new Set<string>()
	const find = (...loads: WorkflowEntry[][]) =>
		[...findClosedPairs(loads.flat(), NONE)].map(pair => (JSON.parse(pair) as string[])[0])

	it("is half of the whole if it is alone, and a third if another one takes as much", () => {
		const part = (share: number) => DOMAIN_TASKS_MAX * share
		expect(find(createLoad("a", part(0.48), 0))).to.deep.equal([])
		expect(find(createLoad("a", part(0.52), 0))).to.deep.equal(["a"])
		const both = find(createLoad("a", part(0.35), 0), createLoad("b", part(0.35), 0))
		expect(both).to.deep.equal(["a", "b"])
	})

	it("counts the size of records as well", () => {
		expect(find(createLoad("a", 10, DOMAIN_RECORD_BYTES_MAX * 0.6))).to.deep.equal(["a"])
	})

	it("leaves room to those that use little, however much others take", () => {
		const loads = ["a", "b", "c"].map(name => createLoad(name, DOMAIN_TASKS_MAX / 2, 0))
		expect(find(...loads, createLoad("small", 100, 1000))).to.deep.equal(["a", "b", "c"])
	})

	it("counts no tasks of work that has ended", () => {
		const entries = createLoad("a", DOMAIN_TASKS_MAX, 0)
		for (const entry of entries) entry.state = WorkflowState.cancelled
		expect(find(entries)).to.deep.equal([])
	})
})
