/**
 * Keeps the current bundle: reads the current row and the peers' status, and adopts only a higher generation with a
 * valid signature. Every confirmation carries the time at which the generation was still current; the permit to start
 * work in a zone is derived from its age.
 */
import {
	type Board,
	type BundleEntry,
	type Completion,
	type Controller,
	type SignedBundle,
	type TableRow,
	BUNDLE_HEAD_KEY,
	BUNDLE_KEY,
	BUNDLE_POLL_INTERVAL_MS,
	EventLevel,
	ReasonCode,
	SectionName,
	decodeSignedBundle,
	verifyBundle,
	issueTableRead
} from "../../internal.js"

export class BundleController implements Controller {
	readonly name = "bundle"
	readonly reads = [SectionName.completions, SectionName.peers]
	#inFlight = false
	#nextAt = 0

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name))
			this.#settle(board, completion as Completion<"table-read">, now)
		this.#adoptFromPeers(board)
		if (this.#inFlight) return undefined
		if (now < this.#nextAt) return this.#nextAt
		this.#nextAt = now + BUNDLE_POLL_INTERVAL_MS
		this.#read(board, BUNDLE_HEAD_KEY, now)
		return this.#nextAt
	}

	#read(board: Board, key: string, now: number): void {
		this.#inFlight = true
		issueTableRead(board, this.name, key, [key], now)
	}

	#settle(board: Board, {command, result}: Completion<"table-read">, now: number): void {
		this.#inFlight = false
		if (result.isErr()) return
		const [row] = result.value
		if (command.subject === BUNDLE_HEAD_KEY) this.#settleHead(board, row, command.issuedAt, now)
		else if (row !== undefined) this.#settleBundle(board, row, command.issuedAt)
	}

	/** Reads the bundle itself only if its generation has risen. */
	#settleHead(board: Board, row: TableRow | undefined, sentAt: number, now: number): void {
		const known = board.bundle.get("current")
		const generation = row === undefined ? undefined : Number(row.value)
		if (known !== undefined && generation === known.bundle.generation)
			this.#updateEvidence(board, known, sentAt)
		else if (generation === undefined || generation > (known?.bundle.generation ?? 0))
			this.#read(board, BUNDLE_KEY, now)
	}

	#settleBundle(board: Board, row: TableRow, sentAt: number): void {
		decodeSignedBundle(row.value).match(
			bundle => {
				this.#adopt(board, bundle, sentAt)
			},
			error => {
				const fields = {detail: error.message}
				board.record(EventLevel.warn, "bundle-refused", fields, ReasonCode.malformed)
			}
		)
	}

	/** Evidence is valid only for the generation that it was given for; a bundle may arrive without evidence. */
	#adoptFromPeers(board: Board): void {
		for (const {status: peerStatus, evidenceAt} of board.peers.values()) {
			const known = board.bundle.get("current")
			const {generation, bundle: text} = peerStatus
			if (generation === known?.bundle.generation)
				this.#updateEvidence(board, known, evidenceAt ?? -Infinity)
			else if (text !== undefined && generation > (known?.bundle.generation ?? 0)) {
				decodeSignedBundle(text).map(bundle => {
					this.#adopt(board, bundle, evidenceAt ?? -Infinity)
				})
			}
		}
	}

	#updateEvidence(board: Board, known: BundleEntry, evidenceAt: number): void {
		if (evidenceAt > known.evidenceAt) board.bundle.set("current", {...known, evidenceAt})
	}

	/**
	 * A higher generation became current after any evidence for a lower one was given, so that evidence is valid for
	 * it too, and the evidence time never decreases.
	 */
	#adopt(board: Board, bundle: SignedBundle, evidenceAt: number): void {
		const known = board.bundle.get("current")
		if (known !== undefined && known.bundle.generation >= bundle.generation) {
			if (known.bundle.generation === bundle.generation)
				this.#updateEvidence(board, known, evidenceAt)
			return
		}
		if (!verifyBundle(bundle, board.settings.bundleKeys)) {
			const fields = {generation: bundle.generation, keyId: bundle.keyId}
			board.record(EventLevel.warn, "bundle-refused", fields, ReasonCode.badSignature)
			return
		}
		const latest = Math.max(evidenceAt, known?.evidenceAt ?? -Infinity)
		board.bundle.set("current", {bundle, evidenceAt: latest})
		board.record(EventLevel.info, "bundle-adopted", {generation: bundle.generation})
	}
}
