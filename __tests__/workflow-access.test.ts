/** Who may read, cancel, repeat and count a workflow while queues, keys and workspaces come and go. */
import {expect} from "chai"
import {PENDING_COUNT_AGE_MS, WorkflowAction, WorkflowState} from "../src/internal.js"
import {decodeWorkflow} from "../platform/records.js"
import {
	type CatalogRecord,
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
import {BATCH, CALLER_KEY, OTHER_KEY, URGENT, createJob} from "./fixtures/domain.js"

const ID = "00000000000000b2"
const {get, cancel, submit, countPending} = WorkflowAction
const {queued, running} = WorkflowState

const INITIAL = createMixedCatalog()

/** Configurations under which the queue or the caller of an accepted workflow is not what it was. */
const CHANGES: Readonly<Record<string, CatalogRecord>> = {
	"its queue is left out": replaceRoute(INITIAL, "batch"),
	"its queue has another name": replaceRoute(INITIAL, "batch", {name: "sort"}),
	"its queue is public": replaceRoute(INITIAL, "batch", {public: true}),
	"a public queue has the name of its queue": replaceRoute(replaceRoute(INITIAL, "batch"), "open", {
		name: "batch"
	}),
	"its key is gone": {
		...INITIAL,
		tenants: INITIAL.tenants.map(tenant =>
			tenant.name === "office" ? {...tenant, api_keys: []} : tenant
		)
	},
	"its workspace is gone": {
		...INITIAL,
		tenants: INITIAL.tenants.filter(({name}) => name !== "office")
	}
}

/** Expects that every call of a stranger is answered like one for a workflow that doesn't exist, or refused. */
async function expectClosed({hosts, call, putConfig}: MixedDomain, config: CatalogRecord) {
	await putConfig(config)
	const publicPaths = config.routes
		.filter(route => route.public)
		.map(({path_prefix: prefix}) => prefix)
	for (const host of hosts)
		for (const key of [NO_KEY, OTHER_KEY])
			for (const path of key === NO_KEY ? publicPaths : [...publicPaths, URGENT]) {
				expect(await call(host, get, `${path}${ID}`, {key})).to.equal("unknown-workflow")
				expect(await call(host, cancel, `${path}${ID}`, {key})).to.equal("unknown-workflow")
				expect(await call(host, submit, `${path}${ID}`, {key})).to.equal("key-conflict")
			}
}

function formatId(index: number): string {
	return index.toString(16).padStart(16, "0")
}

function readRecord({fleet}: MixedDomain): Record<string, unknown> {
	const row = readRows(fleet, "workflow").find(({key}) => key === ID)
	return JSON.parse(row?.value ?? "") as Record<string, unknown>
}

describe("a workflow of a queue that needs a key", () => {
	// Regression test: once its queue was gone, anybody could read and cancel it through a public queue.
	for (const [name, config] of Object.entries(CHANGES))
		it(`is its workspace's alone while ${name}`, async () => {
			const domain = await createMixedDomain()
			const {first, call, putConfig} = domain
			expect(await call(first, submit, `${BATCH}${ID}`)).to.equal(queued)
			await expectClosed(domain, config)
			await putConfig(INITIAL)
			expect(await call(first, get, `${BATCH}${ID}`)).to.equal(running)
		}).timeout(10_000)

	// Regression test: a key that the configuration left empty admitted every caller without a key to its workspace.
	it("is closed to callers without a key, though its workspace has an empty one", async () => {
		const domain = await createMixedDomain()
		const {first, call} = domain
		await call(first, submit, `${BATCH}${ID}`)
		const tenants = INITIAL.tenants.map(tenant => ({
			...tenant,
			api_keys: [...(tenant.api_keys as readonly string[]), ""]
		}))
		await expectClosed(domain, {...INITIAL, tenants})
		expect(await call(first, get, `${BATCH}${ID}`, {key: NO_KEY})).to.equal("unauthenticated")
	})

	it("can be read, repeated and cancelled by its workspace through any queue, public ones too", async () => {
		const {first, call, putConfig} = await createMixedDomain()
		await call(first, submit, `${BATCH}${ID}`)
		await putConfig(CHANGES["its queue is left out"]!)
		for (const path of [URGENT, OPEN]) {
			expect(await call(first, get, `${path}${ID}`)).to.equal(running)
			expect(await call(first, submit, `${path}${ID}`)).to.equal(queued)
		}
		expect(await call(first, cancel, `${OPEN}${ID}`)).to.equal(queued)
	})

	// Guards against a key that was taken away: a public queue needs none, and had no reason to ask how old its evidence is.
	it("is closed to a key on evidence from before a pause, through a public queue too", async () => {
		const {first, hosts, call, advance, fleet} = await createMixedDomain()
		const second = hosts[1]!
		await call(first, submit, `${BATCH}${ID}`)
		await call(first, submit, `${OPEN}${formatId(1)}`, {key: NO_KEY})
		second.clock.pause()
		fleet.store.putRow("op", "config", {...CHANGES["its key is gone"], version: 9})
		await advance(8000)
		second.clock.resume()
		const answers = await Promise.all([
			second.ask({path: `${OPEN}${ID}`, key: CALLER_KEY}),
			second.ask({path: `${OPEN}${formatId(1)}`, key: NO_KEY}),
			advance(500)
		])
		const [withKey, withoutKey] = answers
		expect(formatAnswer(withKey)).to.equal("platform-unavailable")
		expect(formatAnswer(withoutKey)).to.equal(running)
	})

	it("is its workspace's alone if an earlier version has written its record", async () => {
		const domain = await createMixedDomain()
		const {first, fleet, call} = domain
		await call(first, submit, `${BATCH}${ID}`)
		const {isPublic, ...earlier} = readRecord(domain)
		expect(isPublic).to.equal(false)
		writeRow(domain.fleet, "workflow", ID, JSON.stringify(earlier))
		await expectClosed(domain, CHANGES["its queue is left out"]!)
		expect(await call(first, get, `${URGENT}${ID}`)).to.equal(running)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	// Regression test: a submission was answered as accepted since another row of its id was there, and was not stored.
	it("isn't taken for accepted without a record", async () => {
		const {first, fleet, call, advance} = await createMixedDomain()
		writeRow(fleet, "pending", ID, "batch")
		expect(await call(first, submit, `${BATCH}${ID}`)).to.equal(queued)
		await advance(1000)
		expect(await call(first, get, `${BATCH}${ID}`)).to.equal(running)
	})

	// Regression test: a record without an owner could be read and cancelled through a public queue.
	it("is nobody's if its record names no owner", async () => {
		const domain = await createMixedDomain()
		const {first, call} = domain
		await call(first, submit, `${BATCH}${ID}`)
		writeRow(domain.fleet, "workflow", ID, "{}")
		for (const path of [OPEN, BATCH]) {
			expect(await call(first, get, `${path}${ID}`)).to.equal("unknown-workflow")
			expect(await call(first, submit, `${path}${ID}`)).to.equal("key-conflict")
		}
	})
})

describe("a workflow of a public queue", () => {
	const later: Readonly<Record<string, readonly [CatalogRecord, string]>> = {
		"its queue is left out": [
			replaceRoute(replaceRoute(INITIAL, "open"), "batch", {public: true}),
			BATCH
		],
		"its queue has another name": [replaceRoute(INITIAL, "open", {name: "sort"}), OPEN],
		"the workspace of its caller is gone": [CHANGES["its workspace is gone"]!, OPEN]
	}
	for (const [name, [config, path]] of Object.entries(later))
		for (const key of [NO_KEY, CALLER_KEY])
			it(`stays reachable while ${name}, handed in ${key === NO_KEY ? "without" : "with"} a key`, async () => {
				const {first, call, putConfig, hosts} = await createMixedDomain()
				expect(await call(first, submit, `${OPEN}${ID}`, {key})).to.equal(queued)
				await putConfig(config)
				for (const host of hosts) {
					expect(await call(host, get, `${path}${ID}`, {key: NO_KEY})).to.equal(running)
					expect(await call(host, submit, `${path}${ID}`, {key: NO_KEY})).to.equal(queued)
				}
				expect(await call(first, cancel, `${path}${ID}`, {key: NO_KEY})).to.equal(queued)
			})

	// Regression test: a public workflow was unknown to every caller once its queue needed a key.
	it("stays reachable while its queue needs a key", async () => {
		const {first, call, putConfig} = await createMixedDomain()
		await call(first, submit, `${OPEN}${ID}`, {key: NO_KEY})
		await putConfig(replaceRoute(INITIAL, "open", {public: false}))
		expect(await call(first, get, `${OPEN}${ID}`)).to.equal(running)
		expect(await call(first, submit, `${OPEN}${ID}`)).to.equal(queued)
		expect(await call(first, cancel, `${OPEN}${ID}`)).to.equal(queued)
	})

	it("stays reachable if an earlier version has written its record", async () => {
		const domain = await createMixedDomain()
		const {first, call} = domain
		await call(first, submit, `${OPEN}${ID}`, {key: NO_KEY})
		const {isPublic, ...earlier} = readRecord(domain)
		expect(isPublic).to.equal(true)
		writeRow(domain.fleet, "workflow", ID, JSON.stringify(earlier))
		expect(await call(first, get, `${OPEN}${ID}`, {key: NO_KEY})).to.equal(running)
		expect(await call(first, cancel, `${OPEN}${ID}`, {key: NO_KEY})).to.equal(queued)
	})

	it("doesn't stand for a submission to a queue that needs a key", async () => {
		const {first, call} = await createMixedDomain()
		await call(first, submit, `${OPEN}${ID}`, {key: NO_KEY})
		expect(await call(first, submit, `${BATCH}${ID}`)).to.equal("key-conflict")
	})
})

describe("the number of a queue's workflows that have not begun", () => {
	/** Fills the workers, so that what is handed in later waits. */
	async function createFullDomain() {
		const domain = await createMixedDomain()
		const whole = decodeWorkflow(createJob({count: 2, gpu: 8, workMs: 60_000}))
		await domain.call(domain.first, submit, `${URGENT}${ID}`, {spec: whole})
		return domain
	}

	// Regression test: a queue counted the workflows of others to everybody once it, or another one of its name, was public.
	it("leaves out those of workspaces where no key is needed", async () => {
		const {call, putConfig, hosts, first, advance} = await createFullDomain()
		await call(first, submit, `${BATCH}${formatId(1)}`)
		await call(first, submit, `${OPEN}${formatId(2)}`, {key: NO_KEY})
		await call(first, submit, `${OPEN}${formatId(3)}`)
		for (const host of hosts) {
			expect(await call(host, countPending, BATCH)).to.equal("1 pending")
			expect(await call(host, countPending, OPEN, {key: NO_KEY})).to.equal("2 pending")
		}
		await putConfig(CHANGES["its queue is public"]!)
		await advance(PENDING_COUNT_AGE_MS)
		for (const host of hosts)
			expect(await call(host, countPending, BATCH, {key: NO_KEY})).to.equal("0 pending")
		await putConfig(replaceRoute(INITIAL, "open", {public: false}))
		await advance(PENDING_COUNT_AGE_MS)
		for (const host of hosts) {
			expect(await call(host, countPending, BATCH)).to.equal("1 pending")
			expect(await call(host, countPending, OPEN)).to.equal("2 pending")
		}
	})

	it("counts those that an earlier version has accepted for queues that need a key", async () => {
		const {call, first, fleet} = await createFullDomain()
		writeRow(fleet, "pending", formatId(1), "batch")
		expect(await call(first, countPending, BATCH)).to.equal("1 pending")
	})
})
