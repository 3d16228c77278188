/** Jobs as the clients of the grown site hand them in, and the clients that do it. */
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {request} from "undici"
import {pause} from "./daemon-rig.js"
import {type SiteHost} from "./site-hosts.js"

const MS_PER_S = 1000
const TENANTS = 4
const ASK_INTERVAL_MS = 1500
const ANSWER_TIMEOUT_MS = 3000
const SUBMIT_ATTEMPTS_MAX = 40
const RETRY_MS = 250
const HTTP_NOT_FOUND = 404

interface JobClass {
	readonly name: string
	readonly priority: number
	readonly perSecond: number
	readonly stretch: number
	readonly attempts: number
	readonly targetMs: number
	/** Mean, spread and largest value. */
	readonly workMs: readonly [number, number, number]
	readonly width: readonly [number, number, number]
	readonly stepsMax: number
	readonly cpu: number
	readonly memoryMb: number
	readonly gpu: readonly number[]
	readonly isGang: boolean
	readonly tightShare: number
}

const CLASSES: readonly JobClass[] = [
	{
		name: "envelope-trace",
		priority: 1,
		perSecond: 1,
		stretch: 3,
		attempts: 3,
		targetMs: 1200,
		workMs: [11000, 0.3, 11000],
		width: [13, 0.8, 78],
		stepsMax: 1,
		cpu: 13000,
		memoryMb: 68000,
		gpu: [1, 2, 4, 8, 8],
		isGang: true,
		tightShare: 0.6
	},
	{
		name: "address-read",
		priority: 0,
		perSecond: 5.3,
		stretch: 1.5,
		attempts: 2,
		targetMs: 400,
		workMs: [2500, 0.5, 8000],
		width: [5.4, 0.8, 32],
		stepsMax: 1,
		cpu: 3700,
		memoryMb: 11000,
		gpu: [1, 2, 4, 8, 8],
		isGang: true,
		tightShare: 0.8
	},
	{
		name: "dead-parcel-sort",
		priority: 2,
		perSecond: 1,
		stretch: 3,
		attempts: 4,
		targetMs: 3000,
		workMs: [9500, 0.3, 11000],
		width: [39, 0.8, 230],
		stepsMax: 2,
		cpu: 2800,
		memoryMb: 8200,
		gpu: [1],
		isGang: false,
		tightShare: 0
	}
]

export interface SiteStep {
	readonly count: number
	readonly cpu: number
	readonly mem_mb: number
	readonly gpu: number
	readonly estimate_ms: number
	readonly after: readonly number[]
	readonly gang: boolean
	readonly tightly_coupled: boolean
}

export interface SiteJob {
	readonly id: string
	readonly atMs: number
	readonly route: string
	readonly tenant: number
	readonly workMs: number
	readonly steps: readonly SiteStep[]
	acceptedAt: number | undefined
	completedAt: number | undefined
}

export function createSiteConfig(guaranteedGpu: number) {
	return {
		version: 1,
		routes: CLASSES.map(({name, priority, attempts, stretch, targetMs}) => ({
			name,
			host: "site.example",
			path_prefix: `/${name}/`,
			service: "barua-trace",
			priority,
			max_attempts: attempts,
			stretch,
			target_latency_ms: targetMs
		})),
		limits: {max_body_bytes: 262144},
		tenants: Array.from({length: TENANTS}, (_, index) => ({
			name: `tenant-${index}`,
			api_keys: [`key-${index}`],
			guaranteed: {gpu: guaranteedGpu}
		}))
	}
}

/** Draws the jobs of `lengthS` seconds, in order of time. */
export function drawJobs(seed: number, lengthS: number): SiteJob[] {
	const generator = xoroshiro128plus(seed)
	const random = (): number => uniformFloat64(generator)
	const drawSpread = ([mean, spread, max]: readonly [number, number, number]): number => {
		const gaussian = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
		return Math.min(max, mean * Math.exp(spread * gaussian - (spread * spread) / 2))
	}
	const jobs = CLASSES.flatMap(kind => {
		const count = Math.round(kind.perSecond * lengthS)
		return Array.from({length: count}, (): SiteJob => {
			const workMs = Math.max(100, Math.round(drawSpread(kind.workMs)))
			const gpu = kind.gpu[Math.floor(random() * kind.gpu.length)] ?? 1
			const steps = 1 + Math.floor(random() * kind.stepsMax)
			const isTight = random() < kind.tightShare
			return {
				id: Math.floor(random() * 2 ** 52)
					.toString(16)
					.padStart(16, "0"),
				atMs: random() * lengthS * MS_PER_S,
				route: kind.name,
				tenant: Math.floor(random() * TENANTS),
				workMs,
				steps: Array.from({length: steps}, (_, index) => ({
					count: Math.max(1, Math.round(drawSpread(kind.width))),
					cpu: kind.cpu,
					mem_mb: kind.memoryMb,
					gpu,
					estimate_ms: Math.round(workMs * (0.5 + random())),
					after: index === 0 ? [] : [index - 1],
					gang: kind.isGang,
					tightly_coupled: isTight
				})),
				acceptedAt: undefined,
				completedAt: undefined
			}
		})
	})
	return jobs.sort((first, second) => first.atMs - second.atMs)
}

/** Hands one job in at hosts drawn at random, and asks for it until it has ended or the time is over. */
export class SiteClient {
	readonly #hosts: readonly SiteHost[]
	#isStopped = false

	constructor(hosts: readonly SiteHost[]) {
		this.#hosts = hosts
	}

	stop(): void {
		this.#isStopped = true
	}

	async runJob(job: SiteJob): Promise<void> {
		await pause(job.atMs)
		for (let attempt = 0; attempt < SUBMIT_ATTEMPTS_MAX && !this.#isStopped; attempt++) {
			const status = await this.#call(job, "POST")
			if (status.code === HTTP_NOT_FOUND) return
			if (status.code >= 200 && status.code < 300) {
				job.acceptedAt = Date.now()
				break
			}
			await pause(RETRY_MS)
		}
		while (job.acceptedAt !== undefined && !this.#isStopped) {
			await pause(ASK_INTERVAL_MS)
			const {state} = await this.#call(job, "GET")
			if (state === "completed" || state === "failed") {
				job.completedAt = Date.now()
				return
			}
		}
	}

	async #call(job: SiteJob, method: "GET" | "POST"): Promise<{code: number; state: string}> {
		const host = this.#hosts[Math.floor(Math.random() * this.#hosts.length)]
		const {workMs, steps, route, id, tenant} = job
		const [first] = steps
		const payload = {
			workMs,
			gang: first?.gang === true ? first.count : 1,
			cpu: first?.cpu,
			gpu: first?.gpu,
			steps: steps.map(({count, after}) => ({count, after}))
		}
		try {
			const {statusCode, body} = await request(`${host?.url ?? ""}/${route}/${id}`, {
				method,
				headers: {
					host: "site.example",
					authorization: `Bearer key-${tenant}`,
					"content-type": "application/json",
					"x-deadline-ms": `${ANSWER_TIMEOUT_MS}`
				},
				body: method === "POST" ? JSON.stringify({spec: JSON.stringify(payload), steps}) : null,
				signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS)
			})
			const text = await body.text()
			const {state = ""} = (text.startsWith("{") ? JSON.parse(text) : {}) as {state?: string}
			return {code: statusCode, state}
		} catch {
			return {code: 0, state: ""}
		}
	}
}
