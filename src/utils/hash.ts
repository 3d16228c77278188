import {createHash, createPublicKey, sign, verify, createPrivateKey} from "node:crypto"
import {type BundleContent, type SignedBundle} from "../internal.js"

export function hashText(text: string): string {
	return createHash("sha256").update(text).digest("hex")
}

/** Encodes JSON with sorted object keys, so that equal values have equal bytes. */
export function encodeCanonical(value: unknown): string {
	if (Array.isArray(value)) return `[${value.map(encodeCanonical).join(",")}]`
	if (value === null || typeof value !== "object")
		return value === undefined ? "null" : JSON.stringify(value)
	const fields = Object.entries(value)
		.filter(([, field]) => field !== undefined)
		.sort(([a], [b]) => (a < b ? -1 : 1))
		.map(([name, field]) => `${JSON.stringify(name)}:${encodeCanonical(field)}`)
	return `{${fields.join(",")}}`
}

function encodeForSignature(generation: number, content: BundleContent, keyId: string): Buffer {
	return Buffer.from(encodeCanonical({generation, content, keyId}))
}

/** Signs with an Ed25519 private key in base64 PKCS #8. */
export function signBundle(
	generation: number,
	content: BundleContent,
	keyId: string,
	privateKey: string,
	note = ""
): SignedBundle {
	const key = createPrivateKey({
		key: Buffer.from(privateKey, "base64"),
		format: "der",
		type: "pkcs8"
	})
	const signature = sign(null, encodeForSignature(generation, content, keyId), key)
	return {generation, content, keyId, signature: signature.toString("base64"), note}
}

/** True if the signature is valid for the key that the bundle names; `keys` holds public keys in base64 SPKI. */
export function verifyBundle(
	bundle: SignedBundle,
	keys: Readonly<Record<string, string>>
): boolean {
	const publicKey = keys[bundle.keyId]
	if (publicKey === undefined) return false
	try {
		const key = createPublicKey({
			key: Buffer.from(publicKey, "base64"),
			format: "der",
			type: "spki"
		})
		const bytes = encodeForSignature(bundle.generation, bundle.content, bundle.keyId)
		return verify(null, bytes, key, Buffer.from(bundle.signature, "base64"))
	} catch {
		return false
	}
}
