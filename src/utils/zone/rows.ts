/** Keys of the rows that the hosts keep in the platform's table. */
import {type JobRecord, hashText} from "../../internal.js"

export const BUNDLE_KEY = "bundle/current"

/** Only the number of the current generation, written with the bundle; hosts read it each second. */
export const BUNDLE_HEAD_KEY = "bundle/head"

export function formatBundleHistoryKey(generation: number): string {
	return `bundle/history/${String(generation).padStart(12, "0")}`
}

/** Prefix of the rows that name a zone's holder. */
export function formatHolderPrefix(zone: string): string {
	return `zone/${zone}/`
}

export function formatHolderKey(zone: string): string {
	return `${formatHolderPrefix(zone)}holder`
}

export function formatLeaseKey(zone: string): string {
	return `${formatHolderPrefix(zone)}lease`
}

export function formatJobKey(jobId: string): string {
	return `job/${jobId}`
}

/** Rows under this prefix refer to the zone's jobs that have not ended. */
export function formatActivePrefix(zone: string): string {
	return `active/${zone}/`
}

export function formatActiveKey(zone: string, jobId: string): string {
	return `${formatActivePrefix(zone)}${jobId}`
}

/** Rows under this prefix refer to every job of one caller, each with the wall time of its acceptance. */
export function formatCallerPrefix(workspace: string, caller: string): string {
	return `workspace/${workspace}/${caller}/`
}

export function formatCallerKey({
	workspace,
	caller,
	id
}: Pick<JobRecord, "workspace" | "caller" | "id">): string {
	return `${formatCallerPrefix(workspace, caller)}${id}`
}

/** The same workspace, caller and idempotency key give the same job at every host. */
export function deriveJobId(workspace: string, caller: string, key: string): string {
	return hashText(JSON.stringify([workspace, caller, key])).slice(0, 32)
}

/** Run times are corrected per workspace and service. */
export function formatRunTimeKey(workspace: string, service: string): string {
	return `${workspace}/${service}`
}

/** The task id of one gang member in one try; workers refuse to run it twice. */
export function formatTaskId(jobId: string, tryId: string, member: number): string {
	return `${jobId}.${tryId}.${member}`
}

/** Object store key of a large answer; each write that may end the job has its own. */
export function formatAnswerKey(jobId: string, writeId: string): string {
	return `answer/${jobId}/${writeId}`
}
