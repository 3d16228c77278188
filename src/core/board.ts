/**
 * The board holds all that one process knows, in typed sections. Controllers read and write it; adapters post
 * facts (requests, completions) and carry commands out of the outbox. docs/DESIGN.md lists each section's
 * writer and readers.
 */
import {
	type AuthorityEntry,
	type BundleEntry,
	type CallEntry,
	type CatalogEntry,
	type Command,
	type CommandKind,
	type Completion,
	type CountRequest,
	type EndAcknowledgement,
	type EndpointEntry,
	type FleetIndex,
	type GangEntry,
	type GuaranteeHome,
	type HoldEntry,
	type HostRecord,
	type HostRequest,
	type HostSettings,
	type JobEntry,
	type JobNotice,
	type JobRecord,
	type NewCommand,
	type NewTransition,
	type NodeEntry,
	type NodeHealth,
	type NodeReport,
	type NoticeKind,
	type PeerEntry,
	type PeerNews,
	type PeerRequest,
	type PlacementDecision,
	type Reply,
	type RunTimeEntry,
	RunSection,
	Section,
	type StopEntry,
	type TermEntry,
	type Transition,
	type Verdict,
	type WaitingEntry,
	type WatchEntry,
	type WorkerEntry,
	type WorkflowEntry
} from "../internal.js"

export const SectionName = {
	bundle: "bundle",
	hosts: "hosts",
	authority: "authority",
	workers: "workers",
	endpoints: "endpoints",
	peers: "peers",
	peerRequests: "peerRequests",
	peerReplies: "peerReplies",
	notices: "notices",
	announcements: "announcements",
	watches: "watches",
	jobs: "jobs",
	placements: "placements",
	waiting: "waiting",
	fleet: "fleet",
	homes: "homes",
	holds: "holds",
	gangs: "gangs",
	stops: "stops",
	runTimes: "runTimes",
	calls: "calls",
	transitions: "transitions",
	verdicts: "verdicts",
	ended: "ended",
	catalog: "catalog",
	nodes: "nodes",
	nodeReports: "nodeReports",
	acknowledgements: "acknowledgements",
	workflows: "workflows",
	terms: "terms",
	runs: "runs",
	health: "health",
	countRequests: "countRequests",
	requests: "requests",
	replies: "replies",
	outbox: "outbox",
	completions: "completions",
	events: "events",
	lifecycle: "lifecycle"
} as const
export type SectionName = (typeof SectionName)[keyof typeof SectionName]

export const Lifecycle = {serving: "serving", stopping: "stopping", drained: "drained"} as const
export type Lifecycle = (typeof Lifecycle)[keyof typeof Lifecycle]

export const EventLevel = {debug: "debug", info: "info", warn: "warn"} as const
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel]

/** Something worth a log line or a count; the log and metrics adapters drain them. */
export interface BoardEvent {
	readonly level: EventLevel
	/** Stable name, such as `job-accepted`. */
	readonly name: string
	/** Reason of a refusal or retry, counted by reason. */
	readonly reason?: string | undefined
	readonly fields: Readonly<Record<string, string | number | boolean | undefined>>
}

export class Board {
	#settings: HostSettings
	/** Keyed `current`. */
	readonly bundle = new Section<"current", BundleEntry>()
	readonly hosts = new Section<string, HostRecord>()
	/** By zone. */
	readonly authority = new Section<string, AuthorityEntry>()
	readonly workers = new Section<string, WorkerEntry>()
	readonly endpoints = new Section<string, EndpointEntry>()
	/** What each peer last told, by host id. */
	readonly peers = new Section<string, PeerEntry>()
	/** Peers' questions, and the reply to each under the same id. */
	readonly peerRequests = new Section<string, PeerRequest>()
	readonly peerReplies = new Section<string, PeerNews>()
	/** Notices from peers, until their reader takes them. */
	readonly notices = new Section<string, JobNotice>()
	/** Notices that peers are to hear. */
	readonly announcements = new Section<string, JobNotice>()
	/** By job id. */
	readonly watches = new Section<string, WatchEntry>()
	/** Jobs of the zone this host holds, and jobs of others that a request here asked for. */
	readonly jobs = new Section<string, JobEntry>()
	/** Where a queued job is to run, until the gang controller takes it up. */
	readonly placements = new Section<string, PlacementDecision>()
	/** Why each queued task that was considered has not been placed, by job id. */
	readonly waiting = new Section<string, WaitingEntry>()
	/** What is free on the zone's workers; keyed `current`. */
	readonly fleet = new Section<"current", FleetIndex>()
	/** Where each guaranteed shape could be claimed now, by unit id. */
	readonly homes = new Section<string, GuaranteeHome>()
	/** Room kept for a job while borrowers are stopped for it, by job id. */
	readonly holds = new Section<string, HoldEntry>()
	readonly gangs = new Section<string, GangEntry>()
	/** Jobs that are to be stopped, and why. */
	readonly stops = new Section<string, StopEntry>()
	/** Observed run times by workspace and service. */
	readonly runTimes = new Section<string, RunTimeEntry>()
	readonly calls = new Section<string, CallEntry>()
	/** Durable moves of jobs that controllers ask the ledger for. */
	readonly transitions = new Section<string, Transition>()
	/** What came of each transition, until its owner takes it. */
	readonly verdicts = new Section<string, Verdict>()
	/** Jobs that ended lately. */
	readonly ended = new Section<string, JobRecord>()
	/** What operators configure for the domain; keyed `current`. */
	readonly catalog = new Section<"current", CatalogEntry>()
	/** Workers of the domain that this host holds, by id. */
	readonly nodes = new Section<string, NodeEntry>()
	/** What each of them last listed, by its id; kept apart, since most reports change nothing but progress. */
	readonly nodeReports = new Section<string, NodeReport>()
	/** Ends of runs that are durable, by worker id. */
	readonly acknowledgements = new Section<string, EndAcknowledgement>()
	/** Workflows of the domain that this host holds. */
	readonly workflows = new Section<string, WorkflowEntry>()
	/** This host's term as holder of the domain once its workflows are loaded; keyed `loaded`. */
	readonly terms = new Section<"loaded", TermEntry>()
	/** Runs that may be on a worker, by task id. */
	readonly runs = new RunSection()
	/** What speaks against a worker, by its id. */
	readonly health = new Section<string, NodeHealth>()
	/** Callers who may ask how many workflows of a queue have not begun, by request id. */
	readonly countRequests = new Section<string, CountRequest>()
	readonly requests = new Section<string, HostRequest>()
	readonly replies = new Section<string, Reply>()
	readonly outbox = new Section<string, Command>()
	readonly completions = new Section<string, Completion>()
	readonly events = new Section<number, BoardEvent>()
	/** Keyed `state`. */
	readonly lifecycle = new Section<"state", Lifecycle>()
	#sequence = 0

	constructor(settings: HostSettings) {
		this.#settings = settings
	}

	get settings(): HostSettings {
		return this.#settings
	}

	/** Takes new settings over, unless they name another host or other addresses: those need a restart. */
	adoptSettings(settings: HostSettings): boolean {
		const identify = ({
			hostId,
			zone,
			region,
			callerAddress,
			peerAddress,
			platformUrl,
			domain
		}: HostSettings) =>
			JSON.stringify([hostId, zone, region, callerAddress, peerAddress, platformUrl, domain?.name])
		if (identify(settings) !== identify(this.#settings)) return false
		this.#settings = settings
		return true
	}

	/**
	 * Calls `onChange` with a section's name at every change of it, and with the one controller that the changed
	 * entry concerns where there is just one.
	 */
	bindAll(onChange: (section: SectionName, owner?: string) => void): void {
		for (const name of Object.values(SectionName)) {
			this[name].bind(() => {
				onChange(name)
			})
		}
		this.completions.bind(id => {
			onChange(SectionName.completions, this.completions.get(id)?.command.owner)
		})
		this.verdicts.bind(id => {
			onChange(SectionName.verdicts, this.verdicts.get(id)?.transition.owner)
		})
	}

	/** A number that no other call on this board returns. */
	nextSequence(): number {
		return ++this.#sequence
	}

	/** Puts a command into the outbox and returns its id. */
	issue<K extends CommandKind>(command: NewCommand<K>): string {
		const id = `${this.settings.hostId}-${this.nextSequence()}`
		this.outbox.set(id, {...command, id} as unknown as Command)
		return id
	}

	/** Takes every completion of commands issued by `owner`. */
	takeCompletions(owner: string): Completion[] {
		const taken: Completion[] = []
		for (const [id, completion] of this.completions.entries()) {
			if (completion.command.owner !== owner) continue
			taken.push(completion)
			this.completions.take(id)
		}
		return taken
	}

	/** Puts a notice about a job where the hosts that it concerns will hear of it. */
	announce(kind: NoticeKind, jobId: string, zone: string): void {
		const {hostId} = this.settings
		this.announcements.set(`${kind} ${jobId}`, {kind, jobId, zone, hostId})
	}

	/** Asks the ledger for a durable move of a job and returns the transition's id. */
	requestTransition(transition: NewTransition): string {
		const id = `${this.settings.hostId}-${this.nextSequence()}`
		this.transitions.set(id, {...transition, id})
		return id
	}

	/** Takes every verdict on transitions that `owner` asked for. */
	takeVerdicts(owner: string): Verdict[] {
		const taken: Verdict[] = []
		for (const [id, verdict] of this.verdicts.entries()) {
			if (verdict.transition.owner !== owner) continue
			taken.push(verdict)
			this.verdicts.take(id)
		}
		return taken
	}

	record(
		level: EventLevel,
		name: string,
		fields: BoardEvent["fields"] = {},
		reason?: string
	): void {
		this.events.set(this.nextSequence(), {level, name, fields, reason})
	}
}
