export interface SocketAddress {
	readonly host: string
	readonly port: number
}

/** Where clients and peers connect to a host. */
export const Entrance = {
	callers: "callers",
	readiness: "readiness",
	metrics: "metrics",
	peers: "peers"
} as const
export type Entrance = (typeof Entrance)[keyof typeof Entrance]

/** What clients may occupy of a process, and how long they may take. */
export interface LimitSettings {
	/** Descriptors and memory of the process. */
	readonly descriptors: number
	readonly memoryMb: number
	readonly headersTimeoutMs: number
	readonly requestTimeoutMs: number
	/** How long an answer may wait until the client takes it. */
	readonly answerTimeoutMs: number
}

/** For the smallest machine. */
export const DEFAULT_LIMITS: LimitSettings = {
	descriptors: 4100,
	memoryMb: 250,
	headersTimeoutMs: 5000,
	requestTimeoutMs: 10000,
	answerTimeoutMs: 15000
}

/** A domain: zones that one holder schedules together, on workers that have leases and take no reservations. */
export interface DomainSettings {
	readonly name: string
	/** Where the load balancer checks whether this host accepts new connections. */
	readonly readinessAddress: SocketAddress
	readonly metricsAddress: SocketAddress
	/** Longest time for which a revoked key may still be accepted. */
	readonly revokeMs: number
	/** Longest time that a worker may take to stop a run. */
	readonly stopMs: number
	/** Longest lease that a worker grants; it shortens a longer one. */
	readonly workerLeaseMaxMs: number
	/** How long the state of an ended workflow is kept. */
	readonly stateKeptMs: number
	/** Time that a run takes to resume from a checkpoint. */
	readonly restoreMs: number
	/** Factor by which a task takes longer outside the rack of its data or its gang. */
	readonly remoteFactor: number
	/** CPU cores of this host, and the share of each that this process may use. */
	readonly cores: number
	readonly coreShare: number
	/** Whether what steps are expected to take is learned from finished runs, or is what callers estimate. */
	readonly learnRunTimes: boolean
}

/** The settings of a process, read from its settings file. */
export interface HostSettings {
	readonly hostId: string
	readonly zone: string
	readonly region: string
	readonly callerAddress: SocketAddress
	readonly peerAddress: SocketAddress
	readonly platformUrl: string
	/** Maps a key id to an Ed25519 public key (base64 SPKI). */
	readonly bundleKeys: Readonly<Record<string, string>>
	/** Shared secrets for calls between hosts; the first one signs, any of them verifies. */
	readonly peerSecrets: readonly string[]
	/** Maps an operator's name to the SHA-256 of its token, in hexadecimal. */
	readonly operators: Readonly<Record<string, string>>
	readonly logLevel: string
	readonly shutdownTimeoutMs: number
	/** Undefined for the defaults. */
	readonly limits?: LimitSettings | undefined
	/** Undefined if each zone has its own holder. */
	readonly domain?: DomainSettings | undefined
}
