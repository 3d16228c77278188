/**
 * How long the lease of a holder lasts, how often it is renewed, and how long a host leaves a free zone to others. The
 * holder writes the lease's length into the lease row, so that other hosts know when the observed lease ends.
 *
 * The domain's lease is as short as the table allows, because no work starts in the domain until the lease of a lost
 * holder has ended: two renewals fit into it, each as late as the last one was. Large hosts take over first: a domain
 * with many workers needs more CPU than a small host has.
 */
import {z} from "zod"
import {
	type AuthorityEntry,
	type DomainSettings,
	type HostSettings,
	AUTHORITY_TIMEOUT_MS,
	DOMAIN_LEASE_MARGIN_MS,
	DOMAIN_LEASE_MIN_MS,
	DOMAIN_LEASE_MS,
	DOMAIN_LEASE_RENEWALS,
	HOLDER_CORES,
	HOLDER_DEFERRAL_MS,
	HOLDER_LEASE_MS,
	HOLDER_OUTAGE_DEFERRAL_MS,
	HOLDER_RENEW_INTERVAL_MS,
	HOLDER_RETRY_DELAY_MS,
	SLOW_ROUND_TRIP_MS,
	TAKE_OVER_PATIENCE_FACTOR,
	TAKE_OVER_PATIENCE_MAX_MS,
	DOMAIN_RETRY_DELAY_MS,
	DOMAIN_TAKE_OVER_TIMEOUT_MS,
	FAR_ROUND_TRIP_MS,
	TAKE_OVER_SPREAD_MS,
	computeFraction,
	decodeJson
} from "../internal.js"

/** The last term of a zone that has no holder now; `holder` is empty if the holder gave it up. */
type FreeZone = Pick<AuthorityEntry, "epoch" | "holder">

export interface HolderLeasePolicy {
	/** Delay after a failed renewal. */
	readonly retryDelayMs: number
	/** True if this host leaves a free zone to larger hosts for a while. */
	readonly isDeferring: boolean
	/** Length of the next lease, if the last renewal was answered `renewalMs` after it was due. */
	computeLease(renewalMs: number): number
	computeRenewInterval(leaseMs: number): number
	/** Deadline of a commit that takes over or gives up. */
	readonly takeOverTimeoutMs: number
	/** Deadline of a renewal that writes this lease. */
	computeRenewTimeout(leaseMs: number): number
	/**
	 * Time that this host waits after a zone has become free. `isViewContinuous` is false if it may have missed changes
	 * of the holder's rows since the last renewal that it observed.
	 */
	computeTakeOverDelay(free: FreeZone, isViewContinuous: boolean): number
	/** Records how long a read of the holder's rows took that waited for nothing. */
	recordRoundTrip(ms: number): void
	/** Records how late a read came back that waited for a change in vain. */
	recordLateness(ms: number): void
	encodeLease(holder: string, leaseMs: number): string
	decodeLease(value: string | undefined): number
}

/** Lease of one zone's holder. */
export class FixedHolderLease implements HolderLeasePolicy {
	readonly retryDelayMs = HOLDER_RETRY_DELAY_MS
	readonly takeOverTimeoutMs = AUTHORITY_TIMEOUT_MS
	readonly isDeferring = false

	computeLease(): number {
		return HOLDER_LEASE_MS
	}

	computeRenewInterval(): number {
		return HOLDER_RENEW_INTERVAL_MS
	}

	computeRenewTimeout(): number {
		return AUTHORITY_TIMEOUT_MS
	}

	computeTakeOverDelay(): number {
		return 0
	}

	recordRoundTrip(): void {
		// The holders of zones take no account of their distance to the table.
	}

	recordLateness(): void {
		// Nor of how slow the table is.
	}

	encodeLease(holder: string): string {
		return holder
	}

	decodeLease(): number {
		return HOLDER_LEASE_MS
	}
}

const leaseSchema = z.object({leaseMs: z.int().min(DOMAIN_LEASE_MIN_MS).max(DOMAIN_LEASE_MS)})

/** Lease of a domain's holder. */
export class AdaptiveHolderLease implements HolderLeasePolicy {
	readonly retryDelayMs = DOMAIN_RETRY_DELAY_MS
	readonly takeOverTimeoutMs = DOMAIN_TAKE_OVER_TIMEOUT_MS
	readonly isDeferring: boolean
	readonly #hostId: string
	/** Shortest round trip to the table so far. */
	#roundTripMs = Infinity
	/** How late the latest read came back that no change ended. */
	#lateMs = 0

	constructor(hostId: string, {cores, coreShare}: DomainSettings) {
		this.#hostId = hostId
		this.isDeferring = cores * coreShare < HOLDER_CORES
	}

	computeLease(renewalMs: number): number {
		if (this.isDeferring) return DOMAIN_LEASE_MS
		const intervalMs = this.computeRenewInterval(DOMAIN_LEASE_MIN_MS)
		const neededMs = Math.ceil(2 * (intervalMs + renewalMs) + DOMAIN_LEASE_MARGIN_MS)
		return Math.min(DOMAIN_LEASE_MS, Math.max(DOMAIN_LEASE_MIN_MS, neededMs))
	}

	computeRenewInterval(leaseMs: number): number {
		return leaseMs / DOMAIN_LEASE_RENEWALS
	}

	/** A renewal that took effect without an answer has moved the lease's end, so the next one still comes in time. */
	computeRenewTimeout(leaseMs: number): number {
		return leaseMs - DOMAIN_LEASE_MARGIN_MS
	}

	/**
	 * Hosts see the end of a lease at the same moment; the spread keeps them from writing at once. Hosts near the table
	 * go first, since a holder waits for several of its answers before a start.
	 */
	computeTakeOverDelay({epoch, holder}: FreeZone, isViewContinuous: boolean): number {
		const distance = Math.min(1, this.#roundTripMs / FAR_ROUND_TRIP_MS)
		const chance = computeFraction(`${this.#hostId} ${epoch}`)
		const patienceMs = holder === "" ? 0 : this.#computePatience()
		const delayMs = (TAKE_OVER_SPREAD_MS * (distance + chance)) / 2 + patienceMs
		if (!this.isDeferring) return delayMs
		return delayMs + (isViewContinuous ? HOLDER_DEFERRAL_MS : HOLDER_OUTAGE_DEFERRAL_MS)
	}

	/** A table that answers this host late answers the holder's renewals late as well, or refuses some. */
	#computePatience(): number {
		if (this.#lateMs < SLOW_ROUND_TRIP_MS) return 0
		return Math.min(TAKE_OVER_PATIENCE_MAX_MS, this.#lateMs * TAKE_OVER_PATIENCE_FACTOR)
	}

	recordRoundTrip(ms: number): void {
		this.#roundTripMs = Math.min(this.#roundTripMs, ms)
	}

	recordLateness(ms: number): void {
		this.#lateMs = ms
	}

	encodeLease(holder: string, leaseMs: number): string {
		return JSON.stringify({holder, leaseMs})
	}

	/** The longest lease if the row is malformed: hosts of an earlier version write the holder's name alone. */
	decodeLease(value: string | undefined): number {
		return decodeJson("lease", leaseSchema, value ?? "").match(
			({leaseMs}) => leaseMs,
			() => DOMAIN_LEASE_MS
		)
	}
}

export function createHolderLease({hostId, domain}: HostSettings): HolderLeasePolicy {
	return domain === undefined ? new FixedHolderLease() : new AdaptiveHolderLease(hostId, domain)
}
