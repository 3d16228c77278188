import {expect} from "chai"
import fc from "fast-check"
import {
	Board,
	CommandKind,
	type HostSettings,
	ManualClock,
	RequestKind,
	START_PERMIT_MS,
	computePermitUntil,
	jobSpecSchema
} from "../src/internal.js"
import {StandInRefusal} from "../standins/serve.js"
import {WorkerCore} from "../standins/worker/core.js"
import {createBundleContent} from "./fixtures/cluster.js"
import {CLERK, createRig, isPlatformCommand} from "./fixtures/in-process.js"

const TAKE_OUT_AT_MS = 3000
const OBSERVE_MS = 12000
const RUNS = 60

interface Trial {
	readonly seed: number
	readonly cutPlatformAt: number
	readonly cutPeersAt: number
	readonly freezeAt: number
	readonly freezeMs: number
	readonly maxDelayMs: number
}

const delayedKinds: readonly string[] = [
	CommandKind.workerRenew,
	CommandKind.workerReserve,
	CommandKind.workerStart,
	CommandKind.endpointStatus,
	CommandKind.endpointCall,
	CommandKind.peerExchange
]

/** Computes a reproducible delay for each command; messages arrive out of order. */
function computeDelay(seed: number, sequence: number, maxDelayMs: number): number {
	const mixed = Math.imul(seed ^ Math.imul(sequence, 0x9e3779b1), 0x85ebca6b) >>> 0
	return mixed % 5 === 0 ? 1 + ((mixed >>> 8) % maxDelayMs) : 1
}

/** Takes zone-a out under the trial's faults; `latestMs` is the time from then to the last start in the zone. */
function runTrial(trial: Trial): {starts: number; latestMs: number} {
	const {clock, plan, cluster, rollOut, ask, findHolder} = createRig({zones: ["zone-a", "zone-b"]})
	const from = clock.now()
	let sequence = 0
	plan.isCut = (hostId, command) => {
		if (!hostId.startsWith("zone-a")) return false
		const at = clock.now() - from
		if (isPlatformCommand(command)) return at >= trial.cutPlatformAt
		return command.kind === CommandKind.peerExchange && at >= trial.cutPeersAt
	}
	plan.getDelayMs = (_, {kind}) =>
		delayedKinds.includes(kind) ? computeDelay(trial.seed, sequence++, trial.maxDelayMs) : 1
	const holder = findHolder("zone-a")!
	const frozen = cluster.hosts.get(holder.settings.hostId)!
	clock.schedule(trial.freezeAt, () => {
		frozen.loop.stop()
	})
	clock.schedule(trial.freezeAt + trial.freezeMs, () => {
		frozen.loop.start()
	})
	clock.schedule(TAKE_OUT_AT_MS, () => {
		rollOut(["zone-a"])
	})
	for (let at = 0; at < TAKE_OUT_AT_MS + OBSERVE_MS; at += 100) {
		for (const kind of ["task", "call"] as const) submitTo(ask, holder.settings.hostId, kind, at)
		clock.advance(100)
	}
	const runs = [
		...cluster.workers.get("zone-a-worker")!.runs,
		...cluster.endpoints.get("zone-a-endpoint")!.runs
	]
	const latest = Math.max(...runs.map(({startedWallMs}) => startedWallMs))
	return {starts: runs.length, latestMs: latest - from - TAKE_OUT_AT_MS}
}

function submitTo(
	ask: ReturnType<typeof createRig>["ask"],
	hostId: string,
	kind: "task" | "call",
	at: number
): void {
	const payload = JSON.stringify({runMs: 50})
	const spec = jobSpecSchema.parse({kind, service: "parcel-sort", payload})
	ask(hostId, {kind: RequestKind.submit, identity: CLERK, key: `${kind}-${at}`, spec})
}

/** Creates a board with one bundle, in which zone-a is in service. */
function createBoard(settings: HostSettings, evidenceAt: number): Board {
	const content = createBundleContent()
	const bundle = {generation: 1, content, keyId: "main", signature: "", note: ""}
	const board = new Board(settings)
	board.bundle.set("current", {bundle, evidenceAt})
	return board
}

describe("permits to start work", () => {
	it("end in the other side's clock no later than the evidence allows, whatever the delays", () => {
		const {settings} = createRig().findHolder("zone-a")!
		const time = fc.integer({min: 0, max: 100000})
		const property = fc.property(
			fc.record({
				offset: fc.integer({min: -1e6, max: 1e6}),
				evidenceAt: time,
				readAt: time,
				delay: time
			}),
			({offset, evidenceAt, readAt, delay}) => {
				const board = createBoard(settings, evidenceAt)
				const reading = {remoteClockMs: readAt + offset, remoteClockReadAt: readAt + delay}
				const until = computePermitUntil(board, reading)
				expect(until).to.be.at.most(Math.max(0, evidenceAt + offset + START_PERMIT_MS))
			}
		)
		fc.assert(property, {seed: 11, numRuns: 1000})
	})

	it("are no longer if the wall clock is set forward between the reading of the other clock and the evidence", () => {
		const {settings} = createRig().findHolder("zone-a")!
		const [readAt, evidenceAt, stepMs] = [1000, 1100, 2000]
		const board = createBoard(settings, evidenceAt + stepMs)
		board.clockJumps.set("total", stepMs)
		const until = computePermitUntil(board, {remoteClockMs: 5000, remoteClockReadAt: readAt})
		expect(until).to.be.at.most(5000 + evidenceAt - readAt + START_PERMIT_MS)
	})

	it("let nothing start in a zone once a permit's duration has passed since it was taken out", function () {
		this.timeout(180000)
		let starts = 0
		const at = fc.integer({min: 0, max: TAKE_OUT_AT_MS + 3000})
		const trialArbitrary = fc.record({
			seed: fc.integer({min: 1, max: 1e9}),
			cutPlatformAt: at,
			cutPeersAt: at,
			freezeAt: at,
			freezeMs: fc.integer({min: 0, max: 8000}),
			maxDelayMs: fc.integer({min: 1, max: 6000})
		})
		const property = fc.property(trialArbitrary, trial => {
			const outcome = runTrial(trial)
			starts += outcome.starts
			expect(outcome.latestMs).to.be.lessThan(START_PERMIT_MS)
		})
		fc.assert(property, {seed: 7, numRuns: RUNS})
		expect(starts, "starts over all trials").to.be.greaterThan(RUNS)
	})

	it("are extended by a peer's evidence alone, and end with it", () => {
		const {clock, plan, cluster, rollOut, findHolder} = createRig({zones: ["zone-a", "zone-b"]})
		const holder = findHolder("zone-a")!
		plan.isCut = (hostId, command) => hostId.startsWith("zone-a") && isPlatformCommand(command)
		clock.advance(5 * START_PERMIT_MS)
		const worker = cluster.workers.get("zone-a-worker")!
		const isPermitted = () =>
			clock.now() - holder.bundle.get("current")!.evidenceAt < START_PERMIT_MS
		expect(isPermitted()).to.equal(true)
		rollOut(["zone-a"])
		clock.advance(START_PERMIT_MS)
		expect(holder.bundle.get("current")!.bundle.generation).to.equal(2)
		expect(worker.readStatus().generation).to.equal(2)
	})

	it("prevent a start that was delayed for too long, even if the holder keeps renewing", () => {
		const {clock, plan, cluster, rollOut, submit, findHolder} = createRig()
		const holder = findHolder("zone-a")!
		const takeOutAt = clock.now() + 500
		plan.getDelayMs = (_, {kind}) => (kind === CommandKind.workerStart ? 5000 : 1)
		submit(holder.settings.hostId, "k", {payload: JSON.stringify({runMs: 50})})
		clock.advance(takeOutAt - clock.now())
		expect(holder.gangs.values().next().value?.stage, "the start command is in flight").to.equal(
			"starting"
		)
		plan.isCut = (_, command) =>
			isPlatformCommand(command) || command.kind === CommandKind.workerStop
		rollOut(["zone-a"])
		clock.advance(20000)
		expect(cluster.workers.get("zone-a-worker")!.runs).to.deep.equal([])
	})

	it("date a peer's evidence to before its answer was sent", () => {
		const {clock, plan, rollOut, findHolder} = createRig({zones: ["zone-a", "zone-b"]})
		const holder = findHolder("zone-a")!
		plan.getDelayMs = (_, {kind}) => (kind === CommandKind.peerExchange ? 900 : 1)
		plan.isCut = (hostId, command) => hostId.startsWith("zone-a") && isPlatformCommand(command)
		clock.advance(7300)
		const takeOutAt = clock.now()
		rollOut(["zone-a"])
		for (let at = 0; at < 4000; at += 10) {
			clock.advance(10)
			const {bundle, evidenceAt} = holder.bundle.get("current")!
			if (bundle.generation === 1) expect(evidenceAt).to.be.at.most(takeOutAt)
		}
	})

	it("are not restored by a renewal that arrives out of order", () => {
		const clock = new ManualClock()
		const capacity = {accelerators: 8, cpus: 8, memoryMb: 8000}
		const worker = new WorkerCore({workerId: "w", incarnation: "i", capacity}, clock)
		const renewal = {holder: "h", epoch: 1, generation: 1, leaseMs: 10000, permitUntilMs: 5000}
		worker.renew({...renewal, generation: 2, permitUntilMs: 0})
		expect(() => worker.renew(renewal)).to.throw(StandInRefusal)
		const shape = {members: 1, accelerators: 1, adjacency: "any" as const, cpus: 1, memoryMb: 1}
		const base = {taskId: "t", incarnation: "i", jobId: "j", epoch: 1, generation: 2}
		worker.reserve({...base, accelerators: [0], shape, ttlMs: 1000})
		const work = {service: "s", payload: "", declaredRunMs: 1, checkpointable: false, resumeFrom: 0}
		expect(() => worker.start({...base, ...work})).to.throw(StandInRefusal)
	})
})
