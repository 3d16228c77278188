/** What operators configure where one holder schedules a whole domain: queues, services, workspaces, zones. */
import {type ResourceDemand} from "../internal.js"

export interface QueueConfig {
	readonly name: string
	/** Host name and longest path prefix of a request select the queue. */
	readonly host: string
	readonly pathPrefix: string
	/** Workers of this service run the queue's tasks. */
	readonly service: string
	/** 0 comes first. */
	readonly priority: number
	readonly maxAttempts: number
	/** Times its longest chain of work within which a workflow ought to complete, with `targetLatencyMs` more. */
	readonly stretch: number
	readonly targetLatencyMs: number
	/** Callers need no key. */
	readonly isPublic: boolean
}

export interface WorkspaceAccess {
	readonly name: string
	readonly keys: readonly string[]
	/** Accelerators that belong to the workspace's work of priority 0. */
	readonly guaranteedAccelerators: number
}

export interface Catalog {
	readonly version: number
	readonly queues: readonly QueueConfig[]
	readonly workspaces: readonly WorkspaceAccess[]
	readonly maxBodyBytes: number
}

/** What the operators' records said since a version, or all of them where `isComplete`. */
export interface CatalogAnswer {
	readonly version: number
	readonly isComplete: boolean
	readonly catalog: Catalog | undefined
	readonly zones: readonly {readonly zone: string; readonly isOut: boolean}[]
	/** Records that could not be understood, and why. */
	readonly malformed: readonly string[]
}

export interface CatalogEntry {
	readonly catalog: Catalog
	readonly zonesOut: ReadonlySet<string>
	/** Version of the operators' records up to which this host has read. */
	readonly recordVersion: number
	/** Monotonic time at which all this was still known to be the newest. */
	readonly evidenceAt: number
}

/** A worker's own entry in the platform's list. */
export interface WorkerRegistration {
	readonly id: string
	readonly incarnation: string
	readonly service: string
	/** Base URL. */
	readonly address: string
	readonly zone: string
	readonly isDraining: boolean
	/** The least time that a draining worker still has; undefined where it is not known. */
	readonly remainingMs: number | undefined
	readonly capacity: ResourceDemand
	readonly labels: readonly string[]
	readonly rack: string
	readonly clockMs: number
}

export interface WorkerListAnswer {
	readonly workers: readonly WorkerRegistration[]
	/** Entries that name no usable worker. */
	readonly malformed: readonly string[]
}
