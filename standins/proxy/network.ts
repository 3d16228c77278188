/** The links between the processes of a scenario, one per pair and service, created on first use. */
import {Link, type LinkOptions} from "./link.js"
import {type Trap} from "./trap.js"

export const CutDirection = {both: "both", aToB: "a-to-b", bToA: "b-to-a"} as const
export type CutDirection = (typeof CutDirection)[keyof typeof CutDirection]

export type ProcessNames = ReadonlySet<string>

export class Network {
	readonly #links = new Map<string, {link: Link; url: string}>()

	/** Returns the URL at which `from` reaches `to`; it stays the same when the target's port changes. */
	async connect(options: LinkOptions): Promise<string> {
		const name = `${options.from}>${options.to}/${options.service ?? ""}`
		const known = this.#links.get(name)
		if (known !== undefined) {
			known.link.targetPort = options.targetPort
			return known.url
		}
		const link = new Link(options)
		const url = `http://127.0.0.1:${await link.listen()}`
		this.#links.set(name, {link, url})
		return url
	}

	cut(a: ProcessNames, b: ProcessNames, direction: CutDirection): void {
		const aToB = direction !== CutDirection.bToA
		const bToA = direction !== CutDirection.aToB
		for (const link of this.#listLinks(a, b)) {
			link.cut.forward ||= aToB
			link.cut.backward ||= bToA
		}
		for (const link of this.#listLinks(b, a)) {
			link.cut.forward ||= bToA
			link.cut.backward ||= aToB
		}
	}

	heal(): void {
		for (const {link} of this.#links.values()) link.heal()
	}

	silence(a: ProcessNames, b: ProcessNames): void {
		for (const link of [...this.#listLinks(a, b), ...this.#listLinks(b, a)])
			link.silenceConnections()
	}

	reset(a: ProcessNames, b: ProcessNames): void {
		for (const link of [...this.#listLinks(a, b), ...this.#listLinks(b, a)]) link.resetConnections()
	}

	/** Sets a trap on every link from one of `from` to one of `to`. */
	addTrap(from: ProcessNames, to: ProcessNames, trap: Trap): void {
		for (const link of this.#listLinks(from, to)) link.traps.push(trap)
	}

	close(): void {
		for (const {link} of this.#links.values()) link.close()
	}

	#listLinks(from: ProcessNames, to: ProcessNames): Link[] {
		return [...this.#links.values()]
			.map(({link}) => link)
			.filter(link => from.has(link.from) && to.has(link.to))
	}
}
