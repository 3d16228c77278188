/** Checks all external input; each failure is a typed error that names the path. */
import {err, ok, type Result} from "neverthrow"
import {z} from "zod"
import {
	type JobRecord,
	type SignedBundle,
	ACCELERATORS_PER_WORKER_MAX,
	Adjacency,
	JobKind,
	MalformedError,
	PriorityClass,
	START_PERMIT_MS
} from "../internal.js"

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/)
const SHA256_HEX = z.string().regex(/^[0-9a-f]{64}$/)

export const gangShapeSchema = z.strictObject({
	members: z.int().min(1).max(1024),
	accelerators: z.int().min(0).max(ACCELERATORS_PER_WORKER_MAX),
	adjacency: z.enum(Object.values(Adjacency)).default(Adjacency.any),
	cpus: z.int().min(0).default(1),
	memoryMb: z.int().min(0).default(0)
})

export const jobSpecSchema = z.strictObject({
	kind: z.enum(Object.values(JobKind)).default(JobKind.task),
	service: NAME,
	priority: z.enum(Object.values(PriorityClass)).default(PriorityClass.normal),
	repeatable: z.boolean().default(false),
	checkpoint: z.boolean().default(false),
	shape: gangShapeSchema.default({
		members: 1,
		accelerators: 0,
		adjacency: Adjacency.any,
		cpus: 1,
		memoryMb: 0
	}),
	declaredRunMs: z.int().min(1).default(60000),
	startWithinMs: z.int().min(1).optional(),
	payload: z.string().default("")
})

const guaranteeSchema = z.strictObject({
	zone: NAME,
	shape: gangShapeSchema,
	count: z.int().min(1)
})

const workspaceSchema = z.strictObject({
	name: NAME,
	guarantees: z.array(guaranteeSchema).default([]),
	maxQueued: z.int().min(1).default(1000),
	maxAccelerators: z.int().min(0).default(1000000),
	defaultPriority: z.enum(Object.values(PriorityClass)).default(PriorityClass.normal),
	callers: z.record(NAME, SHA256_HEX).default({})
})

const rackCapacitySchema = z.strictObject({
	rack: NAME,
	workers: z.int().min(1).max(10000),
	accelerators: z.int().min(0).max(ACCELERATORS_PER_WORKER_MAX),
	cpus: z.int().min(0),
	memoryMb: z.int().min(0)
})

const zoneSchema = z.strictObject({
	name: NAME,
	region: NAME,
	inService: z.boolean().default(true),
	moveRunning: z.boolean().default(false),
	cutOffStartMs: z.int().min(START_PERMIT_MS).default(START_PERMIT_MS),
	capacity: z.array(rackCapacitySchema).optional(),
	defragmentMovesPerHour: z.int().min(0).optional()
})

export const bundleContentSchema = z.strictObject({
	workspaces: z.array(workspaceSchema),
	zones: z.array(zoneSchema).min(1),
	policies: z
		.strictObject({
			queue: NAME.default("fair-share"),
			placement: NAME.default("best-fit"),
			zoneChoice: NAME.default("local-first")
		})
		.default({queue: "fair-share", placement: "best-fit", zoneChoice: "local-first"})
})

const signedBundleSchema = z.strictObject({
	generation: z.int().min(1),
	content: bundleContentSchema,
	keyId: z.string(),
	signature: z.string(),
	note: z.string().default("")
})

/** Checks a value against a schema; the error names each invalid path. */
export function checkValue<T>(
	label: string,
	schema: z.ZodType<T>,
	value: unknown
): Result<T, MalformedError> {
	const parsed = schema.safeParse(value)
	if (parsed.success) return ok(parsed.data)
	const detail = parsed.error.issues
		.map(issue => `${issue.path.join(".") || "(top)"}: ${issue.message}`)
		.join("; ")
	return err(new MalformedError(label, detail))
}

/** Decodes JSON and checks it against a schema. */
export function decodeJson<T>(
	label: string,
	schema: z.ZodType<T>,
	text: string
): Result<T, MalformedError> {
	let value: unknown
	try {
		value = JSON.parse(text)
	} catch (error) {
		return err(new MalformedError(label, error instanceof Error ? error.message : "not JSON"))
	}
	return checkValue(label, schema, value)
}

export function decodeSignedBundle(text: string): Result<SignedBundle, MalformedError> {
	return decodeJson<SignedBundle>("bundle", signedBundleSchema, text)
}

export function checkSignedBundle(value: unknown): Result<SignedBundle, MalformedError> {
	return checkValue<SignedBundle>("bundle", signedBundleSchema, value)
}

/** Only hosts write these rows, so the fields are not checked; a row that is not JSON counts as absent. */
export function decodeJobRecord(text: string): JobRecord | undefined {
	try {
		return JSON.parse(text) as JobRecord
	} catch {
		return undefined
	}
}
