/** Creates, signs and rolls out the next generation. If two operators race, one of them gets a conflict. */
import {Option} from "clipanion"
import {err, ok, type Result} from "neverthrow"
import {
	type BundleContent,
	type BundleView,
	type SignedBundle,
	ReasonCode,
	signBundle
} from "../internal.js"
import {findAdoptionExitCode, formatRolloutResult, waitForAdoption} from "./adoption.js"
import {HostCommand} from "./base.js"
import {type ApiClient, type ApiError, ProblemError} from "./client.js"
import {type ExitCode} from "./exit-code.js"
import {loadPrivateKey} from "./files.js"
import {getCurrentBundle} from "./history.js"

const RETRIES_MAX = 10

export function putBundle(
	client: ApiClient,
	body: SignedBundle
): Promise<Result<BundleView, ApiError>> {
	return client.call<BundleView>({method: "PUT", path: "/v1/bundle", body})
}

/** Computes the content of the next generation from the current bundle. */
export type ContentChange = (
	current: SignedBundle | undefined
) => Result<BundleContent, Error> | Promise<Result<BundleContent, Error>>

/** A command that rolls a bundle out. */
export abstract class RolloutCommand extends HostCommand {
	/** Waits until the rolled-out bundle is in force, and prints its state in each zone. */
	async printAdoption(
		client: ApiClient,
		bundle: SignedBundle,
		earlier: SignedBundle | undefined
	): Promise<ExitCode> {
		const result = await waitForAdoption(client, bundle, earlier)
		return this.print(ok(result), formatRolloutResult, findAdoptionExitCode)
	}
}

/** A command that creates a new generation. */
export abstract class GenerationCommand extends RolloutCommand {
	key = Option.String("--key", {required: true, description: "File of the signing key"})
	keyId = Option.String("--key-id", "main", {
		description: "Name of the key in the hosts' settings (main)"
	})
	note = Option.String("--note", "", {description: "Reason for the change, kept in the history"})
	retry = Option.Boolean("--retry", false, {
		description: "After a conflict, apply the change to the new generation and try again"
	})

	/** Rolls out the content that `change` computes, and waits until the hosts have adopted it. */
	async rollOutNext(change: ContentChange, note: string): Promise<ExitCode> {
		const key = loadPrivateKey(this.key)
		if (key.isErr()) return this.printError(key.error)
		const client = this.buildClient()
		for (let attempt = 0; ; attempt++) {
			const current = await getCurrentBundle(client)
			if (current.isErr()) return this.printError(current.error)
			const answer = await this.#tryOnce(client, key.value, current.value, change, note)
			if (answer.isOk()) return this.printAdoption(client, answer.value, current.value)
			const mayRetry = this.retry && attempt < RETRIES_MAX
			if (!mayRetry || !isConflict(answer.error)) return this.printError(answer.error)
		}
	}

	async #tryOnce(
		client: ApiClient,
		key: string,
		current: SignedBundle | undefined,
		change: ContentChange,
		note: string
	): Promise<Result<SignedBundle, Error>> {
		const content = await change(current)
		if (content.isErr()) return err(content.error)
		const generation = (current?.generation ?? 0) + 1
		const text = this.note === "" ? note : this.note
		const bundle = signBundle(generation, content.value, this.keyId, key, text)
		return (await putBundle(client, bundle)).map(() => bundle)
	}
}

function isConflict(error: Error): boolean {
	return error instanceof ProblemError && error.problem.reason === ReasonCode.generationConflict
}
