/** Answers, errors and reports that are taken for the end of a run and don't prove it. */
import {once} from "node:events"
import {subscribe, unsubscribe} from "node:diagnostics_channel"
import {createServer} from "node:http"
import {type AddressInfo, type Socket} from "node:net"
import {expect} from "chai"
import {TransportError} from "../src/internal.js"
import {HttpClient} from "../src/adapters/http-client.js"
import {type CommandAnswer, FleetWorker} from "../standins/fleet/worker.js"
import {BATCH, createJob, createServingDomain} from "./fixtures/domain.js"

const ID = "0000000000000037"
const START = "/v1/run-start"
const LONG_MS = 30000
/** Longer than any lease counts. */
const PLAYED_MS = 25000
const CONNECTED_CHANNEL = "undici:client:connected"

/** Lets the worker carry out its first start and answer it with a status that says nothing about the run. */
function answerFirstStart(worker: FleetWorker, status: number): void {
	const start = worker.start.bind(worker)
	let starts = 0
	worker.start = command => {
		const answer = start(command)
		return ++starts === 1 ? ({status, body: {}} as unknown as CommandAnswer) : answer
	}
}

/** Breaks the connection by `code` once the server has read the request, and returns the error of the call. */
async function breakAfterRequest(code: string): Promise<TransportError> {
	const sockets: Socket[] = []
	const addSocket = (message: unknown) => {
		sockets.push((message as {socket: Socket}).socket)
	}
	const server = createServer(request => {
		request.resume().on("end", () => {
			for (const socket of sockets)
				socket.destroy(Object.assign(new Error(`read ${code}`), {code, syscall: "read"}))
		})
	})
	server.listen(0, "127.0.0.1")
	await once(server, "listening")
	subscribe(CONNECTED_CHANNEL, addSocket)
	const client = new HttpClient()
	try {
		const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}${START}`
		const result = await client.exchange({method: "POST", url, body: {}, timeoutMs: 5000})
		return result._unsafeUnwrapErr() as TransportError
	} finally {
		unsubscribe(CONNECTED_CHANNEL, addSocket)
		await client.close()
		server.closeAllConnections()
		server.close()
	}
}

describe("the answer to a start", () => {
	for (const status of [408, 500, 502, 504])
		it(`proves nothing by the status ${status}`, async () => {
			const {first, fleet, submit, advance} = await createServingDomain()
			for (const worker of fleet.workers.values()) answerFirstStart(worker, status)
			await submit(first, `${BATCH}${ID}`, createJob({workMs: LONG_MS}))
			await advance(PLAYED_MS)
			expect(fleet.monitor.violations).to.deep.equal([])
		})
})

describe("a call whose connection breaks after the request was read", () => {
	for (const code of ["ECONNRESET", "EHOSTUNREACH", "ENETUNREACH"])
		it(`counts as sent (${code})`, async () => {
			const error = await breakAfterRequest(code)
			expect(error).to.be.instanceOf(TransportError)
			expect(error.message).to.contain(code)
			expect(error.sent).to.equal(true)
		})
})
