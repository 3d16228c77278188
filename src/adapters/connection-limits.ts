/**
 * Bounds on what the clients of a process occupy, whoever they are: open connections of each entrance, and bytes of
 * requests in memory over all entrances. A client that is waited for gives way to one whose request is being worked on:
 * at the bound of connections the one that was served longest ago is closed, and at the bound of bytes the one that has
 * most in memory.
 */
import {type LimitSettings, DEFAULT_LIMITS, Entrance} from "../internal.js"

/** Descriptors that are not available for connections. */
const RESERVED_DESCRIPTORS = 200
/** Part of the others for each entrance; the rest is for calls to the platform, workers and peers. */
const CONNECTION_SHARE: Readonly<Record<Entrance, number>> = {
	[Entrance.callers]: 1 / 2,
	[Entrance.readiness]: 1 / 16,
	[Entrance.metrics]: 1 / 16,
	[Entrance.peers]: 1 / 16
}
const CONNECTIONS_MIN = 8
/** Part of the memory that requests may occupy before they are worked on. */
const REQUEST_SHARE = 1 / 16
const BYTES_PER_MB = 1048576

export const LimitReason = {
	/** Closed for a new connection. */
	idle: "idle",
	/** Closed at once, because all connections are being worked for. */
	busy: "busy",
	/** Closed with an incomplete request, because requests occupy too much memory. */
	requestBytes: "request-bytes",
	/** Refused as not run, because requests occupy too much memory. */
	refused: "refused",
	slowRequest: "slow-request",
	unreadAnswer: "unread-answer"
} as const
export type LimitReason = (typeof LimitReason)[keyof typeof LimitReason]

/** A connection that may have to give way to others. */
export interface LimitedConnection {
	/** Bytes of requests that it has in memory. */
	readonly heldBytes: number
	/** Whether a request that has arrived whole waits for its answer. */
	readonly isWorking: boolean
	destroy(): unknown
}

type ReportLimit = (entrance: Entrance, reason: LimitReason) => void

export class ConnectionLimits {
	readonly settings: LimitSettings
	readonly #report: ReportLimit
	readonly #entrances: LimitedEntrance[] = []
	readonly #heldBytesMax: number
	#heldBytes = 0

	constructor(settings: LimitSettings | undefined, report: ReportLimit) {
		this.settings = settings ?? DEFAULT_LIMITS
		this.#report = report
		this.#heldBytesMax = this.settings.memoryMb * BYTES_PER_MB * REQUEST_SHARE
	}

	get isFull(): boolean {
		return this.#heldBytes > this.#heldBytesMax
	}

	open(name: Entrance): LimitedEntrance {
		const available = (this.settings.descriptors - RESERVED_DESCRIPTORS) * CONNECTION_SHARE[name]
		const connectionsMax = Math.max(CONNECTIONS_MIN, Math.floor(available))
		const entrance = new LimitedEntrance(this, connectionsMax, reason => {
			this.#report(name, reason)
		})
		this.#entrances.push(entrance)
		return entrance
	}

	hold(addedBytes: number): void {
		this.#heldBytes += addedBytes
	}

	/** Closes the connection with the most bytes that no work waits for, if requests take too much memory. */
	shed(): void {
		if (!this.isFull) return
		let largest: {entrance: LimitedEntrance; connection: LimitedConnection} | undefined
		for (const entrance of this.#entrances)
			for (const connection of entrance.connections) {
				if (connection.isWorking) continue
				if (connection.heldBytes > (largest?.connection.heldBytes ?? 0))
					largest = {entrance, connection}
			}
		largest?.entrance.close(largest.connection, LimitReason.requestBytes)
	}
}

/** The connections of one entrance, least recently served first. */
export class LimitedEntrance {
	readonly #limits: ConnectionLimits
	readonly #connectionsMax: number
	readonly #connections = new Set<LimitedConnection>()
	readonly report: (reason: LimitReason) => void

	constructor(
		limits: ConnectionLimits,
		connectionsMax: number,
		report: (reason: LimitReason) => void
	) {
		this.#limits = limits
		this.#connectionsMax = connectionsMax
		this.report = report
	}

	get connections(): ReadonlySet<LimitedConnection> {
		return this.#connections
	}

	get limits(): ConnectionLimits {
		return this.#limits
	}

	/** Takes in a new connection; returns false and closes it if there is no room. */
	admit(connection: LimitedConnection): boolean {
		this.#connections.add(connection)
		if (this.#connections.size <= this.#connectionsMax) return true
		for (const other of this.#connections) {
			if (other.isWorking) continue
			this.close(other, other === connection ? LimitReason.busy : LimitReason.idle)
			break
		}
		return this.#connections.has(connection)
	}

	/** Notes that the connection has been served. */
	refresh(connection: LimitedConnection): void {
		if (this.#connections.delete(connection)) this.#connections.add(connection)
	}

	drop(connection: LimitedConnection): void {
		this.#connections.delete(connection)
	}

	hold(addedBytes: number): void {
		this.#limits.hold(addedBytes)
	}

	shed(): void {
		this.#limits.shed()
	}

	close(connection: LimitedConnection, reason: LimitReason): void {
		this.report(reason)
		this.#connections.delete(connection)
		connection.destroy()
	}
}
