/** Selects single requests of a link, to hold them or reset their connection at a known point. */

/** `request` before it reaches its target; `answer` after it took effect and before the answer arrives. */
export const TrapPoint = {request: "request", answer: "answer"} as const
export type TrapPoint = (typeof TrapPoint)[keyof typeof TrapPoint]

/** `hold` keeps the bytes until released; `reset` resets the connection. */
export const TrapAction = {hold: "hold", reset: "reset"} as const
export type TrapAction = (typeof TrapAction)[keyof typeof TrapAction]

export interface TrapOptions {
	readonly name: string
	/** Suffix of the request's path. */
	readonly path: string
	/** Text that the request contains; empty for any. */
	readonly contains: string
	readonly at: TrapPoint
	readonly action: TrapAction
	readonly times: number
}

export class Trap {
	readonly options: TrapOptions
	readonly #releases: (() => void)[] = []
	#remaining: number
	#hits = 0

	constructor(options: TrapOptions) {
		this.options = options
		this.#remaining = options.times
	}

	/** Requests that have reached the trap's point. */
	get hits(): number {
		return this.#hits
	}

	/** True if the request is one to trap; at most `times` times. */
	tryMatch(request: string): boolean {
		const {path, contains} = this.options
		if (this.#remaining === 0 || !request.includes(`${path} HTTP/1.1\r\n`)) return false
		if (!request.includes(contains)) return false
		this.#remaining--
		return true
	}

	/** Records that a trapped request reached the trap's point; `release` forwards its bytes. */
	recordHit(release: () => void): void {
		this.#hits++
		this.#releases.push(release)
	}

	/** Forwards the held bytes and traps nothing more. */
	release(): void {
		this.#remaining = 0
		for (const release of this.#releases.splice(0)) release()
	}
}
