/** Loads and checks scenario files: YAML with a topology, steps and expectations. */
import {readFileSync} from "node:fs"
import {parse} from "yaml"
import {z} from "zod"
import {checkValue} from "../../src/internal.js"

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]*$/)

const zoneSchema = z.strictObject({
	name: nameSchema,
	region: nameSchema.default("region-1"),
	hosts: z.int().min(0).default(2),
	workers: z.int().min(0).default(2),
	endpoints: z.int().min(0).default(0),
	/** How long the zone may start work without evidence that it is in service. */
	cutOffStartMs: z.int().optional()
})
export type ZoneTopology = z.infer<typeof zoneSchema>

/** One-way delays. The defaults come from the users' requirements. */
const latencySchema = z.strictObject({
	zoneMs: z.number().default(1.5),
	regionMs: z.number().default(12),
	clientMs: z.number().default(1)
})

export const topologySchema = z.strictObject({
	zones: z.array(zoneSchema).min(1),
	workspaces: z.array(nameSchema).default(["posta"]),
	accelerators: z.int().default(8),
	slots: z.int().default(8),
	shutdownTimeoutMs: z.int().default(20000),
	latency: latencySchema.default({zoneMs: 1.5, regionMs: 12, clientMs: 1}),
	/** Copied into the bundle unchanged. */
	guarantees: z.record(nameSchema, z.array(z.unknown())).default({}),
	policies: z.record(z.string(), z.string()).optional()
})
export type Topology = z.infer<typeof topologySchema>

/** A step or expectation: one key, its name, and its input. */
const entrySchema = z
	.record(z.string(), z.unknown())
	.refine(value => Object.keys(value).length === 1, "must have exactly one key")
export type ScenarioEntry = z.infer<typeof entrySchema>

export const scenarioSchema = z.strictObject({
	title: z.string(),
	/** Numbers of the invariants that the scenario tests. */
	invariants: z.array(z.int().min(1).max(9)),
	topology: topologySchema,
	steps: z.array(entrySchema).min(1),
	expect: z.array(entrySchema).default([]),
	/** Names or prefixes of jobs that may still be queued at the end. */
	mayStayQueued: z.array(z.string()).default([]),
	/** How long a gang may run with only some of its members when one of its workers can't be reached. */
	partialGangMs: z.int().default(12500)
})
export type Scenario = z.infer<typeof scenarioSchema>

export class ScenarioError extends Error {}

/** Checks and converts the input of a step, condition or expectation. */
export function checkInput<T>(name: string, schema: z.ZodType<T>, value: unknown): T {
	const checked = checkValue(name, schema, value)
	if (checked.isErr()) throw new ScenarioError(checked.error.message)
	return checked.value
}

export function loadScenario(path: string): Scenario {
	return checkInput(path, scenarioSchema, parse(readFileSync(path, "utf8")))
}
