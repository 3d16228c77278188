/**
 * Runs the store's stand-in as a process. Workers' entries expire after three intervals of silence. Faults are set at
 * `/control/fault` of a second server.
 */
import {type HttpBindings} from "@hono/node-server"
import {Hono} from "hono"
import {z} from "zod"
import {InvariantError, SystemClock} from "../../src/internal.js"
import {type RunningServer, announce, addRoute, listen, startServer} from "../serve.js"
import {createFleetApp} from "./app.js"
import {FleetStandIn, STORE_TARGET} from "./fleet.js"
import {type StoreContext, STORE_FAULTS} from "./store-faults.js"

const EXPIRY_MS = 4500
const SWEEP_MS = 100
const ANSWER_MS = 4
/** Time that one transaction takes of its part, and the longest queue of a part. */
const TRANSACTION_MS = 1000 / 150
const QUEUE_MAX_MS = 1000
const HTTP_TOO_MANY = 429

const faultSchema = z.strictObject({fault: z.string(), entriesKept: z.boolean()})
const entrySchema = z.strictObject({id: z.string(), entry: z.record(z.string(), z.unknown())})

const clock = new SystemClock()
const fleet = new FleetStandIn(clock)
const heardAt = new Map<string, number>()
let [fault] = STORE_FAULTS
let entriesKept = false
let partFreeAt = 0

/** Returns how long a transaction of the scheduler waits for its turn. */
function queueTransaction(path: string): number {
	if (path !== "/v1/rows-tx") return 0
	partFreeAt = Math.max(partFreeAt, clock.now()) + TRANSACTION_MS
	return partFreeAt - clock.now()
}

function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms)
	})
}

const app = new Hono<{Bindings: HttpBindings}>()
app.use(async (context: StoreContext, next) => {
	const before = fault
	const answer = await before?.handleCall(context, async () => {
		const waitMs = queueTransaction(context.req.path)
		if (waitMs > QUEUE_MAX_MS) context.res = context.json({}, HTTP_TOO_MANY)
		else {
			await pause(ANSWER_MS + waitMs)
			await next()
		}
	})
	return answer ?? (fault === before ? undefined : fault?.handleAnswer(context))
})
addRoute(app, "/entries", entrySchema, ({id, entry}) => {
	heardAt.set(id, clock.now())
	fleet.store.putRow("servers", id, entry)
})
app.route("/", createFleetApp(fleet, STORE_TARGET))

let server: RunningServer = await startServer(app, 0)
const control = new Hono<{Bindings: HttpBindings}>()
addRoute(control, "/control/fault", faultSchema, async request => {
	const found = STORE_FAULTS.find(({name}) => name === request.fault)
	if (found === undefined) throw new InvariantError(`no fault ${request.fault}`)
	const wasListening = fault?.isListening === true
	fault = found
	entriesKept = request.entriesKept
	if (!found.isListening) server.close()
	else if (!wasListening) server = await startServer(app, server.port)
})
addRoute(
	control,
	"/control/row",
	z.object({table: z.string(), key: z.string(), value: z.unknown()}),
	({table, key, value}) => {
		fleet.store.putRow(table, key, value)
	}
)
addRoute(
	control,
	"/control/read",
	z.object({table: z.string(), part: z.string()}),
	({table, part}) => fleet.store.readRange(table, part, "", undefined, 500)
)

setInterval(() => {
	for (const [id, at] of heardAt) {
		if (entriesKept || clock.now() - at < EXPIRY_MS) continue
		heardAt.delete(id)
		fleet.store.deleteRow("servers", id)
	}
}, SWEEP_MS)

const controlPort = await listen(control, 0)
announce({role: "store", port: server.port, controlPort})
