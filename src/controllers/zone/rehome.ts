/**
 * Moves queued jobs to zones in service while operators have taken this zone out. Each move is one conditional
 * commit, which fails if the job was claimed meanwhile. If the bundle says so, running jobs that can continue or be
 * repeated elsewhere are stopped, with a checkpoint where possible; other running jobs finish here. Jobs don't move
 * back when the zone returns, which would cause a second wave of moves; the zone only gets new jobs.
 */
import {
	type Board,
	type BundleContent,
	type Controller,
	type JobEntry,
	type JobRecord,
	type Policies,
	EventLevel,
	JobKind,
	JobState,
	NoticeKind,
	REHOME_IN_FLIGHT_MAX,
	ReasonCode,
	SectionName,
	TransitionKind
} from "../../internal.js"

export class RehomeController implements Controller {
	readonly name = "rehome"
	readonly reads = [
		SectionName.bundle,
		SectionName.jobs,
		SectionName.gangs,
		SectionName.calls,
		SectionName.authority,
		SectionName.transitionResults
	]
	readonly #policies: Policies
	readonly #moving = new Set<string>()

	constructor(policies: Policies) {
		this.#policies = policies
	}

	step(board: Board, now: number): number | undefined {
		this.#settleTransitions(board)
		if (board.authority.get(board.settings.zone)?.isHeldHere !== true) return undefined
		const content = board.bundle.get("current")?.bundle.content
		const zone = content?.zones.find(({name}) => name === board.settings.zone)
		if (content === undefined || zone === undefined || zone.inService) return undefined
		if (!content.zones.some(({inService}) => inService)) return undefined
		for (const job of board.jobs.values()) {
			if (job.record.state === JobState.queued) this.#moveIfIdle(board, content, job, now)
			else if (zone.moveRunning) this.#stopIfMovable(board, job.record, now)
		}
		return undefined
	}

	#settleTransitions(board: Board): void {
		for (const {transition, result} of board.takeTransitionResults(this.name)) {
			this.#moving.delete(transition.jobId)
			if (transition.kind !== TransitionKind.rehome || result.isErr()) continue
			board.announce(NoticeKind.changed, transition.jobId, transition.zone)
			const fields = {job: transition.jobId, zone: transition.zone}
			board.record(EventLevel.info, "job-rehomed", fields, ReasonCode.zoneOut)
		}
	}

	#moveIfIdle(board: Board, content: BundleContent, {record, seenAt}: JobEntry, now: number): void {
		const {id} = record
		if (this.#moving.size >= REHOME_IN_FLIGHT_MAX || this.#moving.has(id)) return
		if (record.cancelRequested || board.gangs.has(id)) return
		if (board.placements.has(id) || board.calls.has(id)) return
		const zone = this.#policies.zoneChoice.find(content.policies.zoneChoice).choose({
			jobId: id,
			ownZone: board.settings.zone,
			ownQueued: undefined,
			workspace: record.workspace,
			spec: record.spec,
			content,
			peers: [...board.peers.values()]
		})
		if (zone === undefined) return
		this.#moving.add(id)
		board.requestTransition({
			kind: TransitionKind.rehome,
			jobId: id,
			owner: this.name,
			giveUpAt: undefined,
			zone,
			waitedMs: now - seenAt
		})
	}

	#stopIfMovable(board: Board, {id, spec}: JobRecord, now: number): void {
		if (spec.kind !== JobKind.task || (!spec.repeatable && !spec.checkpoint)) return
		if (board.stops.has(id) || !board.gangs.has(id)) return
		board.stops.set(id, {
			jobId: id,
			reason: ReasonCode.zoneOut,
			checkpoint: spec.checkpoint,
			since: now
		})
	}
}
