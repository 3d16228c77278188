/** Callers of the demo: they submit jobs to any host, wait for each to end and store its outcome. */
import {readFileSync} from "node:fs"
import {fileURLToPath} from "node:url"
import {request} from "undici"
import {parse} from "yaml"
import {type JobSpec, type JobView, type Refusal, JobState, jobSpecSchema} from "../src/internal.js"
import {type DemoJob} from "./demo-audit.js"

const SUBMIT_ATTEMPTS = 50
const SUBMIT_RETRY_MS = 200
const LONG_POLL_MS = 10000
const END_TIMEOUT_MS = 25000

export interface Caller {
	readonly name: string
	readonly token: string
}

/** Loads a job of `examples/jobs`; a non-empty `serial` makes its answer unique. */
export function loadJob(name: string, serial = ""): JobSpec {
	const path = fileURLToPath(new URL(`../examples/jobs/${name}.yaml`, import.meta.url))
	const spec = jobSpecSchema.parse(parse(readFileSync(path, "utf8")))
	if (serial === "") return spec
	const payload = JSON.parse(spec.payload) as {runMs: number; answer: string}
	const answer = `${payload.answer} (${serial})`
	return {...spec, payload: JSON.stringify({...payload, answer})}
}

/** Submits with the same idempotency key until a host accepts; undefined after a final refusal or the last attempt. */
export async function submitJob(
	urls: readonly string[],
	caller: Caller,
	spec: JobSpec,
	key: string
): Promise<DemoJob | undefined> {
	for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
		const url = urls[attempt % urls.length] ?? ""
		const answer = await sendRequest(url, "POST", "/v1/jobs", caller, spec, key)
		if (answer !== undefined && answer.status < 300) return createDemoJob(answer.body.id, spec)
		if (answer !== undefined && !answer.body.askAgain) return undefined
		await new Promise(resolve => setTimeout(resolve, SUBMIT_RETRY_MS))
	}
	return undefined
}

/** Polls the hosts in turn until the job has ended and stores its outcome, which stays undefined after a timeout. */
export async function waitForJob(
	listUrls: () => readonly string[],
	caller: Caller,
	job: DemoJob
): Promise<void> {
	const giveUpAt = performance.now() + END_TIMEOUT_MS
	for (let attempt = 0; performance.now() < giveUpAt; attempt++) {
		const urls = listUrls()
		const url = urls[attempt % urls.length] ?? ""
		const path = `/v1/jobs/${job.id}?waitMs=${LONG_POLL_MS}`
		const answer = await sendRequest(url, "GET", path, caller)
		if (answer?.status === 200 && answer.body.state === JobState.ended) {
			job.outcome = answer.body.outcome
			return
		}
		if (answer?.status !== 200) await new Promise(resolve => setTimeout(resolve, SUBMIT_RETRY_MS))
	}
}

export function createDemoJob(id: string, spec: JobSpec): DemoJob {
	const {answer} = JSON.parse(spec.payload) as {answer: string}
	const {members} = spec.shape
	const expectedAnswer =
		members === 1 ? answer : JSON.stringify(Array.from({length: members}, () => answer))
	return {id, members, repeatable: spec.repeatable, expectedAnswer, outcome: undefined}
}

async function sendRequest(
	url: string,
	method: "GET" | "POST",
	path: string,
	caller: Caller,
	body?: unknown,
	key = ""
): Promise<{readonly status: number; readonly body: JobView & Refusal} | undefined> {
	try {
		const response = await request(`${url}${path}`, {
			method,
			headers: {
				authorization: `Bearer ${caller.token}`,
				"content-type": "application/json",
				"idempotency-key": key
			},
			body: body === undefined ? null : JSON.stringify(body)
		})
		return {status: response.statusCode, body: (await response.body.json()) as JobView & Refusal}
	} catch {
		// The host can't be reached; the caller tries the next one.
		return undefined
	}
}
