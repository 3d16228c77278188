/** The callers of a scenario. Records what each requested, under which key, and every reply it received. */
import {
	type JobView,
	type RanState,
	JobState,
	deriveJobId,
	jobSpecSchema
} from "../../src/internal.js"
import {formatCallerToken} from "./bundle-author.js"
import {sendRequest} from "./http.js"
import {NodeRole} from "./nodes.js"
import {type Rig} from "./rig.js"
import {waitUntil, pauseFor} from "./wait.js"

const ACCEPT_TIMEOUT_MS = 45000
const END_TIMEOUT_MS = 90000
const LONG_POLL_MS = 1500
const RETRY_PAUSE_MS = 100

export interface SubmitOptions {
	readonly job: string
	readonly workspace: string
	readonly spec: Readonly<Record<string, unknown>>
	readonly runMs: number
	readonly answerBytes: number
	/** Hosts to send the request to, in turn; empty for every live one. */
	readonly hosts: readonly string[]
	/** Send to all the hosts at the same time. */
	readonly everywhere: boolean
	/** Stop at the first reply, also if it allows a retry. */
	readonly once: boolean
}

export interface CallerReply {
	readonly host: string
	readonly atWallMs: number
	readonly status: number
	readonly reason: string
	readonly ran: RanState | ""
	readonly askAgain: boolean
	readonly job: JobView | undefined
}

export interface SubmittedJob {
	readonly name: string
	readonly id: string
	readonly workspace: string
	readonly spec: ReturnType<typeof jobSpecSchema.parse>
	readonly answer: string
	readonly replies: CallerReply[]
	/** Replies to callers of other workspaces that tried to read this job. */
	readonly foreignReplies: CallerReply[]
	ended: JobView | undefined
	endedAtWallMs: number | undefined
	pending: Promise<void>
}

export class Callers {
	readonly jobs = new Map<string, SubmittedJob>()
	readonly #rig: Rig
	#isClosed = false

	constructor(rig: Rig) {
		this.#rig = rig
	}

	close(): void {
		this.#isClosed = true
	}

	/** Starts the requests without waiting; `pending` resolves after the last reply. */
	submit(options: SubmitOptions): void {
		const job = this.jobs.get(options.job) ?? this.#createJob(options)
		this.jobs.set(options.job, job)
		const requests = options.everywhere
			? Promise.all(
					this.#listHosts(options).map(host => this.#submitUntilFinalReply(job, [host], options))
				)
			: this.#submitUntilFinalReply(job, options.hosts, options)
		job.pending = Promise.all([job.pending, requests]).then(() => undefined)
	}

	async cancel(name: string, host?: string): Promise<void> {
		const job = this.find(name)
		await waitUntil(`the cancellation of ${name} is accepted`, ACCEPT_TIMEOUT_MS, async () => {
			for (const target of host === undefined ? this.#listLiveHosts() : [host]) {
				const reply = await this.#request(
					target,
					job.workspace,
					"POST",
					`/v1/jobs/${job.id}/cancel`
				)
				if (reply.status === 200 || reply.reason === "already-ended") return true
			}
			return undefined
		})
	}

	/** Reads a job as a caller of another workspace, at every live host. */
	async askAs(name: string, workspace: string): Promise<void> {
		const job = this.find(name)
		for (const host of this.#listLiveHosts())
			job.foreignReplies.push(await this.#request(host, workspace, "GET", `/v1/jobs/${job.id}`))
	}

	/** Returns the status with which one host answers a request that bears the workspace's token. */
	async probe(host: string, workspace: string): Promise<number> {
		return (await this.#request(host, workspace, "GET", "/v1/jobs")).status
	}

	/** Waits until one of the hosts, or of all live ones, reports the job's end. */
	async waitForEnd(name: string, hosts: readonly string[] = []): Promise<JobView> {
		const job = this.find(name)
		return waitUntil(`${name} ends`, END_TIMEOUT_MS, async () => {
			for (const host of hosts.length > 0 ? hosts : this.#listLiveHosts()) {
				const path = `/v1/jobs/${job.id}?waitMs=${LONG_POLL_MS}`
				const reply = await this.#request(host, job.workspace, "GET", path)
				if (reply.job?.state !== JobState.ended) continue
				job.ended = reply.job
				job.endedAtWallMs ??= reply.atWallMs
				return reply.job
			}
			return undefined
		})
	}

	find(name: string): SubmittedJob {
		const job = this.jobs.get(name)
		if (job === undefined) throw new Error(`unknown job ${name}`)
		return job
	}

	#createJob({job, workspace, spec, runMs, answerBytes}: SubmitOptions): SubmittedJob {
		const answer = `answer-of-${job}`.padEnd(answerBytes, "x")
		const payload = JSON.stringify({runMs, answer})
		return {
			name: job,
			id: deriveJobId(workspace, "clerk", job),
			workspace,
			spec: jobSpecSchema.parse({
				service: "parcel-sort",
				payload,
				declaredRunMs: Math.max(1, runMs),
				...spec
			}),
			answer,
			replies: [],
			foreignReplies: [],
			ended: undefined,
			endedAtWallMs: undefined,
			pending: Promise.resolve()
		}
	}

	async #submitUntilFinalReply(
		job: SubmittedJob,
		hosts: readonly string[],
		{once}: SubmitOptions
	): Promise<void> {
		const giveUpAt = performance.now() + ACCEPT_TIMEOUT_MS
		while (performance.now() < giveUpAt && !this.#isClosed) {
			for (const host of hosts.length > 0 ? hosts : this.#listLiveHosts()) {
				const reply = await this.#request(host, job.workspace, "POST", "/v1/jobs", job)
				job.replies.push(reply)
				if (once || reply.job !== undefined || isFinalRefusal(reply)) return
			}
			await pauseFor(RETRY_PAUSE_MS)
		}
	}

	async #request(
		host: string,
		workspace: string,
		method: "GET" | "POST",
		path: string,
		job?: SubmittedJob
	): Promise<CallerReply> {
		const token = formatCallerToken(workspace)
		const body = job?.spec
		const key = job === undefined ? {} : {key: job.name}
		try {
			const url = `${this.#rig.findCallerUrl(host)}${path}`
			const timeoutMs = 12000
			const answer = await sendRequest(url, {method, token, body, timeoutMs, ...key})
			return buildReply(host, answer.status, answer.body)
		} catch (error) {
			const reason = error instanceof Error ? error.message : String(error)
			return {...buildReply(host, 0, {}), reason}
		}
	}

	#listHosts({hosts}: SubmitOptions): readonly string[] {
		return hosts.length > 0 ? hosts : this.#listLiveHosts()
	}

	#listLiveHosts(): string[] {
		return this.#rig.listLive(NodeRole.host).map(({name}) => name)
	}
}

export function isAccepted(job: SubmittedJob): boolean {
	return job.replies.some(({job: view}) => view !== undefined)
}

function isFinalRefusal({status, askAgain}: CallerReply): boolean {
	return status >= 400 && !askAgain
}

function buildReply(host: string, status: number, body: unknown): CallerReply {
	const problem = body as {reason?: string; ran?: RanState; askAgain?: boolean}
	const isJob = status === 200 || status === 201
	return {
		host,
		atWallMs: Date.now(),
		status,
		reason: problem.reason ?? "",
		ran: problem.ran ?? "",
		askAgain: problem.askAgain ?? status === 0,
		job: isJob ? (body as JobView) : undefined
	}
}
