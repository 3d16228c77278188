/**
 * Who may use a workflow. Its owner is settled at acceptance and is part of its record: what a queue needed a key for stays with
 * the workspace of that key, whatever the configuration says later about the queue, the key or the workspace. What was accepted
 * by a public queue is public for good.
 */
import {type Result} from "neverthrow"
import {z} from "zod"
import {type MalformedError, type QueueConfig, decodeJson, hashText} from "../internal.js"

/** A caller whose key, if the queue needs one, has been checked. */
export interface WorkflowCaller {
	readonly queue: QueueConfig
	/** Undefined if the caller has no key of a workspace. */
	readonly workspace: string | undefined
}

/** The fields of a workflow's record that name its owner. */
export interface WorkflowOwner {
	readonly workspace: string
	readonly isPublic?: boolean | undefined
}

const PUBLIC_TAG = "public"

const ownerSchema = z.object({
	workspace: z.string(),
	queue: z.string(),
	isPublic: z.boolean().optional()
})
export type RecordOwner = z.infer<typeof ownerSchema>

export function decodeRecordOwner(text: string): Result<RecordOwner, MalformedError> {
	return decodeJson("workflow", ownerSchema, text)
}

/** True if the caller may read and cancel the owner's workflow. */
export function mayUse({workspace}: WorkflowCaller, owner: WorkflowOwner): boolean {
	return isPublicOwner(owner) || owner.workspace === workspace
}

/** True if a submission by the caller may be a repetition of the one that the owner's workflow was accepted with. */
export function mayRepeat({queue, workspace}: WorkflowCaller, owner: RecordOwner): boolean {
	if (!isPublicOwner(owner)) return owner.workspace === workspace
	return queue.isPublic || queue.name === owner.queue
}

/** The owner of what the caller submits. */
export function findCallerOwner({queue, workspace = ""}: WorkflowCaller): WorkflowOwner {
	return {workspace, isPublic: queue.isPublic}
}

/** Stands for the owner in the keys of rows; all public workflows have one. */
export function formatOwnerTag(owner: WorkflowOwner): string {
	return isPublicOwner(owner) ? PUBLIC_TAG : hashText(owner.workspace)
}

/** Records of earlier versions don't tell, and have a workspace wherever a key was needed. */
function isPublicOwner({workspace, isPublic}: WorkflowOwner): boolean {
	return isPublic ?? workspace === ""
}
