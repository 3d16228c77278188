/** The rows that record where workers have answered. */
import {type Result} from "neverthrow"
import {z} from "zod"
import {
	type MalformedError,
	type NodeEntry,
	type WorkerRegistration,
	decodeJson
} from "../../internal.js"

export const NODE_PREFIX = "node/"

const amountSchema = z.number().min(0)

const recordSchema = z.object({
	id: z.string(),
	incarnation: z.string(),
	service: z.string(),
	address: z.string(),
	zone: z.string(),
	capacity: z.object({
		cpuMillis: amountSchema,
		memoryMb: amountSchema,
		accelerators: amountSchema
	}),
	labels: z.array(z.string()),
	rack: z.string()
})

export function formatNodeKey(id: string): string {
	return `${NODE_PREFIX}${id}`
}

/** The incarnation that answered, and where; undefined if none has answered at the listed address. */
export function encodeNodeRecord(node: NodeEntry): string | undefined {
	const {registration, answeredFrom, answeredAs: incarnation} = node
	const {id, service, address, zone, capacity, labels, rack} = registration
	if (answeredFrom !== address) return undefined
	return JSON.stringify({id, incarnation, service, address, zone, capacity, labels, rack})
}

export function decodeNodeRecord(value: string): Result<WorkerRegistration, MalformedError> {
	return decodeJson("worker", recordSchema, value).map(record => ({
		...record,
		isDraining: false,
		remainingMs: undefined,
		clockMs: 0
	}))
}
