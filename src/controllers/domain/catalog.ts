/**
 * Long-polls the operators' records of a domain. The catalog's evidence time is the time at which the answered call was
 * sent. After a call that was not answered, or whose history is gone, everything is read again, since changes may
 * have been missed.
 */
import {
	type Board,
	type CatalogAnswer,
	type Completion,
	type Controller,
	CommandKind,
	EventLevel,
	LONG_POLL_ANSWER_TIMEOUT_MS,
	LONG_POLL_WAIT_MS,
	Outage,
	SectionName
} from "../../internal.js"

export class CatalogController implements Controller {
	readonly name = "catalog"
	readonly reads = [SectionName.completions]
	#inFlight = false
	#nextAt = 0
	/** Version after which changes are requested; undefined to read everything. */
	#afterVersion: number | undefined
	readonly #outage = new Outage("catalog")

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name))
			this.#settle(board, completion as Completion<"catalog-follow">, now)
		if (this.#inFlight) return undefined
		if (now < this.#nextAt) return this.#nextAt
		this.#poll(board, now)
		return undefined
	}

	#poll(board: Board, now: number): void {
		const waitMs = this.#afterVersion === undefined ? 0 : LONG_POLL_WAIT_MS
		this.#inFlight = true
		board.issue<"catalog-follow">({
			kind: CommandKind.catalogFollow,
			owner: this.name,
			subject: "",
			target: "",
			request: {afterVersion: this.#afterVersion, waitMs},
			timeoutMs: waitMs + LONG_POLL_ANSWER_TIMEOUT_MS,
			issuedAt: now
		})
	}

	#settle(board: Board, {command, result}: Completion<"catalog-follow">, now: number): void {
		this.#inFlight = false
		if (result.isErr()) {
			this.#nextAt = this.#outage.recordFailure(board, result.error, command.issuedAt, now)
			this.#afterVersion = undefined
			const known = board.catalog.get("current")
			if (known !== undefined)
				board.catalog.setSilently("current", {...known, failedPolls: known.failedPolls + 1})
			return
		}
		this.#outage.recordSuccess(board)
		this.#adopt(board, result.value, command.issuedAt)
		this.#afterVersion = result.value.version
	}

	#adopt(board: Board, answer: CatalogAnswer, evidenceAt: number): void {
		for (const problem of answer.malformed)
			board.record(EventLevel.warn, "catalog-malformed", {detail: problem}, "malformed")
		const known = board.catalog.get("current")
		const isNewer =
			answer.catalog !== undefined &&
			(known === undefined || answer.catalog.version > known.catalog.version)
		const catalog = isNewer ? answer.catalog : known?.catalog
		if (catalog === undefined) return
		const zonesOut = new Set(answer.isComplete ? [] : known?.zonesOut)
		for (const {zone, isOut} of answer.zones) {
			if (isOut) zonesOut.add(zone)
			else zonesOut.delete(zone)
		}
		const entry = {catalog, zonesOut, recordVersion: answer.version, evidenceAt, failedPolls: 0}
		const haveZonesChanged = [...zonesOut].join() !== [...(known?.zonesOut ?? [])].join()
		if (!isNewer && !haveZonesChanged) {
			board.catalog.setSilently("current", entry)
			return
		}
		board.catalog.set("current", entry)
		const fields = {version: catalog.version, zonesOut: [...zonesOut].join()}
		board.record(EventLevel.info, "catalog-adopted", fields)
	}
}
