/**
 * Runs a site of real daemons in real time while its store is away near the end of the traffic, and looks from outside
 * for jobs that stand still and tasks that run twice. The policy names the run: a fault of the store, then any of `kept`
 * (workers' entries outlast the outage), `kill` (the holder is killed in it), `crash` (so is a tenth of the workers),
 * `chain` (two holders are killed one after the other shortly before it), `refusing` (ports of live workers refuse
 * connections now and then), `delayed` (some answers of workers come late and out of order), `tight` (hosts run only for
 * their share of a core), `small` (there are no large hosts) and `few` (a quarter of the hosts, workers and jobs, for a
 * machine that has other work to do).
 */
import {mkdirSync, mkdtempSync, writeFileSync} from "node:fs"
import {loadavg, tmpdir} from "node:os"
import {join} from "node:path"
import {request} from "undici"
import {type StartedProcess, Launcher} from "../standins/launcher.js"
import {type Bench, type BenchMetric, type BenchOptions} from "./bench.js"
import {pause, waitUntil} from "./daemon-rig.js"
import {SiteHost} from "./site-hosts.js"
import {type SiteJob, SiteClient, createSiteConfig, drawJobs} from "./site-load.js"
import {type TwiceCase, TwiceCheck, TwiceKind, formatTwiceCase} from "./site-twice.js"
import {type RunEvent, type StillCase, StillCheck, findStandstills} from "./site-still.js"

const FULL_SIZE = {hosts: 44, largeHosts: 12, workers: 350, guaranteedGpu: 184, eachJob: 1}
const FEW_SIZE = {hosts: 11, largeHosts: 3, workers: 88, guaranteedGpu: 46, eachJob: 4}
const ZONES = ["nairobi-a", "mombasa-a", "kisumu-a", "nairobi-b", "mombasa-b", "kisumu-b"]
const MS_PER_S = 1000
const TRAFFIC_S = 34
const SETTLE_MS = 4000
/** The store is back this long before the end of the traffic. */
const RETURN_BEFORE_END_MS = 500
const OUTAGE_MIN_MS = 4500
const OUTAGE_SPREAD_MS = 3500
const KILL_AFTER_MS = 1000
const RESTART_MS = 1500
const CHAIN_BEFORE_MS = 7000
const SUCCESSOR_MAX_MS = 4000
const SUCCESSOR_LIFE_MS = 500
const POLL_MS = 100
/** Parts of the policy that the workers' process carries out. */
const WORKER_FAULTS = ["refusing", "delayed"]
const FINISH_MS = 25000
const CPU_WINDOW_MS = 6000
const LINES_AROUND_MS = 1000
const GATE_EVENTS = ["work-held", "placement-held", "placement-resumed", "zone-taken"]

interface FleetEvent extends RunEvent {
	readonly calls?: Readonly<Record<string, number>>
	readonly lateMs?: number
	readonly violations?: readonly string[]
}

interface Times {
	beginAt: number
	awayAt: number
	backAt: number
	trafficEndAt: number
	endAt: number
	/** Of the host that holds the domain 6 s after the store's return, since that return. */
	holderCpuMs: number
	machineLoad: number
}

interface SiteOptions {
	readonly size: typeof FULL_SIZE
	readonly seed: number
	readonly folder: string
	readonly program: string
	readonly variants: readonly string[]
}

/** The processes of one run. */
class Site {
	readonly launcher = new Launcher()
	readonly hosts: SiteHost[] = []
	#controlUrl = ""
	#fleet: StartedProcess | undefined

	async start({size, seed, folder, program, variants}: SiteOptions): Promise<void> {
		const largeHosts = variants.includes("small") ? 0 : size.largeHosts
		const faults = WORKER_FAULTS.filter(name => variants.includes(name)).join(",")
		const store = await this.launcher.start("standin-store", [])
		const {controlPort} = JSON.parse(store.lines[0] ?? "{}") as {controlPort: number}
		this.#controlUrl = `http://127.0.0.1:${controlPort}/control`
		await this.#post("row", {
			table: "op",
			key: "config",
			value: createSiteConfig(size.guaranteedGpu)
		})
		const options = ["--store", store.url, "--workers", `${size.workers}`]
		const faultOptions = ["--faults", faults, "--seed", `${seed}`]
		const fleet = await this.launcher.start("standin-fleet", [...options, ...faultOptions])
		for (let index = 0; index < size.hosts; index++) {
			const zone = ZONES[index % ZONES.length] ?? ""
			this.hosts.push(new SiteHost(index, zone, index < largeHosts, store.url, folder, program))
		}
		for (const host of this.hosts) host.start()
		await waitUntil("all hosts are ready", async () => {
			const answers = await Promise.all(this.hosts.map(host => host.checkReady()))
			return answers.every(Boolean)
		})
		if (variants.includes("tight")) for (const host of this.hosts) host.limitCpu()
		this.#fleet = fleet
	}

	readEvents(): readonly FleetEvent[] {
		return (this.#fleet?.lines ?? [])
			.filter(line => line.includes('"event"'))
			.map(line => JSON.parse(line) as FleetEvent)
	}

	async setFault(fault: string, entriesKept: boolean): Promise<void> {
		await this.#post("fault", {fault, entriesKept})
	}

	crashWorkers(): void {
		this.#fleet?.child.kill("SIGUSR2")
	}

	async findHolder(): Promise<SiteHost | undefined> {
		const answer = await this.#post("read", {table: "zone", part: "main"})
		const {rows} = JSON.parse(answer) as {rows: {key: string; value: string}[]}
		const row = rows.find(({key}) => key.endsWith("/holder"))
		const text = Buffer.from(row?.value ?? "", "base64").toString()
		return this.hosts.find(({id}) => text.includes(`"${id}"`))
	}

	async stop(): Promise<void> {
		for (const host of this.hosts) host.stop()
		await this.launcher.killAll()
	}

	async #post(path: string, value: unknown): Promise<string> {
		const {body} = await request(`${this.#controlUrl}/${path}`, {
			method: "POST",
			headers: {"content-type": "application/json"},
			body: JSON.stringify(value)
		})
		return body.text()
	}
}

export class SiteOutageBench implements Bench {
	readonly name = "site-outage"
	readonly summary = "44 daemons in real time while the store is away: jobs that stand still"

	async run({seed, policy, out, program}: BenchOptions): Promise<readonly BenchMetric[]> {
		const [fault = "", ...variants] = (policy || "refuse").split("-")
		const folder = out === "" ? mkdtempSync(join(tmpdir(), "cardamomhook-site-")) : out
		mkdirSync(folder, {recursive: true})
		const size = variants.includes("few") ? FEW_SIZE : FULL_SIZE
		const jobs = drawJobs(seed, TRAFFIC_S).filter((_, index) => index % size.eachJob === 0)
		const site = new Site()
		try {
			await site.start({size, seed, folder, program, variants})
			await pause(SETTLE_MS)
			const times = await runTraffic(site, jobs, fault, variants, seed)
			// The summary reads no more lines of the workers, and they would wait for that.
			await site.stop()
			return summarizeRun(site, jobs, times, folder, size.workers)
		} finally {
			await site.stop()
		}
	}
}

async function runTraffic(
	site: Site,
	jobs: readonly SiteJob[],
	fault: string,
	variants: readonly string[],
	seed: number
): Promise<Times> {
	const client = new SiteClient(site.hosts)
	const beginAt = Date.now()
	const lengthMs = OUTAGE_MIN_MS + ((seed * 997) % OUTAGE_SPREAD_MS)
	const clients = jobs.map(job => client.runJob(job))
	const awayAfterMs = TRAFFIC_S * MS_PER_S - RETURN_BEFORE_END_MS - lengthMs
	await pause(awayAfterMs - CHAIN_BEFORE_MS)
	if (variants.includes("chain")) await killHolders(site)
	await pause(beginAt + awayAfterMs - Date.now())
	const holder = await site.findHolder()
	const awayAt = Date.now()
	await site.setFault(fault, variants.includes("kept"))
	await pause(KILL_AFTER_MS)
	if (variants.includes("crash")) site.crashWorkers()
	if (variants.includes("kill")) restartHost(holder)
	await pause(awayAt + lengthMs - Date.now())
	await site.setFault("none", false)
	const backAt = Date.now()
	const [machineLoad = 0] = loadavg()
	const cpuAtReturn = new Map(site.hosts.map(host => [host, host.readCpuMs()]))
	await pause(CPU_WINDOW_MS)
	const successor = await site.findHolder()
	const holderCpuMs =
		(successor?.readCpuMs() ?? 0) -
		(successor === undefined ? 0 : (cpuAtReturn.get(successor) ?? 0))
	const trafficEndAt = beginAt + TRAFFIC_S * MS_PER_S
	await Promise.race([Promise.all(clients), pause(trafficEndAt + FINISH_MS - Date.now())])
	client.stop()
	return {beginAt, awayAt, backAt, trafficEndAt, endAt: Date.now(), holderCpuMs, machineLoad}
}

/** Kills the holder, and then its successor shortly after it has taken over. */
async function killHolders(site: Site): Promise<void> {
	const first = await site.findHolder()
	restartHost(first)
	const waitUntilMs = Date.now() + SUCCESSOR_MAX_MS
	let next = first
	// The killed host may take over from itself.
	while (next === first && Date.now() < waitUntilMs) {
		await pause(POLL_MS)
		next = await site.findHolder()
	}
	await pause(SUCCESSOR_LIFE_MS)
	restartHost(next)
}

function restartHost(host: SiteHost | undefined): void {
	host?.kill()
	setTimeout(() => {
		host?.start()
	}, RESTART_MS)
}

function summarizeRun(
	site: Site,
	jobs: readonly SiteJob[],
	times: Times,
	folder: string,
	workerCount: number
): readonly BenchMetric[] {
	const events = site.readEvents()
	const workers = Array.from({length: workerCount}, (_, index) => {
		const place = Math.floor(index / ZONES.length)
		return `${ZONES[index % ZONES.length] ?? ""}-${place}`
	})
	const check = new StillCheck(jobs, workers)
	check.play(events, times.beginAt, times.endAt)
	const {cases} = check
	const late = cases.filter(({toMs}) => toMs > times.trafficEndAt)
	const afterTraffic = late.map(found => ({
		...found,
		fromMs: Math.max(found.fromMs, times.trafficEndAt)
	}))
	const standstills = findStandstills(cases)
	const report = standstills.map(found => ({...found, lines: findGateLines(site, found)}))
	writeFileSync(join(folder, "events.json"), JSON.stringify(events))
	const twiceCheck = new TwiceCheck()
	twiceCheck.play(events)
	const twice = twiceCheck.findCases()
	const twiceReport = twice.map(found => ({...found, lines: findTaskLines(site, found)}))
	writeFileSync(
		join(folder, "report.json"),
		JSON.stringify({times, jobs, standstills: report, twice: twiceReport})
	)
	for (const found of twice) console.log(formatTwiceCase(found, times.backAt))
	for (const {job, fromMs, toMs, movedLater} of standstills)
		console.log(
			`${job.id} ${job.route} still from ${fromMs - times.backAt} to ${toMs - times.backAt} ms ` +
				`after the store's return, ${movedLater ? "moved later" : "never moved"}`
		)
	const firstStarts = findFirstStarts(events)
	const waiting = jobs.filter(
		({id, acceptedAt = Infinity}) =>
			acceptedAt < times.backAt + MS_PER_S && (firstStarts.get(id) ?? Infinity) >= times.backAt
	)
	const startsMs = waiting.map(({id}) => (firstStarts.get(id) ?? Infinity) - times.backAt)
	const startedMs = startsMs.filter(ms => ms < Infinity)
	const anyStart = events.find(({event, at}) => event === "start" && at >= times.backAt)
	return [
		buildMetric("standstills after the traffic", findStandstills(afterTraffic).length, "jobs", 0),
		buildMetric("standstills in the whole run", standstills.length, "jobs"),
		buildMetric("longest still after the traffic", findLongest(afterTraffic), "ms"),
		buildMetric("longest still in the whole run", findLongest(cases), "ms"),
		buildMetric("tasks run twice", countTwice(twice, Object.values(TwiceKind)), "pairs of runs", 0),
		buildMetric("of these two live runs", countTwice(twice, [TwiceKind.liveRuns]), "pairs of runs"),
		buildMetric("of these after done", countTwice(twice, [TwiceKind.afterDone]), "pairs of runs"),
		buildMetric("refusals of workers", countEvents(events, "refusal"), ""),
		buildMetric("release-contradicted", countLines(site, "release-contradicted"), "lines"),
		buildMetric("jobs", jobs.length, "jobs"),
		buildMetric("accepted", jobs.filter(job => job.acceptedAt !== undefined).length, "jobs"),
		buildMetric("completed", jobs.filter(job => job.completedAt !== undefined).length, "jobs"),
		buildMetric("outage", times.backAt - times.awayAt, "ms"),
		buildMetric("jobs that waited at the return", waiting.length, "jobs"),
		buildMetric("of these never started", startsMs.length - startedMs.length, "jobs"),
		buildMetric("return to first start", (anyStart?.at ?? Infinity) - times.backAt, "ms"),
		buildMetric("return to last job's first start", Math.max(0, ...startedMs), "ms"),
		...buildCallMetrics("before", events, times.awayAt - 5000, times.awayAt),
		...buildCallMetrics("in the outage", events, times.awayAt, times.backAt),
		...buildCallMetrics("after", events, times.backAt, times.backAt + 5000),
		buildMetric("rules broken", events.flatMap(event => event.violations ?? []).length, "", 0),
		buildMetric("processor time of the holder after the return", times.holderCpuMs, "ms"),
		buildMetric("load of the machine at the return", times.machineLoad, "processes"),
		buildMetric("stand-ins late", findLatest(events, times), "ms")
	]
}

function buildMetric(
	metric: string,
	value: number,
	unit: string,
	target: number | null = null
): BenchMetric {
	return {metric, value, unit, baseline: null, target, met: target === null || value <= target}
}

function buildCallMetrics(
	name: string,
	events: readonly FleetEvent[],
	fromMs: number,
	toMs: number
): readonly BenchMetric[] {
	const counts = events.filter(({calls, at}) => calls !== undefined && at > fromMs && at <= toMs)
	return ["/v1/hold", "/v1/run-start", "/v1/run-stop"].map(path => {
		const sum = counts.reduce((total, {calls}) => total + (calls?.[path] ?? 0), 0)
		return buildMetric(`${path} ${name}`, Math.round(sum / Math.max(1, counts.length)), "per s")
	})
}

function findFirstStarts(events: readonly FleetEvent[]): ReadonlyMap<string, number> {
	const found = new Map<string, number>()
	for (const {event, at, task} of events) {
		if (event !== "start") continue
		const [id = ""] = task.split(".")
		if (!found.has(id)) found.set(id, at)
	}
	return found
}

/** How late the timers of the workers' process were at the most during the traffic and after it. */
function findLatest(events: readonly FleetEvent[], {beginAt}: Times): number {
	return Math.max(0, ...events.map(({at, lateMs = 0}) => (at < beginAt + MS_PER_S ? 0 : lateMs)))
}

function findLongest(cases: readonly StillCase[]): number {
	return Math.max(0, ...cases.map(({fromMs, toMs}) => toMs - fromMs))
}

function countTwice(cases: readonly TwiceCase[], kinds: readonly TwiceKind[]): number {
	return cases.filter(({kind}) => kinds.includes(kind)).length
}

function countEvents(events: readonly FleetEvent[], name: string): number {
	return events.filter(({event}) => event === name).length
}

function countLines(site: Site, word: string): number {
	return site.hosts.reduce((sum, host) => sum + host.findLines([word]).length, 0)
}

function findTaskLines(site: Site, {task}: TwiceCase): readonly string[] {
	return site.hosts.flatMap(host => host.findLines([`"${task}"`]).map(line => `${host.id} ${line}`))
}

/** Lines of all hosts that say what held the job, or all jobs, while it stood still. */
function findGateLines(site: Site, {job, fromMs, toMs}: StillCase): readonly string[] {
	return site.hosts.flatMap(host =>
		host.findLines([...GATE_EVENTS, job.id]).filter(line => {
			if (!line.startsWith("{")) return false
			const {time} = JSON.parse(line) as {time: string | number}
			const at = new Date(time).getTime()
			return at >= fromMs - LINES_AROUND_MS && at <= toMs + LINES_AROUND_MS
		})
	)
}
