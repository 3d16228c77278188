/** Builds the replies to callers. */
import {
	type Board,
	type BundleView,
	type JobRecord,
	type JobView,
	type RanState,
	type Refusal,
	ReasonCode
} from "../internal.js"

export function buildJobView(record: JobRecord): JobView {
	const {id, workspace, key, state, spec, zone, attempts, outcome} = record
	return {id, workspace, key, state, service: spec.service, zone, attempts, outcome}
}

/** Reasons after which the same request may succeed later. */
const RETRYABLE_REASONS: ReadonlySet<ReasonCode> = new Set<ReasonCode>([
	ReasonCode.queueFull,
	ReasonCode.noZoneInService,
	ReasonCode.noBundle,
	ReasonCode.platformUnavailable,
	ReasonCode.answerLost,
	ReasonCode.stopping,
	ReasonCode.generationConflict
])

export function buildRefusal(
	reason: ReasonCode,
	ran: RanState,
	detail: string = reason,
	jobId?: string
): Refusal {
	return {reason, detail, ran, askAgain: RETRYABLE_REASONS.has(reason), jobId}
}

export function buildBundleView(board: Board, now: number): BundleView {
	const current = board.bundle.get("current")
	const own = {
		hostId: board.settings.hostId,
		zone: board.settings.zone,
		generation: current?.bundle.generation ?? 0,
		ageMs: 0
	}
	const others = [...board.peers.values()].map(({status: peer, observedAt}) => ({
		hostId: peer.hostId,
		zone: peer.zone,
		generation: peer.generation,
		ageMs: Math.round(now - observedAt)
	}))
	return {
		generation: own.generation,
		bundle: current?.bundle,
		adopted: [own, ...others]
	}
}
