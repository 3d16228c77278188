/** Base classes of the tool's commands: printing of results, and access to the hosts. */
import {Command, Option} from "clipanion"
import {type Result} from "neverthrow"
import {ApiClient} from "./client.js"
import {ExitCode, findExitCode} from "./exit-code.js"

const DEFAULT_HOSTS = "http://127.0.0.1:7400"

/** A command that prints one result, as text or JSON. */
export abstract class PrintingCommand extends Command {
	json = Option.Boolean("--json", false, {description: "Print JSON"})

	/** Prints a result, as JSON or as `format` renders it, and returns the exit code. */
	print<T>(
		result: Result<T, Error>,
		format: (value: T) => string,
		chooseExitCode: (value: T) => ExitCode = () => ExitCode.ok
	): ExitCode {
		if (result.isErr()) return this.printError(result.error)
		const text = this.json ? JSON.stringify(result.value, null, 2) : format(result.value)
		this.context.stdout.write(`${text}\n`)
		return chooseExitCode(result.value)
	}

	printError(error: Error): ExitCode {
		const problem: unknown = "problem" in error ? error.problem : {detail: error.message}
		const text = this.json ? JSON.stringify(problem, null, 2) : error.message
		this.context.stderr.write(`${text}\n`)
		return findExitCode(error)
	}
}

/** A command that calls the API of the hosts. */
export abstract class HostCommand extends PrintingCommand {
	hosts = Option.String("--hosts", {
		description: `Base URLs of entry hosts, separated by commas (CARDAMOMHOOK_HOSTS, or ${DEFAULT_HOSTS})`
	})
	token = Option.String("--token", {description: "Bearer token (CARDAMOMHOOK_TOKEN)"})

	buildClient(): ApiClient {
		const hosts = this.hosts ?? process.env.CARDAMOMHOOK_HOSTS ?? DEFAULT_HOSTS
		const token = this.token ?? process.env.CARDAMOMHOOK_TOKEN ?? ""
		return new ApiClient(hosts.split(","), token)
	}
}
