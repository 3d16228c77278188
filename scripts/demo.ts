/**
 * Runs the whole product once for each deployment: six hosts in three zones, operated only by the command-line tool,
 * all kinds of jobs, a zone taken out and back in, and hosts stopped gracefully. The last line printed is JSON.
 */
import {fileURLToPath} from "node:url"
import {
	type DemoCounts,
	type DemoJob,
	countJobs,
	countStartsWithin,
	isPassed,
	sumCounts
} from "./demo-audit.js"
import {type Caller, createDemoJob, loadJob, submitJob, waitForJob} from "./demo-callers.js"
import {OPERATOR_TOKEN, Rig, type RigOptions} from "./demo-rig.js"

/** How long tasks may still start in a zone after the operator received confirmation that it is out of service. */
const ZONE_OUT_GRACE_MS = 4000

interface Deployment {
	readonly name: string
	readonly bundle: string
	readonly rig: RigOptions
	readonly zoneOut: string
	/** One caller of each workspace. */
	readonly callers: readonly Caller[]
	/** Number of jobs per zone in one wave, by file name in `examples/jobs`. */
	readonly wave: Readonly<Record<string, number>>
}

const RIG_SIZE = {daemonsPerZone: 2, workersPerZone: 4, endpointsPerZone: 1}

const DEPLOYMENTS: readonly Deployment[] = [
	{
		name: "Posta",
		bundle: "posta.yaml",
		rig: {
			...RIG_SIZE,
			zones: ["nairobi-a", "mombasa-a", "kisumu-a"],
			cpus: 30,
			memoryMb: 128000
		},
		zoneOut: "kisumu-a",
		callers: [
			createCaller("nairobi-tracing", "clerk"),
			createCaller("mombasa-tracing", "clerk"),
			createCaller("kisumu-tracing", "clerk"),
			createCaller("dead-parcels", "sorter")
		],
		wave: {"address-read": 10, "parcel-sort": 4, "letter-match": 2}
	},
	{
		name: "Authority",
		bundle: "authority.yaml",
		rig: {
			...RIG_SIZE,
			zones: ["kozhikode-a", "ernakulam-a", "kollam-a"],
			cpus: 130,
			memoryMb: 512000
		},
		zoneOut: "kollam-a",
		callers: [
			createCaller("kozhikode-rota", "ward"),
			createCaller("ernakulam-rota", "ward"),
			createCaller("kollam-rota", "ward"),
			createCaller("drought-audit", "auditor")
		],
		wave: {"rota-request": 10, "drought-audit": 3, "turn-plan": 1}
	}
]

/** The example bundles accept tokens of this form. */
function createCaller(workspace: string, caller: string): Caller {
	return {name: `${workspace}/${caller}`, token: `demo-${workspace}-${caller}`}
}

class Demo {
	readonly #deployment: Deployment
	readonly #rig = new Rig()
	readonly #jobs: DemoJob[] = []
	readonly #startedAt = performance.now()
	#serial = 0
	#faults = 0

	constructor(deployment: Deployment) {
		this.#deployment = deployment
	}

	async run(): Promise<{counts: DemoCounts; faults: number}> {
		try {
			await this.#start()
			await this.#submitWithTool()
			await this.#runWave("First wave at every zone")
			await this.#takeZoneOutAndIn()
			await this.#stopOneHostPerZone()
			await this.#showStatus()
			const counts = countJobs(this.#jobs, await this.#rig.collectRuns())
			await this.#stopRemainingHosts()
			return {counts, faults: this.#faults}
		} finally {
			await this.#rig.close()
		}
	}

	async #start(): Promise<void> {
		const {name, bundle, rig} = this.#deployment
		this.#print(`${name}: ${rig.zones.join(", ")}`)
		const output = await this.#runTool(["key", "generate", "--out", this.#rig.keyFile, "--json"], {
			quiet: true
		})
		const {publicKey} = JSON.parse(output) as {publicKey: string}
		await this.#rig.start(rig, publicKey)
		await this.#rig.registerDaemons()
		const perZone = `${rig.daemonsPerZone} hosts, ${rig.workersPerZone} workers of 8 accelerators and ${rig.endpointsPerZone} endpoint in each zone`
		this.#print(`${this.#rig.processCount} processes: the platform, and ${perZone}`)
		const file = fileURLToPath(new URL(`../examples/${bundle}`, import.meta.url))
		const signed = `${this.#rig.folder}/signed.json`
		const key = ["--key", this.#rig.keyFile]
		await this.#runTool(["bundle", "check", file])
		await this.#runTool(["bundle", "sign", file, ...key, "--out", signed, "--note", "first bundle"])
		await this.#runTool(["bundle", "rollout", signed])
		await this.#rig.waitUntilReady()
	}

	/** Submits one job through the command-line tool; it is audited like the others. */
	async #submitWithTool(): Promise<void> {
		const [caller] = this.#deployment.callers
		const [name] = Object.keys(this.#deployment.wave)
		if (caller === undefined || name === undefined) return
		const file = fileURLToPath(new URL(`../examples/jobs/${name}.yaml`, import.meta.url))
		const args = ["job", "submit", file, "--key", "first", "--wait"]
		const output = await this.#runTool(args, {token: caller.token})
		const id = output.split("\n")[1]?.split(" ")[0] ?? ""
		const job = createDemoJob(id, loadJob(name))
		this.#jobs.push(job)
		await waitForJob(() => this.#rig.listDaemons().map(({url}) => url), caller, job)
	}

	/** Submits a wave, its counts divided by `divisor`, to the hosts of every zone and waits for its jobs. */
	async #runWave(title: string, divisor = 1): Promise<void> {
		const {rig} = this.#deployment
		const wave = Object.entries(this.#deployment.wave).map(
			([name, count]) => [name, Math.ceil(count / divisor)] as const
		)
		const perZone = wave.map(([name, count]) => `${count} × ${name}`)
		this.#print(`${title}: ${perZone.join(", ")}`)
		const before = this.#jobs.length
		const names = wave.flatMap(([name, count]) => Array.from({length: count}, () => name))
		await Promise.all(rig.zones.map(zone => this.#submitAt(zone, names)))
		const ended = this.#jobs.slice(before)
		const receivedCount = ended.filter(({outcome}) => outcome !== undefined).length
		this.#print(`  ${ended.length} accepted, ${receivedCount} outcomes received`)
	}

	/** Submits one wave to the hosts of a zone, with the callers in turn, and waits for every job. */
	async #submitAt(zone: string, names: readonly string[]): Promise<void> {
		const {callers} = this.#deployment
		await Promise.all(
			names.map(async (name, index) => {
				const caller = callers[index % callers.length]
				if (caller === undefined) return
				const serial = `${zone}-${++this.#serial}`
				const job = await submitJob(
					this.#listUrls(zone),
					caller,
					loadJob(name, serial),
					`demo-${serial}`
				)
				if (job === undefined) {
					this.#reportFault(`${name} ${serial} was refused`)
					return
				}
				this.#jobs.push(job)
				await waitForJob(() => this.#listUrls(zone), caller, job)
			})
		)
	}

	/** Lists the zone's own hosts first, then all others. */
	#listUrls(zone: string): string[] {
		const own = this.#rig.daemons.get(zone) ?? []
		return [...own, ...this.#rig.listDaemons().filter(one => !own.includes(one))].map(
			({url}) => url
		)
	}

	async #takeZoneOutAndIn(): Promise<void> {
		const {zoneOut} = this.#deployment
		const key = ["--key", this.#rig.keyFile, "--retry"]
		await this.#runTool(["zone", "out", zoneOut, ...key])
		const graceEndsAt = Date.now() + ZONE_OUT_GRACE_MS
		await this.#runWave(`Wave at every zone while ${zoneOut} is out of service`)
		await waitUntilWallTime(graceEndsAt)
		await this.#runWave(`Half a wave, ${ZONE_OUT_GRACE_MS} ms later`, 2)
		const inAt = Date.now()
		const ids = this.#rig.backEndIds.get(zoneOut) ?? new Set()
		const lateStarts = countStartsWithin(await this.#rig.collectRuns(), ids, graceEndsAt, inAt)
		if (lateStarts > 0)
			this.#reportFault(`${lateStarts} tasks started in ${zoneOut} while it was out of service`)
		else this.#print(`  no task started in ${zoneOut} while it was out of service`)
		await this.#runTool(["zone", "in", zoneOut, ...key])
		await this.#runWave(`${zoneOut} is back in service`)
		const newStarts = countStartsWithin(await this.#rig.collectRuns(), ids, inAt, Infinity)
		if (newStarts === 0)
			this.#reportFault(`no task started in ${zoneOut} after it returned to service`)
		else this.#print(`  ${newStarts} tasks started in ${zoneOut} again`)
	}

	/** Stops one host of each zone during a wave; the zone's other host takes over. */
	async #stopOneHostPerZone(): Promise<void> {
		const wave = this.#runWave("One host of each zone is stopped (SIGTERM) during a wave")
		const stops = this.#deployment.rig.zones.map(async zone => {
			const [first] = this.#rig.daemons.get(zone) ?? []
			if (first !== undefined) this.#checkExit(first.name, await this.#rig.stopDaemon(zone, first))
		})
		await Promise.all([wave, ...stops])
	}

	async #showStatus(): Promise<void> {
		await this.#runTool(["zone", "status"])
		await this.#runTool(["worker", "list"])
		await this.#runTool(["bundle", "history"])
	}

	async #stopRemainingHosts(): Promise<void> {
		this.#print("The remaining hosts are stopped (SIGTERM)")
		await Promise.all(
			this.#deployment.rig.zones.flatMap(zone =>
				(this.#rig.daemons.get(zone) ?? []).map(async daemon => {
					this.#checkExit(daemon.name, await this.#rig.stopDaemon(zone, daemon))
				})
			)
		)
	}

	#checkExit(name: string, code: number | null): void {
		if (code === 0) this.#print(`  ${name} stopped gracefully`)
		else this.#reportFault(`${name} exited with ${code ?? "a signal"}`)
	}

	/** Runs the command-line tool and prints the command line and, unless `quiet`, its output. */
	async #runTool(
		args: readonly string[],
		{quiet = false, token = OPERATOR_TOKEN} = {}
	): Promise<string> {
		const {code, stdout, stderr} = await this.#rig.runTool(args, token)
		const shownArgs = args.map(arg => arg.replace(/^.*\//, ""))
		this.#print(`$ cardamomhook ${shownArgs.join(" ")}`)
		const text = `${stdout}${stderr}`.trimEnd()
		if (!quiet) for (const line of text.split("\n")) this.#print(`    ${line}`)
		if (code !== 0) this.#reportFault(`the tool ended with exit code ${code}`)
		return stdout
	}

	#reportFault(message: string): void {
		this.#faults++
		this.#print(`  FAULT: ${message}`)
	}

	#print(text: string): void {
		const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(1).padStart(5)
		console.log(`${seconds} s  ${text}`)
	}
}

async function waitUntilWallTime(wallMs: number): Promise<void> {
	await new Promise(resolve => setTimeout(resolve, Math.max(0, wallMs - Date.now())))
}

async function runAll(): Promise<boolean> {
	const results: {counts: DemoCounts; faults: number}[] = []
	for (const deployment of DEPLOYMENTS) {
		const result = await new Demo(deployment).run()
		results.push(result)
		console.log(`        ${deployment.name}: ${JSON.stringify(result.counts)}\n`)
	}
	const counts = sumCounts(results.map(result => result.counts))
	const faults = results.reduce((sum, result) => sum + result.faults, 0)
	const passed = faults === 0 && isPassed(counts)
	console.log(JSON.stringify({demo: passed ? "ok" : "failed", ...counts, faults}))
	return passed
}

process.exitCode = (await runAll()) ? 0 : 1
