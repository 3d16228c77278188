/** Decides whether a caller may use a queue, by a configuration that may be out of date. */
import {
	type Board,
	type CatalogEntry,
	type QueueConfig,
	CATALOG_FAILED_POLLS_MAX,
	CATALOG_FRESH_MS,
	KEY_EVIDENCE_SHARE,
	Lifecycle,
	ReasonCode,
	findWorkspace
} from "../internal.js"

export interface AccessRefusal {
	readonly reason: ReasonCode
	readonly detail: string
}

/**
 * Checks keys only against a configuration that was confirmed recently. A key that a public queue doesn't need is checked as well,
 * since it gives a right to the workflows of its workspace.
 */
export function checkAccess(
	board: Board,
	entry: CatalogEntry,
	key: string,
	queue: QueueConfig,
	now: number
): AccessRefusal | undefined {
	if (board.lifecycle.get("state") === Lifecycle.drained)
		return {reason: ReasonCode.stopping, detail: "this host is stopping"}
	const isKnown = findWorkspace(entry.catalog, key) !== undefined
	if (queue.isPublic && !isKnown) return undefined
	const revokeMs = board.settings.domain?.revokeMs ?? Infinity
	if (now - entry.evidenceAt > revokeMs * KEY_EVIDENCE_SHARE)
		return {reason: ReasonCode.platformUnavailable, detail: ""}
	if (isKnown) return undefined
	return {reason: ReasonCode.unauthenticated, detail: "the key is not known"}
}

/** True if the catalog is so old that the platform counts as unreachable. */
export function isCatalogStale({evidenceAt}: CatalogEntry, now: number): boolean {
	return now - evidenceAt > CATALOG_FRESH_MS
}

/** True while the platform turns this host away, so that a call on behalf of a caller would fail as well. */
export function isPlatformLost({failedPolls}: CatalogEntry): boolean {
	return failedPolls >= CATALOG_FAILED_POLLS_MAX
}
