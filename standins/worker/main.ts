/**
 * The worker stand-in as a process:
 * `--id --zone --rack --platform --accelerators --cpus --memory-mb --port --address`.
 */
import {randomUUID} from "node:crypto"
import {parseArgs} from "node:util"
import {z} from "zod"
import {HostRole, SystemClock} from "../../src/internal.js"
import {FaultSwitch} from "../faults.js"
import {startHeartbeat} from "../heartbeat.js"
import {addRoute, announce, listen, printLine} from "../serve.js"
import {createWorkerApp} from "./app.js"
import {WorkerCore} from "./core.js"

const {values} = parseArgs({
	options: {
		id: {type: "string", default: "worker-1"},
		zone: {type: "string", default: "zone-a"},
		rack: {type: "string", default: "rack-1"},
		platform: {type: "string", default: "http://127.0.0.1:7000"},
		accelerators: {type: "string", default: "8"},
		cpus: {type: "string", default: "30"},
		"memory-mb": {type: "string", default: "128000"},
		port: {type: "string", default: "0"},
		address: {type: "string"}
	}
})
const core = new WorkerCore(
	{
		workerId: values.id,
		incarnation: randomUUID(),
		capacity: {
			accelerators: Number(values.accelerators),
			cpus: Number(values.cpus),
			memoryMb: Number(values["memory-mb"])
		},
		onRun: run => {
			printLine({run})
		},
		onGeneration: generation => {
			printLine({generation, wallMs: Date.now()})
		}
	},
	new SystemClock()
)
let leaving = false
const app = createWorkerApp(core, new FaultSwitch())
addRoute(app, "/control/leaving", z.object({leaving: z.boolean()}), body => {
	leaving = body.leaving
})
const port = await listen(app, Number(values.port))
const address = values.address ?? `http://127.0.0.1:${port}`
startHeartbeat(values.platform, () => ({
	id: values.id,
	role: HostRole.worker,
	zone: values.zone,
	rack: values.rack,
	address,
	peerAddress: "",
	leaving
}))
announce({role: "worker", id: values.id, port})
