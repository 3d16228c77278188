/** Reads and checks the YAML settings file of a daemon; every error names its path and what is allowed. */
import {createPublicKey} from "node:crypto"
import {readFileSync} from "node:fs"
import {err, type Result} from "neverthrow"
import {parse} from "yaml"
import {z} from "zod"
import {type HostSettings, DEFAULT_LIMITS, MalformedError, checkValue} from "./internal.js"

const PORT_MAX = 65535
const SECRET_LENGTH_MIN = 16
const SHUTDOWN_TIMEOUT_MIN_MS = 100

const nameSchema = z
	.string("expected a name")
	.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "expected 1 to 63 lower-case letters, digits and hyphens")
const sha256Schema = z
	.string("expected a SHA-256 in hexadecimal")
	.regex(/^[0-9a-f]{64}$/, "expected a SHA-256 in hexadecimal, 64 digits 0 to f")
const addressSchema = z.strictObject({
	host: z.union([z.ipv4(), z.ipv6()], "expected an IPv4 or IPv6 address"),
	port: z
		.int(`expected a port from 0 to ${PORT_MAX}`)
		.min(0, `expected a port from 0 to ${PORT_MAX}`)
		.max(PORT_MAX, `expected a port from 0 to ${PORT_MAX}`)
})
/** Accepts an address as an object or as the text `host:port`. */
const socketSchema = z.preprocess(
	value => (typeof value === "string" ? parseAddress(value) : value),
	addressSchema
)

function parseAddress(text: string): {host: string; port: number} {
	const colon = text.lastIndexOf(":")
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))}
}

/** A number of at least `min`; a field without a value takes the default. */
function createNumberSchema(min: number, fallback: number) {
	return z
		.number()
		.min(min)
		.nullish()
		.transform(value => value ?? fallback)
}

const DURATION_MIN_MS = 1
/** Workers are asked at least each 1.5 s, and one answer may be lost. */
const WORKER_LEASE_MAX_MIN_MS = 4000
const domainSchema = z.strictObject({
	name: nameSchema,
	readinessAddress: socketSchema,
	metricsAddress: socketSchema,
	revokeMs: z.number().min(DURATION_MIN_MS),
	stopMs: z.number().min(DURATION_MIN_MS),
	workerLeaseMaxMs: z.number().min(WORKER_LEASE_MAX_MIN_MS).default(10000),
	stateKeptMs: z.number().min(DURATION_MIN_MS),
	restoreMs: createNumberSchema(0, 0),
	remoteFactor: z.number().min(1),
	cores: z.number().positive().default(1),
	coreShare: z.number().positive().max(1).default(1),
	learnRunTimes: z.boolean().default(false)
})
const DESCRIPTORS_MIN = 256
const MEMORY_MIN_MB = 64

const limitsSchema = z.strictObject({
	descriptors: createNumberSchema(DESCRIPTORS_MIN, DEFAULT_LIMITS.descriptors),
	memoryMb: createNumberSchema(MEMORY_MIN_MB, DEFAULT_LIMITS.memoryMb),
	headersTimeoutMs: createNumberSchema(DURATION_MIN_MS, DEFAULT_LIMITS.headersTimeoutMs),
	requestTimeoutMs: createNumberSchema(DURATION_MIN_MS, DEFAULT_LIMITS.requestTimeoutMs),
	answerTimeoutMs: createNumberSchema(DURATION_MIN_MS, DEFAULT_LIMITS.answerTimeoutMs)
})
const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "silent"] as const

const publicKeySchema = z
	.string()
	.refine(isPublicKey, "expected an Ed25519 public key in base64 SPKI, as `key generate` prints it")

const settingsSchema = z.strictObject({
	hostId: nameSchema,
	zone: nameSchema,
	region: nameSchema,
	callerAddress: socketSchema,
	peerAddress: socketSchema,
	platformUrl: z.url({protocol: /^https?$/, error: "expected an http or https URL"}),
	bundleKeys: z.record(z.string(), publicKeySchema),
	peerSecrets: z
		.array(
			z.string().min(SECRET_LENGTH_MIN, `expected at least ${SECRET_LENGTH_MIN} characters`),
			"expected a list of secrets"
		)
		.min(1, "expected at least one secret"),
	operators: z.record(nameSchema, sha256Schema).default({}),
	logLevel: z.enum(LOG_LEVELS).default("info"),
	shutdownTimeoutMs: z.int().min(SHUTDOWN_TIMEOUT_MIN_MS).default(20000),
	limits: limitsSchema.optional(),
	domain: domainSchema.optional()
})

function isPublicKey(text: string): boolean {
	try {
		const der = Buffer.from(text, "base64")
		return createPublicKey({key: der, format: "der", type: "spki"}).asymmetricKeyType === "ed25519"
	} catch {
		return false
	}
}

export function decodeSettings(text: string): Result<HostSettings, MalformedError> {
	let value: unknown
	try {
		value = parse(text, {logLevel: "error"})
	} catch (error) {
		return err(new MalformedError("settings", error instanceof Error ? error.message : "not YAML"))
	}
	return checkValue<HostSettings>("settings", settingsSchema, value)
}

export function loadSettings(path: string): Result<HostSettings, MalformedError> {
	try {
		return decodeSettings(readFileSync(path, "utf8"))
	} catch (error) {
		const message = error instanceof Error ? error.message : "unreadable"
		return err(new MalformedError(`settings file ${path}`, message))
	}
}
