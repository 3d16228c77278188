/** `cardamomhook key …`: create signing keys and tokens. */
import {generateKeyPairSync, randomBytes} from "node:crypto"
import {Command, Option} from "clipanion"
import {ok} from "neverthrow"
import {hashText} from "../internal.js"
import {PrintingCommand} from "./base.js"
import {type ExitCode} from "./exit-code.js"
import {storeSecret} from "./files.js"

const TOKEN_BYTES = 32

export class KeyGenerateCommand extends PrintingCommand {
	static override paths = [["key", "generate"]]
	static override usage = Command.Usage({
		category: "Keys",
		description: "Make an Ed25519 key pair to sign bundles with",
		details:
			"Writes the private key to a new file that only its owner may read, and prints the public key for the hosts' settings. An existing file is never overwritten.",
		examples: [["Make the committee's key", "$0 key generate --out signing.key"]]
	})
	out = Option.String("--out", {required: true, description: "File of the private key"})
	keyId = Option.String("--key-id", "main", {description: "Name of the key (main)"})

	execute(): Promise<ExitCode> {
		const {privateKey, publicKey} = generateKeyPairSync("ed25519")
		const encodedPrivateKey = privateKey.export({format: "der", type: "pkcs8"}).toString("base64")
		const encodedPublicKey = publicKey.export({format: "der", type: "spki"}).toString("base64")
		const made = storeSecret(this.out, `${encodedPrivateKey}\n`).map(file => ({
			file,
			keyId: this.keyId,
			publicKey: encodedPublicKey
		}))
		return Promise.resolve(
			this.print(made, ({file, keyId, publicKey: key}) =>
				[
					`The private key is in ${file}. Keep it off the hosts.`,
					"Add to the settings of every host:",
					"bundleKeys:",
					`  ${keyId}: ${key}`
				].join("\n")
			)
		)
	}
}

export class KeyTokenCommand extends PrintingCommand {
	static override paths = [["key", "token"]]
	static override usage = Command.Usage({
		category: "Keys",
		description: "Make a token for a caller or an operator, and its hash",
		details:
			"Put the hash into the bundle (callers) or into the hosts' settings (operators), and give the token to its bearer. The tool doesn't store the token.",
		examples: [["Make a token", "$0 key token"]]
	})

	execute(): Promise<ExitCode> {
		const token = randomBytes(TOKEN_BYTES).toString("base64url")
		return Promise.resolve(
			this.print(ok({token, hash: hashText(token)}), made =>
				[`token  ${made.token}`, `hash   ${made.hash}`].join("\n")
			)
		)
	}
}
