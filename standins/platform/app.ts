/** HTTP routes of the platform stand-in. */
import {Hono} from "hono"
import {z} from "zod"
import {type Clock, SystemClock} from "../../src/internal.js"
import {hostListSchema} from "../../src/adapters/schemas.js"
import {type FaultSwitch} from "../faults.js"
import {type StandInApp, addRoute} from "../serve.js"
import {type PlatformCore} from "./core.js"

const writeSchema = z.object({
	key: z.string(),
	ifVersion: z.int(),
	value: z.string().nullable().optional()
})

const hostListRequestSchema = z.object({knownVersion: z.int()})

const viewSchema = z.object({
	viewer: z.string(),
	addresses: z.record(z.string(), z.object({address: z.string(), peerAddress: z.string()}))
})

export function createPlatformApp(core: PlatformCore, faults: FaultSwitch): StandInApp {
	const clock = new SystemClock()
	const app: StandInApp = new Hono()
	app.use(faults.buildMiddleware())
	// A viewer is a host with its own host list, which has the addresses at which it reaches the others.
	for (const prefix of ["", "/as/:viewer"]) addServiceRoutes(app, prefix, core, clock)
	addControlRoutes(app, core, clock)
	app.post("/control/faults", context => faults.handleControl(context))
	app.get("/control/counts", context => context.json({commits: core.commits, reads: core.reads}))
	return app
}

function addServiceRoutes(app: StandInApp, prefix: string, core: PlatformCore, clock: Clock): void {
	addRoute(app, `${prefix}/table/read`, z.object({keys: z.array(z.string())}), ({keys}) =>
		core.read(keys)
	)
	addRoute(app, `${prefix}/table/scan`, z.object({prefix: z.string()}), ({prefix}) =>
		core.scan(prefix)
	)
	addRoute(app, `${prefix}/table/commit`, z.object({writes: z.array(writeSchema)}), ({writes}) =>
		core.commit(writes.map(({key, ifVersion, value}) => ({key, ifVersion, value})))
	)
	addRoute(
		app,
		`${prefix}/objects/put`,
		z.object({key: z.string(), body: z.string()}),
		({key, body}) => {
			core.putObject(key, body)
		}
	)
	addRoute(app, `${prefix}/objects/get`, z.object({key: z.string()}), ({key}) =>
		core.getObject(key)
	)
	addRoute(app, `${prefix}/hosts/list`, hostListRequestSchema, ({knownVersion}, context) =>
		core.listHosts(clock.now(), knownVersion, context.req.param("viewer"))
	)
	addRoute(app, `${prefix}/hosts/heartbeat`, hostListSchema.element, record => {
		core.registerHost(record, clock.now())
	})
}

function addControlRoutes(app: StandInApp, core: PlatformCore, clock: Clock): void {
	addRoute(app, "/control/pin-host", hostListSchema.element, record => {
		core.pinHost(record, clock.now())
	})
	addRoute(app, "/control/remove-host", z.object({id: z.string()}), ({id}) => {
		core.removeHost(id, clock.now())
	})
	addRoute(app, "/control/list-lag", z.object({ms: z.number()}), ({ms}) => {
		core.listLagMs = ms
	})
	addRoute(app, "/control/view", viewSchema, ({viewer, addresses}) => {
		core.setView(viewer, addresses)
	})
	addRoute(app, "/control/hosts", z.object({}), () => core.readHosts())
}
