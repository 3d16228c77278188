/** Operators' configuration of a domain, which one holder schedules: queues, services, workspaces, zones. */
import {type ResourceDemand} from "../internal.js"

export interface QueueConfig {
	readonly name: string
	/** The host name and the longest matching path prefix of a request select the queue. */
	readonly host: string
	readonly pathPrefix: string
	/** Workers of this service run the queue's tasks. */
	readonly service: string
	/** 0 is the highest. */
	readonly priority: number
	readonly maxAttempts: number
	/** A workflow's target completion time is `stretch` × its critical path + `targetLatencyMs`. */
	readonly stretch: number
	readonly targetLatencyMs: number
	/** Callers need no key. */
	readonly isPublic: boolean
}

export interface WorkspaceAccess {
	readonly name: string
	readonly keys: readonly string[]
	/** Accelerators guaranteed to the workspace's work of priority 0. */
	readonly guaranteedAccelerators: number
	/** Share relative to other workspaces while all is full; undefined if the configuration gives none. */
	readonly weight: number | undefined
	/** Most that it may have running at a time, on all workers together; infinite where there is no limit. */
	readonly cap: ResourceDemand
}

export interface Catalog {
	readonly version: number
	readonly queues: readonly QueueConfig[]
	readonly workspaces: readonly WorkspaceAccess[]
	readonly maxBodyBytes: number
}

/** Operators' records that changed since a version, or all of them if `isComplete`. */
export interface CatalogAnswer {
	readonly version: number
	readonly isComplete: boolean
	readonly catalog: Catalog | undefined
	readonly zones: readonly {readonly zone: string; readonly isOut: boolean}[]
	/** One message for each record that could not be parsed. */
	readonly malformed: readonly string[]
}

export interface CatalogEntry {
	readonly catalog: Catalog
	readonly zonesOut: ReadonlySet<string>
	/** Version of the operators' records that this host has read up to. */
	readonly recordVersion: number
	/** Latest monotonic time at which this entry was known to be current. */
	readonly evidenceAt: number
	/** Number of polls in a row that have failed since the last one that was answered. */
	readonly failedPolls: number
}

/** A worker as the platform's list of workers describes it. */
export interface WorkerRegistration {
	readonly id: string
	readonly incarnation: string
	readonly service: string
	/** Base URL. */
	readonly address: string
	readonly zone: string
	readonly isDraining: boolean
	/** Lower bound of the time until a draining worker leaves; undefined if unknown. */
	readonly remainingMs: number | undefined
	readonly capacity: ResourceDemand
	readonly labels: readonly string[]
	readonly rack: string
	readonly clockMs: number
}

export interface WorkerListAnswer {
	readonly workers: readonly WorkerRegistration[]
	/** One message for each entry that is not a valid worker. */
	readonly malformed: readonly string[]
}
