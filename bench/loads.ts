/**
 * Reads and validates loads, the YAML files in bench/loads/, to which users can add their own. A load sets the
 * cluster's size, its workspaces, streams of jobs with bursts and inaccurate declared run times, and events such as
 * a zone taken out of service. A load and a seed determine one list of arrivals.
 */
import {readFileSync, readdirSync} from "node:fs"
import {join} from "node:path"
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {parse} from "yaml"
import {z} from "zod"
import {
	type JobSpec,
	Adjacency,
	JobKind,
	PriorityClass,
	checkValue,
	gangShapeSchema
} from "../src/internal.js"

const MS_PER_SECOND = 1000
const SECONDS_PER_MINUTE = 60
const LOADS_FOLDER = join(import.meta.dirname, "loads")

export const EventKind = {
	zoneOut: "zone-out",
	zoneIn: "zone-in",
	workerFails: "worker-fails",
	workerRecovers: "worker-recovers"
} as const
export type EventKind = (typeof EventKind)[keyof typeof EventKind]

const streamSchema = z.strictObject({
	name: z.string(),
	kind: z.enum(Object.values(JobKind)),
	service: z.string(),
	workspace: z.string(),
	priority: z.enum(Object.values(PriorityClass)),
	repeatable: z.boolean(),
	checkpoint: z.boolean().default(false),
	shape: gangShapeSchema.default({
		members: 1,
		accelerators: 0,
		adjacency: Adjacency.any,
		cpus: 1,
		memoryMb: 0
	}),
	/** Steady arrivals per minute over all zones; bursts are added to them. */
	perMinute: z.number().min(0),
	bursts: z
		.array(
			z.strictObject({
				atMinute: z.number().min(0),
				minutes: z.number().positive(),
				perMinute: z.number().positive()
			})
		)
		.default([]),
	/** Actual run time: its median, and the standard deviation of its logarithm. */
	runSeconds: z.strictObject({median: z.number().positive(), sigma: z.number().min(0)}),
	/** Declared ÷ actual run time: its median, and the standard deviation of its logarithm. */
	declared: z.strictObject({median: z.number().positive(), sigma: z.number().min(0)}),
	/** True for streams whose jobs the zone-change bench counts. */
	unit: z.boolean().default(false),
	/** Time from submission within which a completed job counts as on time. */
	onTimeSeconds: z.number().positive()
})

const loadSchema = z.strictObject({
	name: z.string(),
	summary: z.string(),
	/** Whether running jobs of a zone taken out of service are moved where possible. */
	moveRunning: z.boolean().default(false),
	/** Length of the run, including the time to drain the queues. */
	minutes: z.number().positive(),
	/** No arrivals after this. */
	arrivalMinutes: z.number().positive(),
	worker: z.strictObject({accelerators: z.int(), cpus: z.int(), memoryMb: z.int()}),
	workersPerRack: z.int().min(1),
	zones: z.array(
		z.strictObject({
			name: z.string(),
			region: z.string(),
			workers: z.int(),
			endpoints: z.int(),
			slots: z.int()
		})
	),
	workspaces: z.array(
		z.strictObject({
			name: z.string(),
			maxQueued: z.int().default(100000),
			guarantees: z
				.array(z.strictObject({zone: z.string(), shape: gangShapeSchema, count: z.int()}))
				.default([])
		})
	),
	streams: z.array(streamSchema),
	events: z
		.array(
			z.strictObject({
				atMinute: z.number(),
				kind: z.enum(Object.values(EventKind)),
				target: z.string()
			})
		)
		.default([])
})

export type Load = z.infer<typeof loadSchema>
export type LoadStream = z.infer<typeof streamSchema>

export interface Arrival {
	readonly atMs: number
	readonly key: string
	readonly zone: string
	readonly stream: LoadStream
	readonly spec: JobSpec
	readonly runMs: number
}

export function listLoadNames(): string[] {
	return readdirSync(LOADS_FOLDER)
		.filter(file => file.endsWith(".yaml"))
		.map(file => file.slice(0, -".yaml".length))
		.sort()
}

export function readLoad(name: string): Load {
	const text = readFileSync(join(LOADS_FOLDER, `${name}.yaml`), "utf8")
	const checked = checkValue(`load ${name}`, loadSchema, parse(text))
	if (checked.isErr()) throw checked.error
	return checked.value
}

/** Returns the load with its first zone only; all zones must have the same size. */
export function takeZoneShare(load: Load): Load {
	return {...load, zones: load.zones.slice(0, 1)}
}

/** Builds all arrivals of the load, sorted by time; the same seed gives the same list. */
export function buildArrivals(load: Load, seed: number): Arrival[] {
	const random = createRandom(seed)
	const arrivals: Arrival[] = []
	for (const stream of load.streams) {
		const steady = {atMinute: 0, minutes: load.arrivalMinutes, perMinute: stream.perMinute}
		for (const {atMinute, minutes, perMinute} of [steady, ...stream.bursts]) {
			if (perMinute === 0) continue
			const meanGapMs = (SECONDS_PER_MINUTE * MS_PER_SECOND) / perMinute
			const endMs = (atMinute + minutes) * SECONDS_PER_MINUTE * MS_PER_SECOND
			let atMs = atMinute * SECONDS_PER_MINUTE * MS_PER_SECOND
			for (;;) {
				atMs += -Math.log(1 - random()) * meanGapMs
				if (atMs >= endMs) break
				arrivals.push(buildArrival(load, stream, atMs, arrivals.length, random))
			}
		}
	}
	return arrivals.sort((a, b) => a.atMs - b.atMs)
}

export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

function buildArrival(
	load: Load,
	stream: LoadStream,
	atMs: number,
	index: number,
	random: () => number
): Arrival {
	const {median, sigma} = stream.runSeconds
	const runMs = Math.ceil(drawLogNormal(median, sigma, random) * MS_PER_SECOND)
	const ratio = drawLogNormal(stream.declared.median, stream.declared.sigma, random)
	const zone = load.zones[Math.floor(random() * load.zones.length)]?.name ?? ""
	const key = `${stream.name}-${index}`
	const spec: JobSpec = {
		kind: stream.kind,
		service: stream.service,
		priority: stream.priority,
		repeatable: stream.repeatable,
		checkpoint: stream.checkpoint,
		shape: stream.shape,
		declaredRunMs: Math.max(1, Math.round(runMs * ratio)),
		payload: JSON.stringify({runMs, answer: key})
	}
	return {atMs, key, zone, stream, spec, runMs}
}

function drawLogNormal(median: number, sigma: number, random: () => number): number {
	const gaussian = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
	return median * Math.exp(sigma * gaussian)
}
