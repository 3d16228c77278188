/** The endpoint stand-in as a process: `--id --zone --platform --slots --port --address`. */
import {randomUUID} from "node:crypto"
import {parseArgs} from "node:util"
import {HostRole, SystemClock} from "../../src/internal.js"
import {FaultSwitch} from "../faults.js"
import {startHeartbeat} from "../heartbeat.js"
import {announce, listen, printLine} from "../serve.js"
import {createEndpointApp} from "./app.js"
import {EndpointCore} from "./core.js"

const {values} = parseArgs({
	options: {
		id: {type: "string", default: "endpoint-1"},
		zone: {type: "string", default: "zone-a"},
		platform: {type: "string", default: "http://127.0.0.1:7000"},
		slots: {type: "string", default: "8"},
		port: {type: "string", default: "0"},
		address: {type: "string"}
	}
})
const core = new EndpointCore(
	values.id,
	randomUUID(),
	Number(values.slots),
	new SystemClock(),
	run => {
		printLine({run})
	}
)
const port = await listen(createEndpointApp(core, new FaultSwitch()), Number(values.port))
const address = values.address ?? `http://127.0.0.1:${port}`
startHeartbeat(values.platform, () => ({
	id: values.id,
	role: HostRole.endpoint,
	zone: values.zone,
	rack: "",
	address,
	peerAddress: "",
	// The host list lags behind; the endpoint itself refuses new calls at once.
	leaving: core.leaving
}))
announce({role: "endpoint", id: values.id, port})
