/**
 * Measures an entry host's CPU time, memory and socket bytes, as holder of a zone and otherwise, by the number of
 * workers in the zone and of tasks running on them. One real daemon runs in each role.
 */
import {spawn} from "node:child_process"
import {type Bench, type BenchMetric} from "./bench.js"
import {
	type Daemon,
	DaemonRig,
	createZoneContent,
	pause,
	readProcessUsage,
	waitUntil
} from "./daemon-rig.js"

const ZONE = "zone-a"
const TEAMS = 140
const ZONES = 22
const SHARE_WORKERS = 85
const SHARE_TASKS = 1750
/** Tasks are submitted as gangs of this size. */
const GANG_MEMBERS = 7
const POINTS: readonly (readonly [workers: number, tasks: number])[] = [
	[5, 0],
	[20, 0],
	[40, 0],
	[SHARE_WORKERS, 0],
	[SHARE_WORKERS, SHARE_TASKS / 2],
	[SHARE_WORKERS, SHARE_TASKS]
]
const SETTLE_MS = 10000
const WINDOW_MS = 15000
const CPU_TARGET_PERCENT = 1.8
const RSS_TARGET_MB = 64
const BYTES_TARGET_KB = 23
const DAY_MS = 86400000

interface RoleCost {
	readonly cpuPercent: number
	readonly rssMb: number
	readonly kbPerSecond: number
}
interface PointCost {
	readonly workers: number
	readonly tasks: number
	readonly holder: RoleCost
	readonly other: RoleCost
}

export class HostCostBench implements Bench {
	readonly name = "host-cost"
	readonly summary = "CPU time, memory and bytes of an entry host by workers and tasks"

	async run(): Promise<readonly BenchMetric[]> {
		const bareMb = await measureBareNode()
		const costs: PointCost[] = []
		for (const [workers, tasks] of POINTS) costs.push(await measurePoint(workers, tasks))
		return [
			buildMetric("bare-node-rss", bareMb, "MB", null),
			...costs.flatMap(cost => buildPointMetrics(cost, bareMb)),
			...buildSlopeMetrics(costs)
		]
	}
}

async function measurePoint(workers: number, tasks: number): Promise<PointCost> {
	const rig = new DaemonRig()
	try {
		await rig.startPlatform()
		await rig.addWorkers(ZONE, workers)
		const daemons = [await rig.startDaemon("host-1", ZONE), await rig.startDaemon("host-2", ZONE)]
		const zones = Array.from({length: ZONES}, (_, index) => (index === 0 ? ZONE : `zone-${index}`))
		const [first] = daemons
		if (first === undefined) throw new Error("no daemon has been started")
		await rig.rollOut(createZoneContent(zones, TEAMS), first.process)
		await waitUntil("the zone is held", () => rig.findHolder(ZONE) !== undefined)
		await startTasks(rig, first, tasks)
		await pause(SETTLE_MS)
		return {workers, tasks, ...(await measureWindow(rig, daemons))}
	} finally {
		await rig.stop()
	}
}

async function startTasks(rig: DaemonRig, {process}: Daemon, tasks: number): Promise<void> {
	const gangs = Math.ceil(tasks / GANG_MEMBERS)
	for (let index = 0; index < gangs; index++)
		await rig.submit(process, `gang-${index}`, {
			service: "turn-plan",
			shape: {members: GANG_MEMBERS, accelerators: 0, adjacency: "any", cpus: 1, memoryMb: 100},
			declaredRunMs: DAY_MS,
			payload: JSON.stringify({runMs: DAY_MS})
		})
	await waitUntil("every task runs", () => rig.countRunning() >= tasks, 300000)
}

async function measureWindow(
	rig: DaemonRig,
	daemons: readonly Daemon[]
): Promise<{holder: RoleCost; other: RoleCost}> {
	const holder = rig.findHolder(ZONE)
	const other = daemons.find(daemon => daemon !== holder)
	if (holder === undefined || other === undefined) throw new Error("the zone is not held")
	const read = () => ({
		at: performance.now(),
		holder: readProcessUsage(holder.process.child.pid ?? 0),
		other: readProcessUsage(other.process.child.pid ?? 0),
		platform: rig.platformBytes.count(),
		workers: rig.workerBytes.count(),
		peers: holder.peerBytes.count() + other.peerBytes.count()
	})
	const before = read()
	await pause(WINDOW_MS)
	const after = read()
	const seconds = (after.at - before.at) / 1000
	const computeRoleCost = (role: "holder" | "other", bytes: number): RoleCost => ({
		cpuPercent: (after[role].cpuMs - before[role].cpuMs) / seconds / 10,
		rssMb: after[role].rssMb,
		kbPerSecond: bytes / seconds / 1000
	})
	const peers = after.peers - before.peers
	const platform = after.platform - before.platform
	// The platform's bytes are the sum for both daemons. Both take part in all peer traffic, so each counts all of it.
	return {
		holder: computeRoleCost("holder", after.workers - before.workers + platform / 2 + peers),
		other: computeRoleCost("other", platform / 2 + peers)
	}
}

function measureBareNode(): Promise<number> {
	const child = spawn(process.execPath, ["-e", "setInterval(() => undefined, 1000)"])
	return pause(SETTLE_MS / 6).then(() => {
		const {rssMb} = readProcessUsage(child.pid ?? 0)
		child.kill("SIGKILL")
		return rssMb
	})
}

function buildMetric(
	metric: string,
	value: number,
	unit: string,
	target: number | null
): BenchMetric {
	const rounded = Math.round(value * 1000) / 1000
	return {
		metric,
		value: rounded,
		unit,
		baseline: null,
		target,
		met: target === null || value <= target
	}
}

function buildPointMetrics(
	{workers, tasks, holder, other}: PointCost,
	bareMb: number
): BenchMetric[] {
	const isFullShare = workers === SHARE_WORKERS && tasks === SHARE_TASKS
	const buildRoleMetrics = (role: string, cost: RoleCost): BenchMetric[] => {
		const where = `${role}-${workers}-workers-${tasks}-tasks`
		return [
			buildMetric(
				`cpu-${where}`,
				cost.cpuPercent,
				"% of a core",
				isFullShare ? CPU_TARGET_PERCENT : null
			),
			buildMetric(`rss-${where}`, cost.rssMb, "MB", isFullShare ? RSS_TARGET_MB : null),
			buildMetric(`rss-above-node-${where}`, cost.rssMb - bareMb, "MB", null),
			buildMetric(`bytes-${where}`, cost.kbPerSecond, "KB/s", isFullShare ? BYTES_TARGET_KB : null)
		]
	}
	return [...buildRoleMetrics("holder", holder), ...buildRoleMetrics("other", other)]
}

function buildSlopeMetrics(costs: readonly PointCost[]): BenchMetric[] {
	const idle = costs.filter(({tasks}) => tasks === 0)
	const full = costs.filter(({workers}) => workers === SHARE_WORKERS)
	const compute = (points: readonly PointCost[], axis: "workers" | "tasks", key: keyof RoleCost) =>
		computeSlope(points.map(point => [point[axis], point.holder[key]]))
	return [
		buildMetric("cpu-per-worker", compute(idle, "workers", "cpuPercent"), "% of a core", null),
		buildMetric("bytes-per-worker", compute(idle, "workers", "kbPerSecond"), "KB/s", null),
		buildMetric("rss-per-worker", compute(idle, "workers", "rssMb"), "MB", null),
		buildMetric(
			"cpu-per-100-tasks",
			100 * compute(full, "tasks", "cpuPercent"),
			"% of a core",
			null
		),
		buildMetric("bytes-per-100-tasks", 100 * compute(full, "tasks", "kbPerSecond"), "KB/s", null),
		buildMetric("rss-per-100-tasks", 100 * compute(full, "tasks", "rssMb"), "MB", null)
	]
}

/** Computes the slope of a least-squares line. */
function computeSlope(points: readonly (readonly [x: number, y: number])[]): number {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length
	const numerator = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
	const denominator = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
	return numerator / denominator
}
