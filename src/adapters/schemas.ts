/** Schemas of the answers of the platform, workers and endpoints. */
import {z} from "zod"
import {HostRole, TaskState, gangShapeSchema} from "../internal.js"

export const tableRowSchema = z.object({key: z.string(), version: z.int(), value: z.string()})
export const tableRowsSchema = z.array(tableRowSchema)

export const commitAnswerSchema = z.discriminatedUnion("committed", [
	z.object({committed: z.literal(true), versions: z.array(z.int())}),
	z.object({committed: z.literal(false), conflicts: z.array(tableRowSchema)})
])

export const hostListSchema = z.array(
	z.object({
		id: z.string(),
		role: z.enum(Object.values(HostRole)),
		zone: z.string(),
		rack: z.string(),
		address: z.string(),
		peerAddress: z.string(),
		leaving: z.boolean()
	})
)

export const hostListAnswerSchema = z.object({
	version: z.int(),
	hosts: hostListSchema.optional()
})

export const taskReportSchema = z.object({
	taskId: z.string(),
	jobId: z.string(),
	state: z.enum(Object.values(TaskState)),
	started: z.boolean(),
	accelerators: z.array(z.int()),
	cpus: z.number(),
	memoryMb: z.number(),
	answer: z.string().optional(),
	error: z.string().optional(),
	checkpoint: z.number().optional(),
	ranMs: z.number()
})

export const workerStatusSchema = z.object({
	epoch: z.int(),
	generation: z.int(),
	clockMs: z.number(),
	revision: z.string(),
	workerId: z.string().optional(),
	incarnation: z.string().optional(),
	capacity: z.object({accelerators: z.int(), cpus: z.number(), memoryMb: z.number()}).optional(),
	tasks: z.array(taskReportSchema).optional()
})

export const endpointStatusSchema = z.object({
	endpointId: z.string(),
	incarnation: z.string(),
	slots: z.int(),
	inUse: z.int(),
	leaving: z.boolean(),
	clockMs: z.number()
})

export const callReportSchema = z.object({
	taskId: z.string(),
	state: z.enum(["unknown", "running", "completed", "failed"]),
	answer: z.string().optional(),
	error: z.string().optional()
})

export const nullSchema = z.null()
export const objectBodySchema = z.string().nullable()

/** Requests to workers and endpoints, which the stand-ins validate with these schemas. */
export const renewRequestSchema = z.object({
	holder: z.string(),
	epoch: z.int(),
	generation: z.int(),
	leaseMs: z.number(),
	permitUntilMs: z.number(),
	knownRevision: z.string().optional()
})

export const reserveRequestSchema = z.object({
	taskId: z.string(),
	incarnation: z.string(),
	jobId: z.string(),
	epoch: z.int(),
	generation: z.int(),
	accelerators: z.array(z.int()),
	shape: gangShapeSchema,
	ttlMs: z.number()
})

export const startRequestSchema = z.object({
	taskId: z.string(),
	incarnation: z.string(),
	jobId: z.string(),
	epoch: z.int(),
	generation: z.int(),
	service: z.string(),
	payload: z.string(),
	declaredRunMs: z.number(),
	checkpointable: z.boolean(),
	resumeFrom: z.number()
})

export const stopRequestSchema = z.object({
	taskId: z.string(),
	incarnation: z.string(),
	epoch: z.int(),
	reason: z.string(),
	checkpointFirst: z.boolean()
})

export const releaseRequestSchema = z.object({taskId: z.string(), epoch: z.int()})

export const callRequestSchema = z.object({
	taskId: z.string(),
	incarnation: z.string(),
	epoch: z.int(),
	generation: z.int(),
	service: z.string(),
	payload: z.string(),
	startByMs: z.number()
})

export const inspectRequestSchema = z.object({taskId: z.string(), incarnation: z.string()})
