/** Runs the platform stand-in as a process: `--port`, `--list-lag-ms`. */
import {parseArgs} from "node:util"
import {FaultSwitch} from "../faults.js"
import {announce, listen} from "../serve.js"
import {createPlatformApp} from "./app.js"
import {PlatformCore} from "./core.js"

const {values} = parseArgs({
	options: {port: {type: "string", default: "0"}, "list-lag-ms": {type: "string", default: "0"}}
})
const core = new PlatformCore()
core.listLagMs = Number(values["list-lag-ms"])
const port = await listen(createPlatformApp(core, new FaultSwitch()), Number(values.port))
announce({role: "platform", port})
