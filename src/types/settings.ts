export interface SocketAddress {
	readonly host: string
	readonly port: number
}

/** Several zones that one holder schedules together, on workers that keep leases and take no reservations. */
export interface DomainSettings {
	readonly name: string
	/** Where the balancer asks whether this host takes new connections. */
	readonly readinessAddress: SocketAddress
	readonly metricsAddress: SocketAddress
	/** Time after which a key that was taken away must not be honoured. */
	readonly revokeMs: number
	/** Longest that a worker may take to stop a run. */
	readonly stopMs: number
	/** Time for which the state of an ended workflow is kept. */
	readonly stateKeptMs: number
	/** How many times as long a task runs away from its data or its gang's rack. */
	readonly remoteFactor: number
	/** Processor cores of this host, and the share of each that it may use. */
	readonly cores: number
	readonly coreShare: number
}

/** What a process learns from its settings file. */
export interface HostSettings {
	readonly hostId: string
	readonly zone: string
	readonly region: string
	readonly callerAddress: SocketAddress
	readonly peerAddress: SocketAddress
	readonly platformUrl: string
	/** Key id to Ed25519 public key (base64 SPKI). */
	readonly bundleKeys: Readonly<Record<string, string>>
	/** Shared secrets for host-to-host calls; the first signs, all verify. */
	readonly peerSecrets: readonly string[]
	/** Operator name to SHA-256 of its token, in hexadecimal. */
	readonly operators: Readonly<Record<string, string>>
	readonly logLevel: string
	readonly shutdownTimeoutMs: number
	/** Undefined where each zone has a holder of its own. */
	readonly domain?: DomainSettings | undefined
}
