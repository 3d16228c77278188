/**
 * Operators' reports: after a restart or a pause, a process used a worker that had left, a key that had been withdrawn,
 * or a permission that had run out meanwhile.
 */
import {expect} from "chai"
import {ReplyKind, WorkflowAction} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {
	BATCH,
	CALLER_KEY,
	createCatalogRecord,
	createJob,
	createServingDomain
} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"
const ID_B = "00000000000000bb"
const PAUSE_MS = 6000

/** Withdraws the callers' key, and removes one worker from the list, which still answers. */
function removeAccess({fleet}: Awaited<ReturnType<typeof createServingDomain>>): void {
	fleet.store.putRow("op", "config", createCatalogRecord(2, {keys: ["a-new-key"]}))
	fleet.store.deleteRow("servers", "w1")
}

describe("a host of a domain that was away", () => {
	it("uses neither a key withdrawn nor a worker unlisted while it was down", async () => {
		const domain = await createServingDomain()
		const {first, fleet, addHost, advanceUntil, advance, ask} = domain
		first.stop()
		removeAccess(domain)
		const restarted = addHost({}, first.id)
		await advanceUntil(() => restarted.board.terms.has("loaded"))
		const spec = decodeWorkflow(createJob({count: 16, workMs: 500}))
		const submit = (key: string) =>
			ask(restarted, {action: WorkflowAction.submit, path: `${BATCH}${ID_A}`, key, spec})
		const refused = await submit(CALLER_KEY)
		expect(refused.kind === ReplyKind.refused && refused.refusal.reason).to.equal("unauthenticated")
		expect((await submit("a-new-key")).kind).to.equal(ReplyKind.workflow)
		await advance(3000)
		expect(new Set(fleet.monitor.starts.map(({worker}) => worker))).to.deep.equal(new Set(["w2"]))
	})

	it("accepts no key on evidence from before a pause", async () => {
		const domain = await createServingDomain({hosts: 2})
		const {first, advance, hosts, submit, readState} = domain
		const [, second] = hosts
		await submit(first, `${BATCH}${ID_A}`, createJob())
		second!.clock.pause()
		removeAccess(domain)
		await advance(PAUSE_MS)
		second!.clock.resume()
		expect(await readState(second!, `${BATCH}${ID_A}`)).to.equal("platform-unavailable")
	})

	it("commands no worker after a pause until its term is confirmed again", async () => {
		const {first, fleet, plan, advance, submit, clock} = await createServingDomain()
		const full = createJob({count: 2, gpu: 8, workMs: 1000})
		await submit(first, `${BATCH}${ID_A}`, full)
		await submit(first, `${BATCH}${ID_B}`, full)
		await advance(300)
		expect(fleet.monitor.starts).to.have.length(2)
		first.clock.pause()
		await advance(PAUSE_MS)
		const commands: number[] = []
		const renewals: number[] = []
		for (const worker of fleet.workers.values()) {
			const start = worker.start.bind(worker)
			worker.start = request => {
				commands.push(clock.now())
				return start(request)
			}
		}
		const transact = fleet.store.transact.bind(fleet.store)
		fleet.store.transact = transaction => {
			if (transaction.put.some(({table}) => table === "zone")) renewals.push(clock.now())
			return transact(transaction)
		}
		plan.isRefused = (_, call) => JSON.stringify(call.body ?? "").includes("fleet/lease")
		first.clock.resume()
		await advance(1500)
		expect(commands).to.deep.equal([])
		plan.isRefused = () => false
		await advance(2000)
		expect(commands).to.have.length(2)
		expect(renewals[0]).to.be.below(commands[0]!)
		expect(fleet.monitor.violations).to.deep.equal([])
	})
})
