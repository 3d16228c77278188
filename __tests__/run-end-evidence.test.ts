/** Calls and answers that come late or out of order must not prove the end of a run that is still on its worker. */
import {expect} from "chai"
import {type FleetCall, STORE_TARGET} from "../standins/fleet/fleet.js"
import {BATCH, type DomainHost, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000037"
const OTHER_IDS = ["00000000000000aa", "00000000000000bb"]
const START = "/v1/run-start"
const STOP = "/v1/run-stop"
const HOLD = "/v1/hold"
const LATENCY_MS = 2
const LONG_MS = 30000
/** Longer than any lease counts. */
const PLAYED_MS = 25000
/** Time from the sending of a late call to its arrival. */
const LATE_MS = 3000

type Domain = Awaited<ReturnType<typeof createServingDomain>>

/** Restarts a worker under its id, as a machine does that loses power and gets it back. */
function restartWorker({fleet}: Domain, id: string): void {
	fleet.workers.get(id)!.restart()
	fleet.register(id)
}

/** Delays the first start on its way, loses the second, and returns the calls once they were sent. */
function delayFirstStart({plan}: Domain, lateMs = LATE_MS): readonly FleetCall[] {
	const starts: FleetCall[] = []
	plan.computeDelay = (_, call) => {
		if (call.path === START) starts.push(call)
		return call === starts[0] ? lateMs : LATENCY_MS
	}
	plan.isLost = (_, call) => call.path === START && starts.length === 1
	return starts
}

/** Advances until the next renewal is sent to the worker, and returns that call. */
async function awaitRenewal({plan, advanceUntil}: Domain, worker: string, lateMs = LATENCY_MS) {
	let renewal: FleetCall | undefined
	plan.computeDelay = (_, call) => {
		if (call.target === worker && call.path === HOLD) renewal ??= call
		return call === renewal ? lateMs : LATENCY_MS
	}
	await advanceUntil(() => renewal !== undefined)
	return renewal
}

describe("a run on a worker that restarted under its id", () => {
	for (const restartMs of [100, 900, 1800])
		it(`is not started elsewhere while a late start still holds it there (restarted ${restartMs} ms after the start)`, async () => {
			const domain = await createServingDomain()
			const {first, fleet, plan, submit, advance, advanceUntil} = domain
			const starts = delayFirstStart(domain)
			await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
			await advanceUntil(() => starts.length === 1)
			const {target} = starts[0]!
			plan.isLost = (_, call) => call.target === target
			await advance(restartMs)
			restartWorker(domain, target)
			await advance(PLAYED_MS)
			expect(fleet.monitor.violations).to.deep.equal([])
		})

	it("is not started elsewhere while a late renewal still holds it there", async () => {
		const domain = await createServingDomain({workers: 1})
		const {first, fleet, plan, submit, advance, advanceUntil} = domain
		await awaitRenewal(domain, "w1", 5000)
		await advance(100)
		restartWorker(domain, "w1")
		await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		plan.isLost = (_, call) => call.target === "w1"
		fleet.addWorker("w2")
		await advance(PLAYED_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("is not started again if a late renewal acknowledges its end", async () => {
		const domain = await createServingDomain({workers: 1})
		const {first, fleet, plan, submit, advance, advanceUntil, readState} = domain
		for (const id of OTHER_IDS) await submit(first, `${BATCH}${id}`, createJob({workMs: 100}))
		await advance(3000)
		expect(first.board.acknowledgements.get("w1")?.position).to.equal(2)
		await awaitRenewal(domain, "w1", LATE_MS)
		await advance(100)
		restartWorker(domain, "w1")
		await submit(first, `${BATCH}${ID}`, createJob({workMs: 1500}))
		await advanceUntil(() => fleet.monitor.starts.length === 3)
		plan.isAnswerLost = (_, {path}) => path === HOLD
		await advance(4000)
		plan.isAnswerLost = () => false
		await advance(PLAYED_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
		expect(await readState(first, `${BATCH}${ID}`)).to.equal("completed")
	})

	it("is not started elsewhere because its earlier process answered a stop late", async () => {
		const domain = await createServingDomain()
		const {first, fleet, plan, submit, advance, advanceUntil} = domain
		fleet.store.deleteRow("servers", "w2")
		await advance(1000)
		plan.isAnswerLost = (_, {path}) => path === HOLD
		await awaitRenewal(domain, "w1")
		plan.isAnswerLost = () => false
		await advance(720)
		const starts = delayFirstStart(domain, 4000)
		await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
		await advanceUntil(() => starts.length === 1)
		let isStopped = false
		plan.computeAnswerDelay = (_, {path}) => {
			if (path !== STOP || isStopped) return undefined
			isStopped = true
			return 650
		}
		plan.isLost = (_, {path}) => path === START
		await advanceUntil(() => isStopped)
		fleet.workers.get("w1")!.restart()
		fleet.register("w2")
		plan.isLost = () => false
		await advance(PLAYED_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("is not started elsewhere because of an end in its earlier process", async () => {
		const domain = await createServingDomain()
		const {first, fleet, plan, submit, advance, advanceUntil} = domain
		plan.isAnswerLost = (_, {path}) => path === START
		plan.computeAnswerDelay = (_, {path}) => (path === HOLD ? 900 : undefined)
		for (const worker of fleet.workers.values()) worker.failsStarts = true
		await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		const [{worker} = {worker: ""}] = fleet.monitor.starts
		await advance(200)
		for (const each of fleet.workers.values()) each.failsStarts = false
		fleet.workers.get(worker)!.restart()
		plan.isAnswerLost = () => false
		await advance(PLAYED_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})

	it("is not held by a late start after a stop that its earlier process acknowledged", async () => {
		const domain = await createServingDomain()
		const {first, fleet, submit, advance, advanceUntil} = domain
		const starts = delayFirstStart(domain, 5000)
		await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
		await advanceUntil(() => starts.length === 2)
		const {target} = starts[0]!
		fleet.register(target, "draining")
		await advanceUntil(() => fleet.monitor.starts.length === 1)
		fleet.workers.get(target)!.restart()
		await advance(PLAYED_MS)
		expect(fleet.monitor.violations).to.deep.equal([])
	})
})

/** Ends the holder's process; another one of the same host begins at once if it is to. */
function killHolder({findHolder, addHost}: Domain, isRestarted: boolean): void {
	const holder = findHolder()
	if (holder === undefined) return
	holder.stop()
	holder.board.authority.delete("fleet")
	if (isRestarted) addHost({}, holder.id)
}

function findHolderOtherThan({findHolder}: Domain, earlier: DomainHost): DomainHost | undefined {
	const holder = findHolder()
	return holder === earlier ? undefined : holder
}

/** Plays a run on a worker of slow clock through two changes of the holder, the second soon after the first. */
async function playTerms(
	secondMs: number,
	isRestarted: boolean,
	breakWorker: (domain: Domain, worker: string) => void
) {
	const domain = await createServingDomain({
		hosts: isRestarted ? 1 : 3,
		workers: 3,
		clockRate: 0.98
	})
	const {first, fleet, submit, advance, advanceUntil, findHolder} = domain
	await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
	await advanceUntil(() => fleet.monitor.starts.length === 1)
	await advance(1000)
	breakWorker(domain, fleet.monitor.starts[0]!.worker)
	killHolder(domain, isRestarted)
	await advanceUntil(() => findHolderOtherThan(domain, first) !== undefined)
	await advance(secondMs)
	killHolder(domain, isRestarted)
	await advanceUntil(() => findHolder() !== undefined)
	expect(findHolder()?.board.authority.get("fleet")?.epoch).to.be.at.least(3)
	await advance(PLAYED_MS)
	return fleet.monitor
}

describe("a run on a worker that lives on through two terms", () => {
	for (const isRestarted of [false, true])
		for (const secondMs of [0, 500]) {
			const title = `${secondMs} ms, ${isRestarted ? "one host that restarts" : "three hosts"}`
			it(`ends with its lease before it starts elsewhere if the worker is cut off (${title})`, async () => {
				const monitor = await playTerms(secondMs, isRestarted, ({plan}, worker) => {
					plan.isLost = (_, {target}) => target === worker
				})
				expect(monitor.violations).to.deep.equal([])
				expect(monitor.starts).to.have.length(2)
			})

			it(`ends with its lease before it starts elsewhere if the worker is cut off and unlisted (${title})`, async () => {
				const monitor = await playTerms(secondMs, isRestarted, ({plan, fleet}, worker) => {
					fleet.store.deleteRow("servers", worker)
					plan.isLost = (_, {target}) => target === worker
				})
				expect(monitor.violations).to.deep.equal([])
				expect(monitor.starts).to.have.length(2)
			})

			it(`is not started elsewhere if the worker's port refuses connections (${title})`, async () => {
				const monitor = await playTerms(secondMs, isRestarted, ({plan, clock}, worker) => {
					plan.isClosed = (_, {target}) => target === worker
					clock.schedule(6000, () => {
						plan.isClosed = () => false
					})
				})
				expect(monitor.violations).to.deep.equal([])
				expect(monitor.starts).to.have.length(1)
			})

			it(`is not started elsewhere if the worker's entry is stale and has the address of another (${title})`, async () => {
				const monitor = await playTerms(secondMs, isRestarted, ({fleet, clock}, worker) => {
					const stale = {...fleet.describeWorker(worker), born: 1, address: "w3:7000"}
					fleet.store.putRow("servers", worker, stale)
					clock.schedule(6000, () => {
						fleet.register(worker)
					})
				})
				expect(monitor.violations).to.deep.equal([])
				expect(monitor.starts).to.have.length(1)
			})
		}
})

describe("a run whose reports overtake each other", () => {
	for (const lateMs of [300, 900])
		it(`is not started elsewhere (answers up to ${lateMs} ms late)`, async () => {
			const {first, fleet, plan, clock, submit, advance} = await createServingDomain({workers: 3})
			let answers = 0
			plan.computeAnswerDelay = (_, {target}) =>
				target === STORE_TARGET ? undefined : (lateMs * (++answers % 4)) / 3
			for (let index = 0; index < 10; index++) {
				const id = `000000000000000${index}`
				await submit(first, `${BATCH}${id}`, createJob({count: 2, workMs: 700 + index * 100}))
				for (let step = 0; step < 10; step++) {
					for (const worker of fleet.workers.keys())
						first.board.reportRequests.set(worker, clock.now())
					await advance(50)
				}
			}
			await advance(PLAYED_MS)
			expect(fleet.monitor.violations).to.deep.equal([])
			expect(fleet.monitor.done.size).to.equal(20)
		})
})
