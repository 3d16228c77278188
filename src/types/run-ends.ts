/** What a domain's holder takes as proof that a run has ended, or has never begun, so that its task may start again. */

export const EndEvidence = {
	/** No start of the run was sent. */
	neverSent: "never-sent",
	/** The only start was refused, or never left this host. */
	startRefused: "start-refused",
	/** The worker listed the end of the run. */
	listedEnd: "listed-end",
	/** A report that was requested after the start or the stop was acknowledged doesn't show the run. */
	absent: "absent",
	/** Another incarnation of the worker reports, and no start of the run is under way to it. */
	restarted: "restarted",
	/** Another worker answers at the address that this one answered from. */
	replaced: "replaced",
	/** Every lease that the worker was granted has expired. */
	leaseExpired: "lease-expired",
	/** An earlier holder released the run; its log has the evidence. */
	earlierTerm: "earlier-term"
} as const
export type EndEvidence = (typeof EndEvidence)[keyof typeof EndEvidence]

export interface EndProof {
	/** Name of the controller that found it. */
	readonly place: string
	readonly evidence: EndEvidence
	/** Largest age that the evidence may have had when the run was released. */
	readonly ageMs: number
}

/** The run that a task had before its current one, and why that run was released. */
export interface ReleasedRun {
	readonly run: number
	/** Empty if an earlier holder released it. */
	readonly workerId: string
	readonly epoch: number
	readonly proof: EndProof
	/** Monotonic time of the release. */
	readonly releasedAt: number
	/** True once a later report has shown that the run had not ended. */
	isContradicted: boolean
}
