/** Builds and signs the bundles of a scenario, all with one key. */
import {generateKeyPairSync} from "node:crypto"
import {
	type BundleContent,
	type SignedBundle,
	bundleContentSchema,
	hashText,
	signBundle
} from "../../src/internal.js"
import {type Topology} from "./schema.js"

export const OPERATOR_TOKEN = "operator-token-for-scenarios"
const KEY_ID = "main"

/** The parts of the bundle that a scenario changes. */
export interface BundleState {
	readonly zonesOut: ReadonlySet<string>
	readonly workspacesOut: ReadonlySet<string>
}

export function formatCallerToken(workspace: string): string {
	return `caller-token-of-${workspace}`
}

export class BundleAuthor {
	readonly #topology: Topology
	readonly #keys = generateKeyPairSync("ed25519")

	constructor(topology: Topology) {
		this.#topology = topology
	}

	/** Host settings that trust this author's key and its operator's token. */
	buildSettings(): object {
		const publicKey = this.#keys.publicKey.export({format: "der", type: "spki"})
		return {
			bundleKeys: {[KEY_ID]: publicKey.toString("base64")},
			operators: {operator: hashText(OPERATOR_TOKEN)}
		}
	}

	sign(generation: number, state: BundleState): SignedBundle {
		const privateKey = this.#keys.privateKey.export({format: "der", type: "pkcs8"})
		const content = this.#buildContent(state)
		return signBundle(generation, content, KEY_ID, privateKey.toString("base64"))
	}

	#buildContent({zonesOut, workspacesOut}: BundleState): BundleContent {
		const {zones, workspaces, guarantees, policies} = this.#topology
		return bundleContentSchema.parse({
			workspaces: workspaces
				.filter(name => !workspacesOut.has(name))
				.map(name => ({
					name,
					callers: {clerk: hashText(formatCallerToken(name))},
					guarantees: guarantees[name] ?? []
				})),
			zones: zones.map(({name, region, cutOffStartMs}) => ({
				name,
				region,
				inService: !zonesOut.has(name),
				cutOffStartMs
			})),
			policies
		})
	}
}
