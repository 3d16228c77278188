/** Measures the time from the end of a zone's holder, killed or stopped as planned, to the next task start there. */
import {type Bench, type BenchMetric} from "./bench.js"
import {type Daemon, DaemonRig, createZoneContent, waitUntil} from "./daemon-rig.js"

const ZONE = "zone-a"
const WORKERS = 4
const ROUNDS = 6
const TARGET_MS = 5000
const SPEC = {service: "address-read", priority: "urgent", payload: JSON.stringify({runMs: 10})}

export class RecoveryBench implements Bench {
	readonly name = "recovery"
	readonly summary =
		"time from the end of a holder, killed or stopped as planned, to the next start in its zone"

	async run(): Promise<readonly BenchMetric[]> {
		const rig = new DaemonRig()
		try {
			await rig.startPlatform()
			await rig.addWorkers(ZONE, WORKERS)
			const first = await rig.startDaemon("host-1", ZONE)
			await rig.startDaemon("host-2", ZONE)
			await rig.rollOut(createZoneContent([ZONE]), first.process)
			await rig.submit(first.process, "first", SPEC)
			await waitUntil("a first job runs", () => countRuns(rig) === 1)
			const killed = await measureRounds(rig, "SIGKILL")
			const stopped = await measureRounds(rig, "SIGTERM")
			return [...buildMetrics("killed", killed), ...buildMetrics("stopped", stopped)]
		} finally {
			await rig.stop()
		}
	}
}

async function measureRounds(rig: DaemonRig, signal: NodeJS.Signals): Promise<number[]> {
	const tookMs: number[] = []
	for (let round = 0; round < ROUNDS; round++) tookMs.push(await measureRound(rig, signal, round))
	return tookMs.sort((a, b) => a - b)
}

async function measureRound(
	rig: DaemonRig,
	signal: NodeJS.Signals,
	round: number
): Promise<number> {
	await waitUntil("the zone is held", () => rig.findHolder(ZONE) !== undefined)
	const holder = rig.findHolder(ZONE)
	const other = [...rig.daemons.values()].find(daemon => daemon !== holder)
	if (holder === undefined || other === undefined) throw new Error("the zone is not held")
	const before = countRuns(rig)
	const endedAt = performance.now()
	const exited = rig.launcher.stop(holder.process, signal)
	await rig.submit(other.process, `${signal}-${round}`, SPEC)
	await waitUntil("the next task starts", () => countRuns(rig) > before)
	const tookMs = performance.now() - endedAt
	await exited
	await restartDaemon(rig, holder, other)
	return tookMs
}

/** Restarts the daemon and waits until it is ready to take the zone over from `other`. */
async function restartDaemon(rig: DaemonRig, {hostId}: Daemon, other: Daemon): Promise<void> {
	const {process} = await rig.startDaemon(hostId, ZONE)
	await waitUntil("the new daemon has the bundle", () =>
		process.lines.some(line => line.includes("bundle-adopted"))
	)
	await waitUntil("the other daemon holds the zone", () => rig.findHolder(ZONE) === other)
}

function countRuns(rig: DaemonRig): number {
	return [...rig.workers.values()].reduce((sum, {runs}) => sum + runs.length, 0)
}

function buildMetrics(label: string, tookMs: readonly number[]): BenchMetric[] {
	const longest = tookMs.at(-1) ?? Infinity
	const median = tookMs[Math.floor(tookMs.length / 2)] ?? Infinity
	const base = {unit: "ms", baseline: null}
	return [
		{
			...base,
			metric: `next-start-${label}-p50`,
			value: Math.round(median),
			target: null,
			met: true
		},
		{
			...base,
			metric: `next-start-${label}-longest-of-${tookMs.length}`,
			value: Math.round(longest),
			target: TARGET_MS,
			met: longest <= TARGET_MS
		}
	]
}
