import {once} from "node:events"
import {Worker} from "node:worker_threads"
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

/** Connections of a client to one server. */
const CONNECTIONS = 16

/** A server in a thread of its own, which answers while this thread is busy. */
const SERVER_CODE = `
	const {createServer} = require("node:http")
	const {parentPort} = require("node:worker_threads")
	const server = createServer((_, response) => {
		setTimeout(() => response.end("{}"), 50)
	})
	server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port))
`

async function createThreadServer() {
	const thread = new Worker(SERVER_CODE, {eval: true})
	const [port] = (await once(thread, "message")) as [number]
	return {url: `http://127.0.0.1:${port}/`, stop: () => thread.terminate()}
}

/** Keeps this thread from reading answers and firing timers. */
function occupyThread(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
}

describe("the HTTP client", () => {
	it("sends a request whose deadline is a fraction of milliseconds", async () => {
		const {http, url, stop} = await createServedClient()
		const answer = await http.exchange({method: "GET", url, timeoutMs: 900.5})
		await stop()
		expect(answer._unsafeUnwrap()).to.deep.equal({status: 200, body: {isServed: true}})
	})

	// Regression test: timers fire before answers are read, so a busy host took answers in time for missing ones.
	it("takes answers that have arrived by their deadline, however late the process reads them", async () => {
		const {url, stop} = await createThreadServer()
		const http = new HttpClient()
		await http.exchange({method: "GET", url, timeoutMs: 1000})
		const calls = Array.from({length: 100}, () =>
			http.exchange({method: "GET", url, timeoutMs: 300})
		)
		// Sends as many requests as there are connections; their answers arrive while the thread is busy.
		await new Promise(resolve => {
			setTimeout(resolve, 20)
		})
		await new Promise<void>(resolve => {
			setImmediate(() => {
				occupyThread(600)
				resolve()
			})
		})
		const answers = await Promise.all(calls)
		await http.close()
		await stop()
		expect(answers.filter(answer => answer.isOk())).to.have.length.at.least(CONNECTIONS)
	})
})
