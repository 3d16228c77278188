/** HTTP routes of the endpoint stand-in. */
import {Hono} from "hono"
import {z} from "zod"
import {callRequestSchema, inspectRequestSchema} from "../../src/adapters/schemas.js"
import {type FaultSwitch} from "../faults.js"
import {type StandInApp, addRoute} from "../serve.js"
import {type EndpointCore} from "./core.js"

const switchesSchema = z.strictObject({
	leaving: z.boolean().optional(),
	refusesWhenLeaving: z.boolean().optional(),
	failAll: z.boolean().optional()
})

export function createEndpointApp(core: EndpointCore, faults: FaultSwitch): StandInApp {
	const app: StandInApp = new Hono()
	app.use(faults.buildMiddleware())
	addRoute(app, "/status", z.object({}), () => core.readStatus())
	addRoute(app, "/call", callRequestSchema, body => core.call(body))
	addRoute(app, "/inspect", inspectRequestSchema, ({taskId, incarnation}) =>
		core.inspect(taskId, incarnation)
	)
	addRoute(app, "/control/switches", switchesSchema, switches => {
		Object.assign(core, switches)
	})
	app.post("/control/faults", context => faults.handleControl(context))
	app.get("/control/runs", context => context.json(core.runs))
	return app
}
