/**
 * Measures the time from a roll-out until every host has adopted the bundle, by number of hosts. The hosts are real
 * daemons of several zones on one machine, without network latency. Tests measure hosts that can't reach the platform.
 */
import {type Bench, type BenchMetric} from "./bench.js"
import {DaemonRig, createZoneContent, waitUntil} from "./daemon-rig.js"

const TEAMS = 140
const HOSTS_PER_ZONE = 2
const SIZES = [2, 6, 12, 20]
const ROUNDS = 12
const P99_TARGET_MS = 2000

interface Spread {
	readonly hosts: number
	/** Adoption times of all hosts in all rounds, sorted. */
	readonly tookMs: readonly number[]
}

export class BundleSpreadBench implements Bench {
	readonly name = "bundle-spread"
	readonly summary =
		"time from roll-out until every host has adopted the bundle, by number of hosts"

	async run(): Promise<readonly BenchMetric[]> {
		const metrics: BenchMetric[] = []
		for (const hosts of SIZES) metrics.push(...buildMetrics(await measureSize(hosts)))
		return metrics
	}
}

async function measureSize(hosts: number): Promise<Spread> {
	const rig = new DaemonRig()
	try {
		await rig.startPlatform()
		const zones = Array.from(
			{length: Math.ceil(hosts / HOSTS_PER_ZONE)},
			(_, index) => `zone-${index}`
		)
		for (let index = 0; index < hosts; index++)
			await rig.startDaemon(`host-${index}`, zones[index % zones.length] ?? "")
		const tookMs: number[] = []
		for (let round = 0; round <= ROUNDS; round++) {
			const took = await measureRound(rig, zones, round + 1)
			// The first round is left out because hosts may still be starting.
			if (round > 0) tookMs.push(...took)
		}
		return {hosts, tookMs: tookMs.sort((a, b) => a - b)}
	} finally {
		await rig.stop()
	}
}

async function measureRound(
	rig: DaemonRig,
	zones: readonly string[],
	generation: number
): Promise<number[]> {
	const daemons = [...rig.daemons.values()]
	const receiver = daemons[generation % daemons.length]
	if (receiver === undefined) throw new Error("no daemon has been started")
	const sentAt = Date.now()
	await rig.rollOut(createZoneContent(zones, TEAMS), receiver.process)
	await waitUntil(`generation ${generation} is adopted`, () =>
		daemons.every(({process}) => findAdoption(process.lines, generation) !== undefined)
	)
	return daemons.map(({process}) => (findAdoption(process.lines, generation) ?? Infinity) - sentAt)
}

/** Finds the wall-clock time of the daemon's adoption log line; all processes share the machine's clock. */
function findAdoption(lines: readonly string[], generation: number): number | undefined {
	for (const line of lines) {
		if (!line.includes('"bundle-adopted"')) continue
		const entry = JSON.parse(line) as {generation: number; time: number}
		if (entry.generation === generation) return entry.time
	}
	return undefined
}

function buildMetrics({hosts, tookMs}: Spread): BenchMetric[] {
	const getQuantile = (fraction: number) =>
		tookMs[Math.min(tookMs.length - 1, Math.floor(fraction * tookMs.length))] ?? Infinity
	const base = {unit: "ms", baseline: null}
	const p99 = getQuantile(0.99)
	return [
		{
			...base,
			metric: `adopted-p50-${hosts}-hosts`,
			value: getQuantile(0.5),
			target: null,
			met: true
		},
		{
			...base,
			metric: `adopted-p99-${hosts}-hosts`,
			value: p99,
			target: P99_TARGET_MS,
			met: p99 <= P99_TARGET_MS
		}
	]
}
