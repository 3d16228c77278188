/** State that the steps, conditions and expectations of one scenario share. */
import {type RandomGenerator} from "pure-rand/types/RandomGenerator"
import {uniformInt} from "pure-rand/distribution/uniformInt"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {type ProcessNames} from "../proxy/network.js"
import {type Trap} from "../proxy/trap.js"
import {BundleAuthor} from "./bundle-author.js"
import {Callers} from "./callers.js"
import {type Run, collectRuns} from "./journal.js"
import {NodeRole} from "./nodes.js"
import {Operators} from "./operators.js"
import {CALLERS, PLATFORM, Rig} from "./rig.js"
import {type Scenario, ScenarioError} from "./schema.js"

export class ScenarioContext {
	readonly scenario: Scenario
	readonly rig: Rig
	readonly callers: Callers
	readonly operators: Operators
	readonly traps = new Map<string, Trap>()
	/** Wall-clock times, by name, that expectations refer to. */
	readonly marks = new Map<string, number>()
	readonly #bindings = new Map<string, string>()
	readonly #random: RandomGenerator
	readonly #print: (line: string) => void
	readonly #startedAt = performance.now()

	constructor(scenario: Scenario, seed: number, print: (line: string) => void) {
		this.scenario = scenario
		const author = new BundleAuthor(scenario.topology)
		this.rig = new Rig(scenario.topology, author)
		this.callers = new Callers(this.rig)
		this.operators = new Operators(this.rig, author)
		this.#random = xoroshiro128plus(seed)
		this.#print = print
	}

	log(line: string): void {
		const atMs = Math.round(performance.now() - this.#startedAt)
		this.#print(`${String(atMs).padStart(6)} ms  ${line}`)
	}

	listRuns(): Run[] {
		return collectRuns(this.rig.nodes.values())
	}

	/** Draws a number from 0 to `limit` - 1; the sequence depends only on the seed. */
	pickNumber(limit: number): number {
		return uniformInt(this.#random, 0, limit - 1)
	}

	/** Names a process for later steps, which refer to it as `@NAME`. */
	bind(name: string, node: string): void {
		this.#bindings.set(name, node)
	}

	/** Resolves a name, `holder:ZONE`, `standby:ZONE`, `runner:JOB` or `@BINDING` to one process. */
	async findOne(pattern: string): Promise<string> {
		const [node, ...rest] = [...(await this.findAll(pattern))]
		if (node === undefined || rest.length > 0)
			throw new ScenarioError(
				`${pattern} matches ${rest.length + (node === undefined ? 0 : 1)} processes, expected 1`
			)
		return node
	}

	/**
	 * Resolves a pattern to processes. Beyond the patterns of `findOne` it knows a zone, `hosts:ZONE`, `workers:ZONE`,
	 * `platform`, `callers`, and `others:ZONE` for the platform and all processes outside a zone.
	 */
	async findAll(pattern: string): Promise<ProcessNames> {
		const [kind = "", name = ""] = pattern.split(":")
		if (pattern === PLATFORM || pattern === CALLERS) return new Set([pattern])
		if (pattern.startsWith("@")) return new Set([this.#findBinding(pattern.slice(1))])
		if (kind === "holder") return new Set([await this.#findHolder(name)])
		if (kind === "standby") return new Set([await this.#findStandby(name)])
		if (kind === "runner") return new Set(this.#listRunners(name))
		if (kind === "others")
			return new Set([PLATFORM, ...this.#listNodes(node => node.zone !== name)])
		if (kind === "hosts")
			return new Set(this.#listNodes(node => node.zone === name && node.role === NodeRole.host))
		if (kind === "workers")
			return new Set(this.#listNodes(node => node.zone === name && node.role === NodeRole.worker))
		if (this.rig.nodes.has(pattern)) return new Set([pattern])
		const inZone = this.#listNodes(({zone}) => zone === pattern)
		if (inZone.length === 0) throw new ScenarioError(`no process or zone matches ${pattern}`)
		return new Set(inZone)
	}

	#listNodes(isIncluded: (node: {zone: string; role: NodeRole}) => boolean): string[] {
		return [...this.rig.nodes.values()].filter(isIncluded).map(({name}) => name)
	}

	/** Lists the processes that run members of the job now. */
	#listRunners(job: string): string[] {
		const {id} = this.callers.find(job)
		const running = this.listRuns().filter(run => run.jobId === id && run.endedWallMs === undefined)
		return running.map(({node}) => node)
	}

	#findBinding(name: string): string {
		const node = this.#bindings.get(name)
		if (node === undefined) throw new ScenarioError(`no process is bound to ${name}`)
		return node
	}

	async #findHolder(zone: string): Promise<string> {
		const holder = await this.rig.readHolder(zone)
		if (holder === "") throw new ScenarioError(`${zone} has no holder`)
		return holder
	}

	async #findStandby(zone: string): Promise<string> {
		const holder = await this.rig.readHolder(zone)
		const standby = this.rig.listLive(NodeRole.host, zone).find(({name}) => name !== holder)
		if (standby === undefined) throw new ScenarioError(`${zone} has no standby`)
		return standby.name
	}
}
