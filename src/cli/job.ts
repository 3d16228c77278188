/** `cardamomhook job …`: submit, show, wait for, cancel and list jobs. */
import {randomUUID} from "node:crypto"
import {Command, Option} from "clipanion"
import {type Result} from "neverthrow"
import {type JobSpec, type JobView, JobState, checkValue, jobSpecSchema} from "../internal.js"
import {HostCommand} from "./base.js"
import {type ApiClient, type ApiError} from "./client.js"
import {ExitCode, findJobExitCode} from "./exit-code.js"
import {loadYaml} from "./files.js"
import {formatTable} from "./table.js"

const CATEGORY = "Jobs"
const LONG_POLL_MS = 20000

export class JobSubmitCommand extends HostCommand {
	static override paths = [["job", "submit"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Submit a job described in a YAML file",
		details:
			"Submitting the same job again with the same key returns the same record. If the answer was lost (exit code 6), submit again with the same key.",
		examples: [
			["Submit", "$0 job submit examples/jobs/address-read.yaml --key letter-4711"],
			["Submit and wait", "$0 job submit examples/jobs/parcel-sort.yaml --key sort-12 --wait"]
		]
	})
	file = Option.String()
	key = Option.String("--key", {
		description: "Idempotency key; if absent, a random one is used and printed"
	})
	wait = Option.Boolean("--wait", false, {description: "Wait until the job has ended"})

	async execute(): Promise<ExitCode> {
		const spec = loadYaml("job file", this.file).andThen(value =>
			checkValue<JobSpec>(`job file ${this.file}`, jobSpecSchema, value)
		)
		if (spec.isErr()) return this.printError(spec.error)
		const client = this.buildClient()
		const key = this.key ?? randomUUID()
		if (this.key === undefined) this.context.stderr.write(`idempotency key ${key}\n`)
		const answer = await client.call<JobView>({
			method: "POST",
			path: "/v1/jobs",
			body: spec.value,
			headers: {"idempotency-key": key}
		})
		if (!this.wait || answer.isErr()) return this.print(answer, formatJob)
		return this.print(await waitForEnd(client, answer.value.id), formatJob, findJobExitCode)
	}
}

export class JobShowCommand extends HostCommand {
	static override paths = [["job", "show"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Show the current record of a job",
		examples: [["Show it", "$0 job show 0a1b2c"]]
	})
	id = Option.String()

	async execute(): Promise<ExitCode> {
		const path = formatPath(this.id)
		return this.print(await this.buildClient().call<JobView>({method: "GET", path}), formatJob)
	}
}

export class JobWaitCommand extends HostCommand {
	static override paths = [["job", "wait"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Wait until a job has ended; exit code 5 if it did not complete",
		examples: [["Wait", "$0 job wait 0a1b2c"]]
	})
	id = Option.String()

	async execute(): Promise<ExitCode> {
		const ended = await waitForEnd(this.buildClient(), this.id)
		return this.print(ended, formatJob, findJobExitCode)
	}
}

export class JobCancelCommand extends HostCommand {
	static override paths = [["job", "cancel"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Request the cancellation of a job; `job wait` shows how it ended",
		examples: [["Cancel", "$0 job cancel 0a1b2c"]]
	})
	id = Option.String()

	async execute(): Promise<ExitCode> {
		const path = `${formatPath(this.id)}/cancel`
		return this.print(await this.buildClient().call<JobView>({method: "POST", path}), formatJob)
	}
}

export class JobListCommand extends HostCommand {
	static override paths = [["job", "list"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "List the caller's own jobs, newest first",
		examples: [["List them", "$0 job list"]]
	})

	async execute(): Promise<ExitCode> {
		const call = {method: "GET", path: "/v1/jobs"} as const
		const answer = await this.buildClient().call<{readonly jobs: readonly JobView[]}>(call)
		return this.print(answer, ({jobs}) => formatJobs(jobs))
	}
}

async function waitForEnd(client: ApiClient, id: string): Promise<Result<JobView, ApiError>> {
	const path = `${formatPath(id)}?waitMs=${LONG_POLL_MS}`
	for (;;) {
		const job = await client.call<JobView>({method: "GET", path})
		if (job.isErr() || job.value.state === JobState.ended) return job
	}
}

function formatPath(id: string): string {
	return `/v1/jobs/${encodeURIComponent(id)}`
}

function formatJobs(jobs: readonly JobView[]): string {
	const rows = jobs.map(job => [job.id, job.service, job.zone, describeState(job), job.key])
	return formatTable(["JOB", "SERVICE", "ZONE", "STATE", "KEY"], rows)
}

function formatJob(job: JobView): string {
	const answer = job.outcome?.answer
	const lines = [formatJobs([job])]
	if (job.outcome?.detail !== undefined) lines.push(`detail: ${job.outcome.detail}`)
	if (answer !== undefined) lines.push(`answer: ${answer}`)
	return lines.join("\n")
}

function describeState({state, outcome}: JobView): string {
	if (outcome === undefined) return state
	return outcome.reason === undefined ? outcome.kind : `${outcome.kind} (${outcome.reason})`
}
