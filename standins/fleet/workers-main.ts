/**
 * Runs a fleet of workers' stand-ins as one process, since the members of a gang wait for each other: `--store`, and
 * `--workers`, how many over all zones. Prints every start and end of a run, and the calls of each second. SIGUSR2
 * crashes a tenth of the workers for good; `--faults`, a list with commas, names what befalls live ones, and `--seed`
 * when and where.
 */
import {parseArgs} from "node:util"
import {Hono} from "hono"
import {request} from "undici"
import {SystemClock} from "../../src/internal.js"
import {type StandInApp, announce, printLine} from "../serve.js"
import {createFleetApp} from "./app.js"
import {FleetStandIn} from "./fleet.js"
import {type EndRecord, FleetMonitor} from "./worker.js"
import {type FaultyWorker, createWorkerFaults} from "./worker-faults.js"
import {WorkerPort} from "./worker-port.js"

const HEARTBEAT_MS = 1500
const RACK_WORKERS = 12
const COUNT_INTERVAL_MS = 1000
const CRASH_EACH = 10
const ZONES = ["nairobi-a", "mombasa-a", "kisumu-a", "nairobi-b", "mombasa-b", "kisumu-b"]

/** Prints what it records, with the wall-clock time. */
class PrintingMonitor extends FleetMonitor {
	override recordStart(...start: Parameters<FleetMonitor["recordStart"]>): void {
		super.recordStart(...start)
		const [task, run, worker] = start
		printLine({event: "start", at: Date.now(), task, run, worker})
	}

	override recordDone(end: EndRecord): void {
		super.recordDone(end)
		printLine({event: "done", at: Date.now(), ...end})
	}

	override recordLostEnds(ends: readonly EndRecord[]): void {
		super.recordLostEnds(ends)
		for (const end of ends) printLine({event: "lost", at: Date.now(), ...end})
	}

	override recordEnd(end: EndRecord): void {
		super.recordEnd(end)
		printLine({event: "end", at: Date.now(), ...end})
	}

	override recordAcknowledged(ends: readonly EndRecord[]): void {
		super.recordAcknowledged(ends)
		for (const end of ends) printLine({event: "acknowledged", at: Date.now(), ...end})
	}
}

const {values} = parseArgs({
	options: {
		store: {type: "string", default: ""},
		workers: {type: "string", default: "0"},
		faults: {type: "string", default: ""},
		seed: {type: "string", default: "1"}
	}
})
const clock = new SystemClock()
const monitor = new PrintingMonitor()
const fleet = new FleetStandIn(clock, monitor)
const crashed = new Set<string>()
const faultNames = values.faults.split(",")
const faults = createWorkerFaults(Number(values.seed)).filter(({name}) => faultNames.includes(name))
const faultyWorkers: FaultyWorker[] = []
let calls: Record<string, number> = {}

async function sendHeartbeat(id: string): Promise<void> {
	if (crashed.has(id)) return
	try {
		const {body} = await request(`${values.store}/entries`, {
			method: "POST",
			headers: {"content-type": "application/json"},
			body: JSON.stringify({id, entry: fleet.describeWorker(id)}),
			signal: AbortSignal.timeout(HEARTBEAT_MS)
		})
		await body.dump()
	} catch {
		// The store is away; the next heartbeat retries.
	}
}

function createCountedApp(id: string): StandInApp {
	const app: StandInApp = new Hono()
	app.use(async (context, next) => {
		calls[context.req.path] = (calls[context.req.path] ?? 0) + 1
		if (crashed.has(id)) return new Promise<Response>(() => undefined)
		await next()
		const delayMs = Math.max(0, ...faults.map(fault => fault.drawDelay()))
		if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs))
		return undefined
	})
	app.route("/", createFleetApp(fleet, id))
	return app
}

async function addWorker(index: number): Promise<number> {
	const zone = ZONES[index % ZONES.length] ?? ""
	const place = Math.floor(index / ZONES.length)
	const id = `${zone}-${place}`
	const workerPort = new WorkerPort(createCountedApp(id))
	const port = await workerPort.open()
	const rack = `${zone}-r${Math.floor(place / RACK_WORKERS)}`
	fleet.addWorker(id, {zone, rack, service: "barua-trace", address: `127.0.0.1:${port}`})
	const isAtWork = () => !crashed.has(id) && (fleet.workers.get(id)?.running.length ?? 0) > 0
	faultyWorkers.push({id, port: workerPort, isAtWork})
	setTimeout(
		() => {
			void sendHeartbeat(id)
			setInterval(() => void sendHeartbeat(id), HEARTBEAT_MS)
		},
		(index * HEARTBEAT_MS) / Number(values.workers)
	)
	return port
}

process.on("SIGUSR2", () => {
	const ids = [...fleet.workers.keys()].filter((_, index) => index % CRASH_EACH === 0)
	for (const id of ids) {
		crashed.add(id)
		fleet.workers.get(id)?.crash()
		printLine({event: "crash", at: Date.now(), task: "", worker: id})
	}
})

let countDueAt = clock.now() + COUNT_INTERVAL_MS
setInterval(() => {
	const lateMs = Math.round(clock.now() - countDueAt)
	countDueAt = clock.now() + COUNT_INTERVAL_MS
	printLine({
		event: "calls",
		at: Date.now(),
		calls,
		lateMs,
		violations: monitor.violations.splice(0)
	})
	calls = {}
}, COUNT_INTERVAL_MS)

let port = 0
for (let index = 0; index < Number(values.workers); index++) port = await addWorker(index)
for (const fault of faults)
	fault.begin(faultyWorkers, (worker, ms) => {
		printLine({event: "refusal", at: Date.now(), task: "", worker, ms})
	})
announce({role: "fleet", port})
