/** HTTP routes of the platform's stand-in: one server acts as the store, and one as each worker. */
import {type Context, Hono} from "hono"
import {type ContentfulStatusCode} from "hono/utils/http-status"
import {type StandInApp} from "../serve.js"
import {type FleetStandIn} from "./fleet.js"

export function createFleetApp(fleet: FleetStandIn, target: string): StandInApp {
	const app: StandInApp = new Hono()
	app.all("*", async (context: Context) => {
		const {method, path} = context.req
		const answer = await fleet.handle({
			method,
			target,
			path,
			query: new URL(context.req.url).searchParams,
			headers: context.req.header(),
			body: method === "POST" ? await context.req.json() : undefined
		})
		return context.json(answer.body ?? {}, answer.status as ContentfulStatusCode)
	})
	return app
}
