/**
 * Who may use a workflow. Its owner is settled at acceptance and is part of its record: what a queue needed a key for stays with
 * the workspace of that key, whatever the configuration says later about the queue, the key or the workspace. What was accepted
 * by a public queue is public for good.
 */
import {type Result} from "neverthrow"
import {z} from "zod"
import {type MalformedError, type QueueConfig, decodeJson} from "../internal.js"

/** A caller whose key, if the queue needs one, has been checked. */
export interface WorkflowCaller {
	readonly queue: QueueConfig
	/** Undefined if the caller has no key of a workspace. */
	readonly workspace: string | undefined
}

const ownerSchema = z.object({
	workspace: z.string(),
	queue: z.string(),
	isPublic: z.boolean().optional()
})
export type RecordOwner = z.infer<typeof ownerSchema>

/** The owner that a workflow's record names. */
export function decodeRecordOwner(text: string): Result<RecordOwner, MalformedError> {
	return decodeJson("workflow", ownerSchema, text)
}

/** True if the caller may read and cancel the owner's workflow. */
export function mayUse({workspace}: WorkflowCaller, owner: RecordOwner): boolean {
	return isPublicOwner(owner) || owner.workspace === workspace
}

/** True if a submission by the caller may be a repetition of the one that the owner's workflow was accepted with. */
export function mayRepeat({queue, workspace}: WorkflowCaller, owner: RecordOwner): boolean {
	if (!isPublicOwner(owner)) return owner.workspace === workspace
	return queue.isPublic || queue.name === owner.queue
}

/** Records of earlier versions don't tell, and have a workspace wherever a key was needed. */
function isPublicOwner({workspace, isPublic}: RecordOwner): boolean {
	return isPublic ?? workspace === ""
}
