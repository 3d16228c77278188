/** The records of where workers have answered, for the next holder. */
import {expect} from "chai"
import {NODE_PREFIX} from "../src/internal.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000037"
const NODE_TABLE = NODE_PREFIX.slice(0, -1)

async function createDomainWithRecords() {
	const domain = await createServingDomain({hosts: 2, workers: 2})
	const listRecords = () =>
		domain.fleet.store.readRange(NODE_TABLE, "main", "", undefined, 100).rows.map(({key}) => key)
	await domain.advance(2000)
	return {...domain, listRecords}
}

describe("the records of workers", () => {
	it("hold the workers that have answered", async () => {
		const {listRecords} = await createDomainWithRecords()
		expect(listRecords()).to.deep.equal(["w1", "w2"])
	})

	it("are removed once the worker and the leases of earlier holders are gone", async () => {
		const {fleet, plan, advance, listRecords} = await createDomainWithRecords()
		plan.isLost = (_, {target}) => target === "w1"
		fleet.store.deleteRow("servers", "w1")
		await advance(15000)
		expect(listRecords()).to.deep.equal(["w2"])
	})

	it("let a new holder go on with runs on a worker that is not listed", async () => {
		const {first, hosts, fleet, submit, readState, advance, advanceUntil} =
			await createDomainWithRecords()
		await submit(first, `${BATCH}${ID}`, createJob({workMs: 14000}))
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		await advance(500)
		const [{worker} = {worker: ""}] = fleet.monitor.starts
		fleet.store.deleteRow("servers", worker)
		first.stop()
		first.board.authority.delete("fleet")
		await advance(20000)
		expect(fleet.monitor.starts.length).to.equal(1)
		const second = hosts.find(host => host !== first)!
		expect(await readState(second, `${BATCH}${ID}`)).to.equal("completed")
	})

	for (const [subject, change] of [
		["that is malformed", () => ({address: 7})],
		[
			"of an earlier incarnation at an address that is another worker's now",
			(record: object, other: string) => ({
				...record,
				incarnation: "1",
				address: `http://${other}:7000`
			})
		]
	] as const)
		it(`prove nothing by a row ${subject}`, async () => {
			const {first, fleet, submit, advance, advanceUntil} = await createDomainWithRecords()
			await submit(first, `${BATCH}${ID}`, createJob({workMs: 30000}))
			await advanceUntil(() => fleet.monitor.starts.length === 1)
			await advance(500)
			const [{worker} = {worker: ""}] = fleet.monitor.starts
			const other = worker === "w1" ? "w2" : "w1"
			const {rows} = fleet.store.readRange(NODE_TABLE, "main", worker, undefined, 1)
			const record = JSON.parse(Buffer.from(rows[0]?.value ?? "", "base64").toString()) as object
			const value = Buffer.from(JSON.stringify(change(record, other))).toString("base64")
			const put = [{table: NODE_TABLE, part: "main", key: worker, value}]
			fleet.store.transact({precondition: [], put, delete: []})
			fleet.store.deleteRow("servers", worker)
			first.stop()
			first.board.authority.delete("fleet")
			await advance(6000)
			expect(fleet.monitor.starts.length).to.equal(1)
			expect(fleet.monitor.violations).to.deep.equal([])
		})
})
