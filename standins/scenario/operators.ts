/** The operators of a scenario. They roll bundles out and record which generations the hosts report, and when. */
import {type BundleView} from "../../src/internal.js"
import {type BundleAuthor, type BundleState, OPERATOR_TOKEN} from "./bundle-author.js"
import {type HttpAnswer, sendRequest} from "./http.js"
import {type Node, NodeRole} from "./nodes.js"
import {type Rig} from "./rig.js"
import {waitUntil} from "./wait.js"

const ROLLOUT_TIMEOUT_MS = 45000
const POLL_INTERVAL_MS = 250
const REQUEST_TIMEOUT_MS = 12000

export interface Rollout {
	readonly generation: number
	readonly state: BundleState
	readonly acceptedWallMs: number
}

/** A generation that a host reported to an operator. */
export interface ReportedGeneration {
	readonly host: string
	readonly incarnationNumber: number
	readonly generation: number
	readonly atWallMs: number
}

export class Operators {
	readonly rollouts: Rollout[] = []
	readonly reportedGenerations: ReportedGeneration[] = []
	/** Statuses with which the concurrent roll-outs of `race` were answered. */
	readonly raceStatuses: number[] = []
	readonly #rig: Rig
	readonly #author: BundleAuthor
	#isPolling = true

	constructor(rig: Rig, author: BundleAuthor) {
		this.#rig = rig
		this.#author = author
		void this.#pollHosts()
	}

	close(): void {
		this.#isPolling = false
	}

	get current(): Rollout | undefined {
		return this.rollouts.at(-1)
	}

	/** The generation that this incarnation of the host reported last; 0 if none. */
	findReportedGeneration({name, incarnations}: Node): number {
		const last = this.reportedGenerations.findLast(
			({host, incarnationNumber}) => host === name && incarnationNumber === incarnations.length
		)
		return last?.generation ?? 0
	}

	/** Rolls `state` out as the next generation, at the first of `hosts` that accepts it. */
	async rollOut(state: BundleState, hosts: readonly string[] = []): Promise<void> {
		const generation = (this.current?.generation ?? 0) + 1
		const bundle = this.#author.sign(generation, state)
		const acceptedWallMs = await waitUntil(
			`generation ${generation} is accepted`,
			ROLLOUT_TIMEOUT_MS,
			async () => {
				for (const host of hosts.length > 0 ? hosts : this.#listHosts()) {
					const answer = await this.#put(host, bundle)
					if (answer?.status === 200) return Date.now()
				}
				return undefined
			}
		)
		this.rollouts.push({generation, state, acceptedWallMs})
	}

	/** Rolls out different contents as the same generation at the same time, each at its own host. */
	async race(states: readonly BundleState[], hosts: readonly string[]): Promise<void> {
		const generation = (this.current?.generation ?? 0) + 1
		const answers = await Promise.all(
			states.map((state, index) =>
				this.#put(hosts[index] ?? "", this.#author.sign(generation, state))
			)
		)
		const acceptedWallMs = Date.now()
		for (const [index, answer] of answers.entries()) {
			this.raceStatuses.push(answer?.status ?? 0)
			const state = states[index]
			if (answer?.status === 200 && state !== undefined)
				this.rollouts.push({generation, state, acceptedWallMs})
		}
	}

	async #put(host: string, bundle: unknown): Promise<HttpAnswer | undefined> {
		const url = `${this.#rig.findCallerUrl(host)}/v1/bundle`
		const timeoutMs = REQUEST_TIMEOUT_MS
		try {
			return await sendRequest(url, {method: "PUT", token: OPERATOR_TOKEN, body: bundle, timeoutMs})
		} catch {
			return undefined
		}
	}

	/** Polls the generation of every live host, to detect one that reverts to an older generation. */
	async #pollHosts(): Promise<void> {
		while (this.#isPolling) {
			await Promise.all(this.#listHosts().map(host => this.#recordGeneration(host)))
			await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
		}
	}

	async #recordGeneration(host: string): Promise<void> {
		const incarnationNumber = this.#rig.find(host).incarnations.length
		const url = `${this.#rig.findCallerUrl(host)}/v1/bundle`
		try {
			const answer = await sendRequest(url, {method: "GET", token: OPERATOR_TOKEN})
			if (answer.status !== 200) return
			const {generation} = answer.body as BundleView
			this.reportedGenerations.push({
				host,
				incarnationNumber,
				generation,
				atWallMs: Date.now()
			})
		} catch {
			// The host is cut off, frozen or gone.
		}
	}

	#listHosts(): string[] {
		return this.#rig.listLive(NodeRole.host).map(({name}) => name)
	}
}
