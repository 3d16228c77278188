import {expect} from "chai"
import {
	type Command,
	type Reply,
	type Transition,
	CommandKind,
	JobKind,
	ManualClock,
	PLATFORM_TIMEOUT_MS,
	ReplyKind,
	RequestKind,
	TransitionKind,
	WRITE_WINDOW_MAX,
	WRITE_WINDOW_MIN,
	WriteWindow
} from "../src/internal.js"
import {DefaultFaultPlan} from "../standins/fault-plan.js"
import {InProcessCluster} from "../standins/in-process.js"
import {WORKSPACE, createBundleContent} from "./fixtures/cluster.js"
import {createRecord, createSpec} from "./fixtures/jobs.js"

const base = {id: "w", jobId: "job", owner: "test", giveUpAt: undefined}
const accept: Transition = {...base, kind: TransitionKind.accept, record: createRecord("job")}
const rehome: Transition = {...base, kind: TransitionKind.rehome, zone: "zone-b", waitedMs: 0}

function fillWindow(window: WriteWindow, transition: Transition): number {
	const before = window.inFlight
	while (window.isOpenFor(transition)) window.recordSent()
	return window.inFlight - before
}

/** Delays commits like a table that answers a fixed number a second, one after the other, however many wait. */
class LimitedTablePlan extends DefaultFaultPlan {
	readonly #clock: ManualClock
	readonly #intervalMs: number
	#freeAt = 0
	sent = 0
	waitingMax = 0

	constructor(clock: ManualClock, commitsPerSecond: number) {
		super(1)
		this.#clock = clock
		this.#intervalMs = 1000 / commitsPerSecond
	}

	override computeDelay(_hostId?: string, command?: Command): number {
		if (command?.kind !== CommandKind.tableCommit) return 1
		this.sent++
		const now = this.#clock.now()
		this.#freeAt = Math.max(this.#freeAt, now) + this.#intervalMs
		this.waitingMax = Math.max(this.waitingMax, (this.#freeAt - now) / this.#intervalMs)
		return this.#freeAt - now
	}
}

describe("the ledger's write window", () => {
	it("keeps capacity for ending work that is under way", () => {
		const window = new WriteWindow()
		expect(fillWindow(window, accept)).to.be.lessThan(WRITE_WINDOW_MAX)
		expect(fillWindow(window, rehome)).to.be.greaterThan(0)
		expect(window.inFlight).to.equal(WRITE_WINDOW_MAX)
	})

	it("halves once for commits lost together and widens with answers", () => {
		const window = new WriteWindow()
		fillWindow(window, rehome)
		while (window.inFlight > 0) window.recordLoss(0, 2000)
		expect(window.size).to.equal(WRITE_WINDOW_MAX / 2)
		for (let index = 0; index < 20; index++) {
			window.recordSent()
			window.recordLoss(3000 + index, 3000 + index)
		}
		expect(window.size).to.equal(WRITE_WINDOW_MIN)
		for (let index = 0; index < 10000; index++) {
			window.recordSent()
			window.recordAnswer()
		}
		expect(window.size).to.equal(WRITE_WINDOW_MAX)
	})

	it("does not flood a table that takes 300 writes a second, and runs exactly the accepted jobs", () => {
		const clock = new ManualClock()
		const plan = new LimitedTablePlan(clock, 300)
		const cluster = new InProcessCluster({clock, plan})
		cluster.installBundle(1, createBundleContent())
		for (let index = 0; index < 4; index++) cluster.addEndpoint(`endpoint-${index}`, "zone-a", 8)
		cluster.addHost("host-1", "zone-a")
		clock.advance(5000)
		const replies: Reply[] = []
		const identity = {workspace: WORKSPACE, caller: "clerk", operator: false}
		const spec = createSpec({kind: JobKind.call, payload: JSON.stringify({runMs: 10})})
		for (let index = 0; index < 900; index++)
			clock.schedule(index * 2, () => {
				const request = {kind: RequestKind.submit, identity, key: `key-${index}`, spec} as const
				cluster.ask("host-1", request, reply => replies.push(reply))
			})
		clock.advance(60000)
		expect(replies).to.have.lengthOf(900)
		const accepted = replies.filter(({kind}) => kind === ReplyKind.job)
		const runs = [...cluster.endpoints.values()].flatMap(endpoint => endpoint.runs)
		expect(new Set(runs.map(({jobId}) => jobId)).size).to.equal(runs.length)
		expect(runs).to.have.lengthOf(accepted.length)
		const longestMs = (plan.waitingMax * 1000) / 300
		expect(longestMs).to.be.lessThan(PLATFORM_TIMEOUT_MS)
	})
})
