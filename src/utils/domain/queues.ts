/** Finds the queue and the workspace that a caller's request is for, and what a queue promises. */
import {timingSafeEqual} from "node:crypto"
import {
	type Board,
	type Catalog,
	type QueueConfig,
	type WorkflowEntry,
	type WorkspaceAccess,
	computeObjective
} from "../../internal.js"

/** The queue with the longest path prefix among those of the host, and the rest of the path. */
export function findQueue(
	{queues}: Catalog,
	host: string,
	path: string
): {readonly queue: QueueConfig; readonly rest: string} | undefined {
	let found: QueueConfig | undefined
	for (const queue of queues) {
		if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
		if (found === undefined || queue.pathPrefix.length > found.pathPrefix.length) found = queue
	}
	return found && {queue: found, rest: path.slice(found.pathPrefix.length)}
}

/** The workspace that a key belongs to; every key is compared, so that the duration reveals nothing. */
export function findWorkspace({workspaces}: Catalog, key: string): WorkspaceAccess | undefined {
	// A caller without a key has the empty one, which a configuration may list.
	if (key === "") return undefined
	const given = Buffer.from(key)
	let found: WorkspaceAccess | undefined
	for (const workspace of workspaces)
		for (const known of workspace.keys) {
			const bytes = Buffer.from(known)
			if (bytes.length === given.length && timingSafeEqual(bytes, given)) found = workspace
		}
	return found
}

/** Time from acceptance in which a workflow should complete; undefined if its queue is no longer configured. */
export function findObjective(board: Board, {record, forecast}: WorkflowEntry): number | undefined {
	const queues = board.catalog.get("current")?.catalog.queues ?? []
	const queue = queues.find(({name}) => name === record.queue)
	return queue === undefined
		? undefined
		: Math.round(computeObjective(forecast.criticalPathsMs, queue))
}
