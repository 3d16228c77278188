/** HTTP routes of the worker stand-in. */
import {Hono} from "hono"
import {z} from "zod"
import {
	releaseRequestSchema,
	renewRequestSchema,
	reserveRequestSchema,
	startRequestSchema,
	stopRequestSchema
} from "../../src/adapters/schemas.js"
import {type FaultSwitch} from "../faults.js"
import {type StandInApp, addRoute} from "../serve.js"
import {type WorkerCore} from "./core.js"

const switchesSchema = z.strictObject({
	failAll: z.boolean().optional(),
	ignoreStopMs: z.number().optional(),
	runFactor: z.number().optional()
})

export function createWorkerApp(core: WorkerCore, faults: FaultSwitch): StandInApp {
	const app: StandInApp = new Hono()
	app.use(faults.buildMiddleware())
	addRoute(app, "/renew", renewRequestSchema, body => core.renew(body))
	addRoute(app, "/reserve", reserveRequestSchema, body => core.reserve(body))
	addRoute(app, "/start", startRequestSchema, body => core.start(body))
	addRoute(app, "/stop", stopRequestSchema, body => core.stop(body))
	addRoute(app, "/release", releaseRequestSchema, ({taskId}) => {
		core.release(taskId)
	})
	addRoute(app, "/control/switches", switchesSchema, switches => {
		Object.assign(core.switches, switches)
	})
	app.post("/control/faults", context => faults.handleControl(context))
	app.get("/control/runs", context => context.json(core.runs))
	return app
}
