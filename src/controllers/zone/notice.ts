/**
 * Sends notices about jobs between hosts, so that hosts need not poll the table for them: new and cancelled jobs and
 * callers' waits go to the hosts of the job's zone, and the end of a job to the hosts where callers wait for it. A lost
 * notice only costs time, because the row is read again in any case.
 */
import {
	type Board,
	type Controller,
	type HostRecord,
	type JobNotice,
	type JobRecord,
	CommandKind,
	MAX_WAIT_MS,
	NoticeKind,
	PEER_TIMEOUT_MS,
	SectionName,
	listPeers
} from "../../internal.js"

export class NoticeController implements Controller {
	readonly name = "notice"
	readonly reads = [
		SectionName.notices,
		SectionName.announcements,
		SectionName.ended,
		SectionName.completions
	]

	step(board: Board, now: number): number | undefined {
		board.takeCompletions(this.name)
		for (const [id, notice] of [...board.notices.entries()]) {
			if (notice.kind !== NoticeKind.watched) continue
			board.notices.take(id)
			this.#addWatch(board, notice, now)
		}
		const outgoing = new Map<HostRecord, JobNotice[]>()
		for (const notice of this.#takeAnnouncements(board))
			for (const peer of listPeers(board))
				if (peer.zone === notice.zone) append(outgoing, peer, notice)
		for (const {jobId, untilByHost: until} of [...board.watches.values()]) {
			const record = board.ended.get(jobId)
			if (record !== undefined) this.#notifyWatchers(board, outgoing, record, until)
			if (record !== undefined || [...until.values()].every(at => at < now))
				board.watches.take(jobId)
		}
		for (const [peer, notices] of outgoing) this.#send(board, peer, notices, now)
		return board.watches.size === 0 ? undefined : now + MAX_WAIT_MS
	}

	#addWatch(board: Board, {jobId, hostId}: JobNotice, now: number): void {
		const until = new Map(board.watches.get(jobId)?.untilByHost)
		until.set(hostId, now + MAX_WAIT_MS)
		board.watches.set(jobId, {jobId, untilByHost: until})
	}

	#takeAnnouncements(board: Board): JobNotice[] {
		const taken = [...board.announcements.values()]
		for (const id of [...board.announcements.keys()]) board.announcements.take(id)
		return taken
	}

	#notifyWatchers(
		board: Board,
		outgoing: Map<HostRecord, JobNotice[]>,
		{id, zone}: JobRecord,
		until: ReadonlyMap<string, number>
	): void {
		const notice = {kind: NoticeKind.ended, jobId: id, zone, hostId: board.settings.hostId}
		for (const peer of listPeers(board)) if (until.has(peer.id)) append(outgoing, peer, notice)
	}

	#send(board: Board, peer: HostRecord, notices: readonly JobNotice[], now: number): void {
		board.issue<"peer-notify-job">({
			kind: CommandKind.peerNotifyJob,
			owner: this.name,
			subject: peer.id,
			target: peer.peerAddress,
			request: {notices},
			timeoutMs: PEER_TIMEOUT_MS,
			issuedAt: now
		})
	}
}

function append(outgoing: Map<HostRecord, JobNotice[]>, peer: HostRecord, notice: JobNotice): void {
	const notices = outgoing.get(peer)
	if (notices === undefined) outgoing.set(peer, [notice])
	else notices.push(notice)
}
