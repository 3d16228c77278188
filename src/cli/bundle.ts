/** `cardamomhook bundle …`: check, sign, roll out and roll back bundles, and show what is in force. */
import {Command, Option} from "clipanion"
import {err, ok, type Result} from "neverthrow"
import {
	type Adoption,
	type SignedBundle,
	MalformedError,
	decodeSignedBundle,
	signBundle
} from "../internal.js"
import {HostCommand, PrintingCommand} from "./base.js"
import {getClusterView} from "./cluster-view.js"
import {type ExitCode} from "./exit-code.js"
import {loadBundleContent, loadPrivateKey, loadText, storeText} from "./files.js"
import {GenerationCommand, RolloutCommand, putBundle} from "./generation.js"
import {type HistoryAnswer, getCurrentBundle, getGeneration} from "./history.js"
import {formatTable} from "./table.js"

const CATEGORY = "Bundles"

interface BundleStatus {
	readonly generation: number
	readonly keyId: string
	readonly note: string
	readonly adopted: readonly Adoption[]
}

export class BundleCheckCommand extends PrintingCommand {
	static override paths = [["bundle", "check"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Check a bundle file",
		examples: [["Check a file before it is signed", "$0 bundle check bundle.yaml"]]
	})
	file = Option.String()

	execute(): Promise<ExitCode> {
		const content = loadBundleContent(this.file)
		return Promise.resolve(
			this.print(
				content,
				({workspaces, zones}) =>
					`the bundle is valid: ${workspaces.length} workspaces, ${zones.length} zones`
			)
		)
	}
}

export class BundleSignCommand extends HostCommand {
	static override paths = [["bundle", "sign"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Sign a bundle file for a generation",
		details:
			"Without --generation, asks a host for the current generation and signs for the next one.",
		examples: [
			[
				"Sign as generation 12, without any host",
				"$0 bundle sign bundle.yaml --key signing.key --generation 12 --out signed.json"
			]
		]
	})
	file = Option.String()
	key = Option.String("--key", {required: true, description: "File of the signing key"})
	keyId = Option.String("--key-id", "main", {
		description: "Name of the key in the hosts' settings (main)"
	})
	generation = Option.String("--generation", {description: "Generation number"})
	out = Option.String("--out", {required: true, description: "File for the signed bundle"})
	note = Option.String("--note", "", {description: "Reason for the change, kept in the history"})

	async execute(): Promise<ExitCode> {
		const content = loadBundleContent(this.file)
		const key = loadPrivateKey(this.key)
		if (content.isErr()) return this.printError(content.error)
		if (key.isErr()) return this.printError(key.error)
		const generation = await this.#chooseGeneration()
		if (generation.isErr()) return this.printError(generation.error)
		const bundle = signBundle(generation.value, content.value, this.keyId, key.value, this.note)
		const stored = storeText(this.out, `${JSON.stringify(bundle, null, 2)}\n`)
		return this.print(
			stored.map(file => ({generation: bundle.generation, file})),
			signed => `signed as generation ${signed.generation} in ${signed.file}`
		)
	}

	async #chooseGeneration(): Promise<Result<number, Error>> {
		if (this.generation !== undefined) return parseGeneration(this.generation)
		const current = await getCurrentBundle(this.buildClient())
		return current.map(bundle => (bundle?.generation ?? 0) + 1)
	}
}

export class BundleRolloutCommand extends RolloutCommand {
	static override paths = [["bundle", "rollout"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Roll out a signed bundle",
		details:
			"Its generation must be the next one. If another operator has rolled out that generation, the command changes nothing and exits with code 4: sign again for the next generation.",
		examples: [["Roll out", "$0 bundle rollout signed.json"]]
	})
	file = Option.String()

	async execute(): Promise<ExitCode> {
		const bundle = loadText("signed bundle", this.file).andThen(decodeSignedBundle)
		if (bundle.isErr()) return this.printError(bundle.error)
		const client = this.buildClient()
		const earlier = await getCurrentBundle(client)
		if (earlier.isErr()) return this.printError(earlier.error)
		const answer = await putBundle(client, bundle.value)
		if (answer.isErr()) return this.printError(answer.error)
		return this.printAdoption(client, bundle.value, earlier.value)
	}
}

export class BundleRollbackCommand extends GenerationCommand {
	static override paths = [["bundle", "rollback"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Roll out the content of an earlier generation again, as a new generation",
		examples: [["Return to the content of generation 7", "$0 bundle rollback 7 --key signing.key"]]
	})
	generation = Option.String()

	async execute(): Promise<ExitCode> {
		const wanted = parseGeneration(this.generation)
		if (wanted.isErr()) return this.printError(wanted.error)
		return this.rollOutNext(() => this.#load(wanted.value), `rollback to ${wanted.value}`)
	}

	async #load(wanted: number): Promise<Result<SignedBundle["content"], Error>> {
		const earlier = await getGeneration(this.buildClient(), wanted)
		return earlier.map(({content}) => content)
	}
}

export class BundleStatusCommand extends HostCommand {
	static override paths = [["bundle", "status"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Show the generation in force and which hosts have adopted it",
		examples: [["Show it", "$0 bundle status"]]
	})

	async execute(): Promise<ExitCode> {
		const client = this.buildClient()
		const current = await getCurrentBundle(client)
		if (current.isErr()) return this.printError(current.error)
		const view = await getClusterView(client)
		return this.print(
			view.map(({adopted}) => ({
				generation: current.value?.generation ?? 0,
				keyId: current.value?.keyId ?? "",
				note: current.value?.note ?? "",
				adopted
			})),
			formatStatus
		)
	}
}

export class BundleHistoryCommand extends HostCommand {
	static override paths = [["bundle", "history"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "List earlier generations, newest first",
		examples: [["The last five", "$0 bundle history --limit 5"]]
	})
	limit = Option.String("--limit", "20", {description: "How many (20)"})

	async execute(): Promise<ExitCode> {
		const path = `/v1/bundle/history?limit=${encodeURIComponent(this.limit)}`
		const answer = await this.buildClient().call<HistoryAnswer>({method: "GET", path})
		return this.print(answer, formatHistory)
	}
}

function parseGeneration(text: string): Result<number, MalformedError> {
	const generation = Number(text)
	if (Number.isInteger(generation) && generation >= 1) return ok(generation)
	return err(new MalformedError("generation", `"${text}" is not a whole number of at least 1`))
}

function formatStatus({generation, keyId, note, adopted}: BundleStatus): string {
	const hosts = adopted.map(host => [host.zone, host.hostId, host.generation, host.ageMs])
	return [
		`generation ${generation}, signed with ${keyId || "-"}`,
		`note: ${note || "-"}`,
		"",
		formatTable(["ZONE", "HOST", "ADOPTED", "LAST SEEN (MS AGO)"], hosts)
	].join("\n")
}

function formatHistory({bundles}: HistoryAnswer): string {
	const rows = bundles.map(({generation, keyId, content, note}) => {
		const out = content.zones.filter(({inService}) => !inService).map(({name}) => name)
		return [generation, keyId, content.workspaces.length, out.join(",") || "-", note]
	})
	return formatTable(["GENERATION", "KEY", "WORKSPACES", "ZONES OUT", "NOTE"], rows)
}
