/** Carries commands out of the outbox to whichever carrier knows their kind, and posts what came of each. */
import {err, type Result} from "neverthrow"
import {
	type Board,
	type CallError,
	type Command,
	type CommandKind,
	type Completion,
	InvariantError,
	TransportError
} from "../internal.js"

/** Carries out commands of some kinds; translates and nothing else. */
export interface Carrier {
	readonly kinds: readonly CommandKind[]
	carry(command: Command): Promise<Result<unknown, CallError>>
}

/** Learns of every call that has come to its end. */
export type CallObserver = (kind: CommandKind, result: string, tookMs: number) => void

const OK = "ok"

export class CommandRunner {
	readonly #board: Board
	readonly #carriers = new Map<CommandKind, Carrier>()
	readonly #observe: CallObserver
	#busy = 0

	constructor(board: Board, carriers: readonly Carrier[], observe: CallObserver = () => undefined) {
		this.#board = board
		this.#observe = observe
		for (const carrier of carriers)
			for (const kind of carrier.kinds) this.#carriers.set(kind, carrier)
	}

	/** Commands that are under way. */
	get busy(): number {
		return this.#busy
	}

	/** Takes every command out of the outbox and starts it. */
	drain(): void {
		for (const [id, command] of [...this.#board.outbox.entries()]) {
			this.#board.outbox.take(id)
			void this.#run(command)
		}
	}

	async #run(command: Command): Promise<void> {
		const carrier = this.#carriers.get(command.kind)
		if (carrier === undefined) throw new InvariantError(`no carrier for ${command.kind}`)
		this.#busy++
		const startedAt = performance.now()
		let result: Result<unknown, CallError>
		try {
			result = await carrier.carry(command)
		} catch (error) {
			const why = error instanceof Error ? error.message : String(error)
			result = err(new TransportError(command.target, why, true))
		}
		this.#busy--
		const outcome = result.isOk() ? OK : result.error.name
		this.#observe(command.kind, outcome, performance.now() - startedAt)
		this.#board.completions.set(command.id, {command, result} as Completion)
	}
}
