/**
 * Runs one load through the real controllers of an in-process cluster under a manual clock and records when each job
 * ended: the time at which its ended row is committed to the platform's table, where any caller can read it.
 */
import {
	type BundleContent,
	type Controller,
	type JobRecord,
	type Outcome,
	JobState,
	ManualClock,
	ReplyKind,
	RequestKind,
	bundleContentSchema,
	createControllers,
	decodeJobRecord
} from "../src/internal.js"
import {InProcessCluster} from "../standins/in-process.js"
import {type Arrival, type Load, EventKind} from "./loads.js"

const MS_PER_MINUTE = 60000
const SETTLE_MS = 5000

export interface JobTrace {
	readonly arrival: Arrival
	jobId: string | undefined
	refused: string | undefined
	endedAtMs: number | undefined
	outcome: Outcome | undefined
	attempts: number
}

export interface LoadRun {
	readonly traces: readonly JobTrace[]
	readonly commits: number
	/** Clock time of the first possible arrival. */
	readonly startMs: number
	readonly durationMs: number
}

export interface PolicyNames {
	readonly queue?: string
	readonly placement?: string
	readonly zoneChoice?: string
}

export interface RunOptions {
	readonly names: PolicyNames
	/** Names of controllers that the hosts run without. */
	readonly without?: readonly string[]
}

/** Drives one load from its first arrival to its end. */
export class LoadRunner {
	readonly #load: Load
	readonly #options: RunOptions
	readonly #clock = new ManualClock()
	readonly #cluster: InProcessCluster
	readonly #traces: JobTrace[]
	readonly #tracesByKey = new Map<string, JobTrace>()
	readonly #zonesOut = new Set<string>()
	#generation = 0

	constructor(load: Load, arrivals: readonly Arrival[], options: RunOptions) {
		this.#load = load
		this.#options = options
		this.#cluster = new InProcessCluster({clock: this.#clock})
		this.#traces = arrivals.map(arrival => ({
			arrival,
			jobId: undefined,
			refused: undefined,
			endedAtMs: undefined,
			outcome: undefined,
			attempts: 0
		}))
	}

	run(): LoadRun {
		this.#buildCluster()
		this.#observeCommits()
		this.#clock.advance(SETTLE_MS)
		const startMs = this.#clock.now()
		for (const trace of this.#traces)
			this.#clock.schedule(trace.arrival.atMs, () => {
				this.#submit(trace)
			})
		for (const event of this.#load.events)
			this.#clock.schedule(event.atMinute * MS_PER_MINUTE, () => {
				this.#applyEvent(event.kind, event.target)
			})
		this.#clock.advance(this.#load.minutes * MS_PER_MINUTE)
		return {
			traces: this.#traces,
			commits: this.#cluster.platform.commits,
			startMs,
			durationMs: this.#clock.now() - startMs
		}
	}

	#buildCluster(): void {
		this.#installBundle()
		for (const zone of this.#load.zones) {
			for (let index = 0; index < zone.workers; index++) {
				const rack = `${zone.name}-rack-${Math.floor(index / this.#load.workersPerRack)}`
				this.#cluster.addWorker(`${zone.name}-worker-${index}`, zone.name, rack, this.#load.worker)
			}
			for (let index = 0; index < zone.endpoints; index++)
				this.#cluster.addEndpoint(`${zone.name}-endpoint-${index}`, zone.name, zone.slots)
			this.#cluster.addHost(`${zone.name}-host`, zone.name, this.#createControllers())
		}
	}

	#createControllers(): readonly Controller[] {
		const without = this.#options.without ?? []
		return createControllers(this.#clock).filter(({name}) => !without.includes(name))
	}

	#installBundle(): void {
		this.#cluster.installBundle(++this.#generation, this.#buildBundle())
	}

	#buildBundle(): BundleContent {
		return bundleContentSchema.parse({
			workspaces: this.#load.workspaces,
			zones: this.#load.zones.map(({name, region}) => ({
				name,
				region,
				inService: !this.#zonesOut.has(name),
				moveRunning: this.#load.moveRunning
			})),
			policies: this.#options.names
		})
	}

	/** Wraps the platform's `commit` to record the jobs that each successful commit ends. */
	#observeCommits(): void {
		const {platform} = this.#cluster
		const commit = platform.commit.bind(platform)
		platform.commit = writes => {
			const answer = commit(writes)
			if (!answer.committed) return answer
			for (const {key, value} of writes)
				if (key.startsWith("job/") && typeof value === "string") this.#recordEnd(value)
			return answer
		}
	}

	#recordEnd(row: string): void {
		const record: JobRecord | undefined = decodeJobRecord(row)
		if (record?.state !== JobState.ended) return
		const trace = this.#tracesByKey.get(record.key)
		if (trace === undefined) return
		trace.endedAtMs = this.#clock.now()
		trace.outcome = record.outcome
		trace.attempts = record.attempts
	}

	#submit(trace: JobTrace): void {
		const {key, zone, stream, spec} = trace.arrival
		this.#tracesByKey.set(key, trace)
		const identity = {workspace: stream.workspace, caller: "clerk", operator: false}
		this.#cluster.ask(`${zone}-host`, {kind: RequestKind.submit, identity, key, spec}, reply => {
			if (reply.kind === ReplyKind.job) trace.jobId = reply.job.id
			if (reply.kind === ReplyKind.refused) trace.refused = reply.refusal.reason
		})
	}

	#applyEvent(kind: EventKind, target: string): void {
		const worker = this.#cluster.workers.get(target)
		switch (kind) {
			case EventKind.zoneOut:
				this.#zonesOut.add(target)
				this.#installBundle()
				return
			case EventKind.zoneIn:
				this.#zonesOut.delete(target)
				this.#installBundle()
				return
			case EventKind.workerFails:
				if (worker !== undefined) worker.switches.failAll = true
				return
			case EventKind.workerRecovers:
				if (worker !== undefined) worker.switches.failAll = false
		}
	}
}
