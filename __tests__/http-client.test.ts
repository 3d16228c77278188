import {expect} from "chai"
import {Hono} from "hono"
import {HttpClient} from "../src/adapters/http-client.js"
import {type StandInApp, startServer} from "../standins/serve.js"

async function createServedClient() {
	const app: StandInApp = new Hono()
	app.all("*", context => context.json({isServed: true}))
	const server = await startServer(app, 0)
	const http = new HttpClient()
	const stop = async () => {
		await http.close()
		server.close()
	}
	return {http, url: `http://127.0.0.1:${server.port}/`, stop}
}

describe("the HTTP client", () => {
	it("sends a request whose deadline is a fraction of milliseconds", async () => {
		const {http, url, stop} = await createServedClient()
		const answer = await http.exchange({method: "GET", url, timeoutMs: 900.5})
		await stop()
		expect(answer._unsafeUnwrap()).to.deep.equal({status: 200, body: {isServed: true}})
	})
})
