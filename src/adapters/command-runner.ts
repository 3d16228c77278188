/** Dispatches the commands in the outbox to the executors of their kinds and posts the completions. */
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

/** Executes commands of some kinds: translates them to a protocol and the answers back, and makes no decisions. */
export interface Carrier {
	readonly kinds: readonly CommandKind[]
	carry(command: Command): Promise<Result<unknown, CallError>>
}

/** Is notified of every finished call. */
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

	/** Number of commands that are being executed. */
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
		if (carrier === undefined) throw new InvariantError(`no executor for command ${command.kind}`)
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
