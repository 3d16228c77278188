/**
 * Operators' report: another writer left one odd entry, and the processes that read it ended again and again or stopped
 * following the list. Each entry here is one that some decoder accepted, or that could have ended a process.
 */
import {expect} from "chai"
import {SystemClock} from "../src/internal.js"
import {decodeCatalog, decodeRegistrations, decodeWorkflow} from "../platform/records.js"
import {BATCH, createCatalogRecord, createJob, createServingDomain} from "./fixtures/domain.js"

const ID_A = "00000000000000aa"
const ID_B = "00000000000000bb"
const NESTING = 100000

function createRegistration(changes: Record<string, unknown> = {}): Record<string, unknown> {
	return {
		service: "trace",
		address: "10.0.0.1:7000",
		zone: "zone-a",
		state: "ready",
		capacity: {cpu: 32000, mem_mb: 131072, gpu: 8},
		labels: ["kind-a", "rack-1"],
		clock_ms: 5,
		born: 1,
		...changes
	}
}

function createRow(key: string, text: string) {
	return {table: "servers", key, schema_version: 1, value: Buffer.from(text).toString("base64")}
}

function buildNested(depth: number): string {
	return "[".repeat(depth) + "]".repeat(depth)
}

const ODD_REGISTRATIONS: Readonly<Record<string, Record<string, unknown>>> = {
	"a port out of range": {address: "10.0.0.1:99999"},
	"port 0": {address: "10.0.0.1:0"},
	"no port": {address: "10.0.0.1"},
	"a path in its address": {address: "10.0.0.1:7000/x"},
	"an address with a user": {address: "a@10.0.0.1:7000"},
	"a huge number of accelerators": {capacity: {cpu: 1, mem_mb: 1, gpu: 1e300}},
	"a negative number of accelerators": {capacity: {cpu: 1, mem_mb: 1, gpu: -8}},
	"a part of an accelerator": {capacity: {cpu: 1, mem_mb: 1, gpu: 0.5}},
	"a huge number of cores": {capacity: {cpu: 1e300, mem_mb: 1, gpu: 1}},
	"negative memory": {capacity: {cpu: 1, mem_mb: -1, gpu: 1}},
	"a huge clock": {clock_ms: 1e300},
	"a negative clock": {clock_ms: -1},
	"a huge remaining time": {remaining_ms: 1e300},
	"a negative remaining time": {remaining_ms: -5},
	"a start that is no whole number": {born: 1.5},
	"an unknown state": {state: "resting"},
	"an empty zone": {zone: ""},
	"labels of another type": {labels: {a: 1}},
	"a thousand labels": {labels: Array.from({length: 1000}, () => "x")}
}

const ODD_TEXTS: Readonly<Record<string, string>> = {
	"deep nesting": buildNested(NESTING),
	"deep nesting in a field": `{"labels":${buildNested(NESTING)}}`,
	"a number beyond all": JSON.stringify(createRegistration()).replace('"born":1', '"born":1e999'),
	"plain text": "ready",
	nothing: "",
	null: "null",
	"a list": "[1,2]"
}

describe("odd entries of another writer", () => {
	for (const [name, changes] of Object.entries(ODD_REGISTRATIONS))
		it(`takes no worker from an entry with ${name}, and keeps the others`, () => {
			const {workers, malformed} = decodeRegistrations([
				createRow("odd", JSON.stringify(createRegistration(changes))),
				createRow("good", JSON.stringify(createRegistration()))
			])
			expect(workers.map(({id}) => id)).to.deep.equal(["good"])
			expect(malformed).to.have.length(1)
			expect(malformed[0]).to.include("registration odd")
		})

	for (const [name, text] of Object.entries(ODD_TEXTS))
		it(`takes neither a worker nor a configuration from ${name}`, () => {
			const {workers, malformed} = decodeRegistrations([
				createRow("odd", text),
				createRow("good", JSON.stringify(createRegistration()))
			])
			expect(workers.map(({id}) => id)).to.deep.equal(["good"])
			expect(malformed).to.have.length(1)
			const catalog = decodeCatalog([createRow("config", text)])
			expect(catalog).to.include({catalog: undefined})
			expect(catalog.malformed).to.have.length(1)
		})

	it("refuses a configuration with numbers out of range", () => {
		const [route] = createCatalogRecord(2).routes
		const tenant = {name: "office", api_keys: [], guaranteed: {gpu: -1}}
		for (const changes of [
			{version: 1e300},
			{routes: [{...route, stretch: 1e300}]},
			{routes: [{...route, priority: -1}]},
			{routes: [{...route, target_latency_ms: -1}]},
			{tenants: [tenant]}
		]) {
			const record = {...createCatalogRecord(2), ...changes}
			const {catalog, malformed} = decodeCatalog([createRow("config", JSON.stringify(record))])
			expect(catalog).to.equal(undefined)
			expect(malformed).to.have.length(1)
		}
	})

	it("refuses jobs with numbers that no worker or clock can have", () => {
		const [step] = createJob().steps
		for (const changes of [
			{steps: [{...step, cpu: 1e300}]},
			{steps: [{...step, gpu: 1e9}]},
			{steps: [{...step, estimate_ms: 1e300}]},
			{first_run_ms: 1e300, repeat_count: 1},
			{interval_ms: 1e300, repeat_count: 2},
			{
				steps: [
					{...step, count: 2000},
					{...step, count: 2000}
				]
			}
		])
			expect(decodeWorkflow({...createJob(), ...changes}).isErr()).to.equal(true)
	})

	it("goes on with the list of workers while an odd entry is in it, and logs the entry once", async () => {
		const {first, fleet, advance, submit, readState} = await createServingDomain()
		fleet.store.putRow("servers", "odd-port", createRegistration({address: "w1:99999"}))
		fleet.store.putRow("servers", "odd-size", createRegistration({capacity: {gpu: 1e300}}))
		fleet.addWorker("w3")
		await advance(5000)
		expect([...first.board.nodes.keys()].sort()).to.deep.equal(["w1", "w2", "w3"])
		await submit(first, `${BATCH}${ID_A}`, createJob({count: 24, gpu: 1, workMs: 500}))
		await advance(2000)
		expect(await readState(first, `${BATCH}${ID_A}`)).to.equal("completed")
		const logged = [...first.board.events.values()].filter(({name}) => name === "worker-malformed")
		expect(logged).to.have.length(2)
	})

	const OWN_ROWS: readonly {readonly table: string; readonly key: string}[] = [
		{table: "workflow", key: ID_B},
		{table: "workflow", key: `${ID_A}.state`},
		{table: "progress", key: `${ID_A}.0`},
		{table: "progress", key: `${ID_A}.x`},
		{table: "zone", key: "fleet/lease"},
		{table: "zone", key: "fleet/holder"}
	]
	for (const {table, key} of OWN_ROWS)
		for (const text of [
			"{",
			buildNested(NESTING),
			'{"epoch":1e999}',
			"[[1]]",
			'{"state":"resting"}'
		])
			it(`schedules other work though another writer left ${text.slice(0, 20)} in ${table}/${key}`, async () => {
				const domain = await createServingDomain({hosts: 2})
				const {first, fleet, submit, advance, advanceUntil, hosts, readState} = domain
				await submit(first, `${BATCH}${ID_A}`, createJob({workMs: 2000}))
				await advance(500)
				const value = Buffer.from(text).toString("base64")
				const put = [{table, part: "main", key, value}]
				fleet.store.transact({precondition: [], put, delete: []})
				await advance(500)
				first.stop()
				first.board.authority.delete("fleet")
				const [, second] = hosts
				await advanceUntil(() => second!.board.terms.has("loaded"))
				const other = `${BATCH}00000000000000cc`
				await submit(second!, other, createJob())
				await advance(4000)
				expect(await readState(second!, other)).to.equal("completed")
				expect(await readState(second!, `${BATCH}${ID_B}`)).to.equal("unknown-workflow")
				expect(fleet.monitor.violations).to.deep.equal([])
			})

	it("fires no timer early that is due in more than 24 days", async () => {
		let isFired = false
		const cancel = new SystemClock().schedule(1e12, () => (isFired = true))
		await new Promise(resolve => setTimeout(resolve, 20))
		cancel()
		expect(isFired).to.equal(false)
	})
})
