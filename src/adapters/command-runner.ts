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
export interface CommandExecutor {
	readonly kinds: readonly CommandKind[]
	execute(command: Command): Promise<Result<unknown, CallError>>
}

/** Is notified of every finished call. */
export type CallObserver = (kind: CommandKind, result: string, tookMs: number) => void

const OK = "ok"

export class CommandRunner {
	readonly #board: Board
	readonly #executors = new Map<CommandKind, CommandExecutor>()
	readonly #observe: CallObserver
	#inFlight = 0

	constructor(
		board: Board,
		executors: readonly CommandExecutor[],
		observe: CallObserver = () => undefined
	) {
		this.#board = board
		this.#observe = observe
		for (const executor of executors)
			for (const kind of executor.kinds) this.#executors.set(kind, executor)
	}

	/** Number of commands that are being executed. */
	get inFlight(): number {
		return this.#inFlight
	}

	/** Takes every command out of the outbox and starts it. */
	drain(): void {
		for (const [id, command] of [...this.#board.outbox.entries()]) {
			this.#board.outbox.take(id)
			void this.#run(command)
		}
	}

	async #run(command: Command): Promise<void> {
		const executor = this.#executors.get(command.kind)
		if (executor === undefined) throw new InvariantError(`no executor for command ${command.kind}`)
		this.#inFlight++
		const startedAt = performance.now()
		let result: Result<unknown, CallError>
		try {
			result = await executor.execute(command)
		} catch (error) {
			const detail = error instanceof Error ? error.message : String(error)
			result = err(new TransportError(command.target, detail, true))
		}
		this.#inFlight--
		const outcome = result.isOk() ? OK : result.error.name
		this.#observe(command.kind, outcome, performance.now() - startedAt)
		this.#board.completions.set(command.id, {command, result} as Completion)
	}
}
