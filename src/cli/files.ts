/** Reads and writes the tool's files; every error names the file. */
import {createPrivateKey} from "node:crypto"
import {readFileSync, writeFileSync} from "node:fs"
import {err, ok, type Result} from "neverthrow"
import {parse} from "yaml"
import {
	type BundleContent,
	MalformedError,
	bundleContentSchema,
	checkBundleContent,
	checkGuarantees,
	checkValue,
	createPolicies
} from "../internal.js"

/** Readable and writable by its owner only. */
const SECRET_FILE_MODE = 0o600

export function loadText(label: string, path: string): Result<string, MalformedError> {
	try {
		return ok(readFileSync(path, "utf8"))
	} catch (error) {
		return err(new MalformedError(`${label} ${path}`, describeError(error)))
	}
}

export function loadYaml(label: string, path: string): Result<unknown, MalformedError> {
	return loadText(label, path).andThen(text => {
		try {
			return ok(parse(text) as unknown)
		} catch (error) {
			return err(new MalformedError(`${label} ${path}`, describeError(error)))
		}
	})
}

/** Loads a bundle file and checks it as a host does. */
export function loadBundleContent(path: string): Result<BundleContent, MalformedError> {
	return loadYaml("bundle file", path)
		.andThen(value => checkValue<BundleContent>(`bundle file ${path}`, bundleContentSchema, value))
		.andThen(content => checkBundleContent(content, createPolicies()))
		.andThen(content =>
			checkGuarantees(content)
				.map(() => content)
				.mapErr(
					({reason, message}) => new MalformedError(`bundle file ${path}`, `${reason}: ${message}`)
				)
		)
}

/** Loads an Ed25519 private key in base64 PKCS #8, as `key generate` writes it. */
export function loadPrivateKey(path: string): Result<string, MalformedError> {
	return loadText("key file", path).andThen(text => {
		const key = text.trim()
		return isPrivateKey(key)
			? ok(key)
			: err(new MalformedError(`key file ${path}`, "not an Ed25519 private key in base64 PKCS #8"))
	})
}

function isPrivateKey(key: string): boolean {
	try {
		const der = Buffer.from(key, "base64")
		return (
			createPrivateKey({key: der, format: "der", type: "pkcs8"}).asymmetricKeyType === "ed25519"
		)
	} catch {
		return false
	}
}

/** Writes a new file; fails if it exists, so that no key is ever overwritten. */
export function storeSecret(path: string, text: string): Result<string, MalformedError> {
	return storeFile(path, text, {flag: "wx", mode: SECRET_FILE_MODE})
}

export function storeText(path: string, text: string): Result<string, MalformedError> {
	return storeFile(path, text, {flag: "w"})
}

function storeFile(
	path: string,
	text: string,
	options: {readonly flag: string; readonly mode?: number}
): Result<string, MalformedError> {
	try {
		writeFileSync(path, text, options)
		return ok(path)
	} catch (error) {
		return err(new MalformedError(`output file ${path}`, describeError(error)))
	}
}

function describeError(error: unknown): string {
	return error instanceof Error ? error.message : String(error)
}
