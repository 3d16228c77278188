/**
 * The board holds the whole state of one process in typed sections. Controllers read and write it; adapters post
 * requests and completions and execute the commands in the outbox. docs/DESIGN.md lists each section's writer and
 * readers.
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
	type FinishedRun,
	type FleetIndex,
	type GangEntry,
	type GuaranteePlacement,
	type HoldEntry,
	type HostRecord,
	type HostRequest,
	type HostSettings,
	type IntakeLimits,
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
	type PeerStatus,
	type PeerRequest,
	type PlacementDecision,
	type Reply,
	type RunTimeEntry,
	RunSection,
	Section,
	type HeadroomEntry,
	type StandstillEntry,
	type StepTimes,
	type StopEntry,
	type TermEntry,
	type Transition,
	type TransitionResult,
	type WaitingEntry,
	type WatchEntry,
	type WorkerEntry,
	type WorkerRegistration,
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
	guaranteePlacements: "guaranteePlacements",
	holds: "holds",
	gangs: "gangs",
	stops: "stops",
	runTimes: "runTimes",
	calls: "calls",
	transitions: "transitions",
	transitionResults: "transitionResults",
	ended: "ended",
	catalog: "catalog",
	nodes: "nodes",
	nodeReports: "nodeReports",
	recordedNodes: "recordedNodes",
	reportRequests: "reportRequests",
	acknowledgements: "acknowledgements",
	workflows: "workflows",
	terms: "terms",
	runs: "runs",
	finishedRuns: "finishedRuns",
	stepTimes: "stepTimes",
	health: "health",
	standstills: "standstills",
	countRequests: "countRequests",
	intakeLimits: "intakeLimits",
	headroom: "headroom",
	requests: "requests",
	replies: "replies",
	outbox: "outbox",
	completions: "completions",
	events: "events",
	clockJumps: "clockJumps",
	lifecycle: "lifecycle"
} as const
export type SectionName = (typeof SectionName)[keyof typeof SectionName]

export const Lifecycle = {serving: "serving", stopping: "stopping", drained: "drained"} as const
export type Lifecycle = (typeof Lifecycle)[keyof typeof Lifecycle]

export const EventLevel = {debug: "debug", info: "info", warn: "warn"} as const
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel]

/** An event for the log and the metrics, whose adapter drains the section. */
export interface BoardEvent {
	readonly level: EventLevel
	/** Stable name, such as `job-accepted`. */
	readonly name: string
	/** Reason of a refusal or retry; a label of the event counter. */
	readonly reason?: string | undefined
	readonly fields: Readonly<Record<string, string | number | boolean | undefined>>
}

export class Board {
	#settings: HostSettings
	/** Keyed `current`. */
	readonly bundle = new Section<"current", BundleEntry>()
	readonly hosts = new Section<string, HostRecord>()
	/** Who holds each zone, by zone. */
	readonly authority = new Section<string, AuthorityEntry>()
	readonly workers = new Section<string, WorkerEntry>()
	readonly endpoints = new Section<string, EndpointEntry>()
	/** Last status received from each peer, by host id. */
	readonly peers = new Section<string, PeerEntry>()
	/** Queries from peers; the reply to each has the same id. */
	readonly peerRequests = new Section<string, PeerRequest>()
	readonly peerReplies = new Section<string, PeerStatus>()
	/** Notices received from peers, until their reader takes them. */
	readonly notices = new Section<string, JobNotice>()
	/** Notices to send to peers. */
	readonly announcements = new Section<string, JobNotice>()
	/** Hosts whose callers wait for a job, by job id. */
	readonly watches = new Section<string, WatchEntry>()
	/** Jobs of the zone that this host holds, and jobs of other zones that requests to this host refer to. */
	readonly jobs = new Section<string, JobEntry>()
	/** Placements of queued jobs, until the gang controller takes them. */
	readonly placements = new Section<string, PlacementDecision>()
	/** Why each queued task that placement has considered was not placed, by job id. */
	readonly waiting = new Section<string, WaitingEntry>()
	/** Free resources of the zone's workers; keyed `current`. */
	readonly fleet = new Section<"current", FleetIndex>()
	/** Where each guaranteed shape could be claimed now, by id of the guarantee unit. */
	readonly guaranteePlacements = new Section<string, GuaranteePlacement>()
	/** Capacity held for a job while borrowers are stopped for it, by job id. */
	readonly holds = new Section<string, HoldEntry>()
	readonly gangs = new Section<string, GangEntry>()
	/** Jobs to stop, with the reason. */
	readonly stops = new Section<string, StopEntry>()
	/** Observed run times by workspace and service. */
	readonly runTimes = new Section<string, RunTimeEntry>()
	readonly calls = new Section<string, CallEntry>()
	/** Durable state transitions of jobs that controllers request from the ledger. */
	readonly transitions = new Section<string, Transition>()
	/** Results of transitions, until their owners take them. */
	readonly transitionResults = new Section<string, TransitionResult>()
	/** Jobs that ended recently. */
	readonly ended = new Section<string, JobRecord>()
	/** Operators' configuration of the domain; keyed `current`. */
	readonly catalog = new Section<"current", CatalogEntry>()
	/** Workers of the domain that this host holds, by id. */
	readonly nodes = new Section<string, NodeEntry>()
	/** Latest report of each worker, by its id; separate from `nodes`, since most reports change only the progress. */
	readonly nodeReports = new Section<string, NodeReport>()
	/** Workers that earlier holders have recorded with the address that they answered from, by id. */
	readonly recordedNodes = new Section<string, WorkerRegistration>()
	/** Workers whose report is needed at once, by id: one requested after this monotonic time. */
	readonly reportRequests = new Section<string, number>()
	/** Which ends of runs are durable, by worker id. */
	readonly acknowledgements = new Section<string, EndAcknowledgement>()
	/** Workflows of the domain that this host holds. */
	readonly workflows = new Section<string, WorkflowEntry>()
	/** This host's term as holder of the domain, once its workflows are loaded; keyed `loaded`. */
	readonly terms = new Section<"loaded", TermEntry>()
	/** Runs that may be on a worker, by task id. */
	readonly runs = new RunSection()
	/** Runs whose durations are to be learned from, by task, or by step for a gang. */
	readonly finishedRuns = new Section<string, FinishedRun>()
	/** What finished runs say about the steps of workflows, while this host holds the domain; keyed `current`. */
	readonly stepTimes = new Section<"current", StepTimes>()
	/** Failures on a worker and the resulting restrictions, by its id. */
	readonly health = new Section<string, NodeHealth>()
	/** Workflows of which nothing runs though a step's turn has come, by id. */
	readonly standstills = new Section<string, StandstillEntry>()
	/** Authorized requests for the number of a queue's workflows that have not started, by request id. */
	readonly countRequests = new Section<string, CountRequest>()
	/** Who may hand in no more work for now; keyed `current`. */
	readonly intakeLimits = new Section<"current", IntakeLimits>()
	/** Capacity that less urgent work leaves free, by service. */
	readonly headroom = new Section<string, HeadroomEntry>()
	readonly requests = new Section<string, HostRequest>()
	readonly replies = new Section<string, Reply>()
	readonly outbox = new Section<string, Command>()
	readonly completions = new Section<string, Completion>()
	readonly events = new Section<number, BoardEvent>()
	/** Milliseconds of the time of decisions that may not have passed, since only the wall clock counted them. */
	readonly clockJumps = new Section<"total", number>()
	/** Keyed `state`. */
	readonly lifecycle = new Section<"state", Lifecycle>()
	#sequence = 0

	constructor(settings: HostSettings) {
		this.#settings = settings
	}

	get settings(): HostSettings {
		return this.#settings
	}

	/** Adopts new settings. Returns false if they change the host's identity or an address, which needs a restart. */
	adoptSettings(settings: HostSettings): boolean {
		const encodeIdentity = ({
			hostId,
			zone,
			region,
			callerAddress,
			peerAddress,
			platformUrl,
			domain
		}: HostSettings) =>
			JSON.stringify([hostId, zone, region, callerAddress, peerAddress, platformUrl, domain?.name])
		if (encodeIdentity(settings) !== encodeIdentity(this.#settings)) return false
		this.#settings = settings
		return true
	}

	/**
	 * Calls `onChange` with the section's name at every change, and with the owner of the changed entry in sections
	 * whose entries each belong to one controller.
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
		this.transitionResults.bind(id => {
			onChange(SectionName.transitionResults, this.transitionResults.get(id)?.transition.owner)
		})
	}

	/** Returns a number that is unique on this board. */
	nextSequence(): number {
		return ++this.#sequence
	}

	/** Puts a command into the outbox and returns its id. */
	issue<K extends CommandKind>(command: NewCommand<K>): string {
		const id = `${this.settings.hostId}-${this.nextSequence()}`
		this.outbox.set(id, {...command, id} as unknown as Command)
		return id
	}

	/** Takes the completions of all commands that `owner` issued. */
	takeCompletions(owner: string): Completion[] {
		const taken: Completion[] = []
		for (const [id, completion] of this.completions.entries()) {
			if (completion.command.owner !== owner) continue
			taken.push(completion)
			this.completions.take(id)
		}
		return taken
	}

	/** Queues a notice about a job for the hosts that it concerns. */
	announce(kind: NoticeKind, jobId: string, zone: string): void {
		const {hostId} = this.settings
		this.announcements.set(`${kind} ${jobId}`, {kind, jobId, zone, hostId})
	}

	/** Requests a durable transition of a job from the ledger and returns the transition's id. */
	requestTransition(transition: NewTransition): string {
		const id = `${this.settings.hostId}-${this.nextSequence()}`
		this.transitions.set(id, {...transition, id})
		return id
	}

	/** Takes the results of all transitions that `owner` requested. */
	takeTransitionResults(owner: string): TransitionResult[] {
		const taken: TransitionResult[] = []
		for (const [id, result] of this.transitionResults.entries()) {
			if (result.transition.owner !== owner) continue
			taken.push(result)
			this.transitionResults.take(id)
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
