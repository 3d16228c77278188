/** Runs a host against the platform's stand-in over loopback and checks what callers receive. */
import {expect} from "chai"
import {request} from "undici"
import {Host} from "../src/host.js"
import {SystemClock} from "../src/internal.js"
import {PlatformWiring} from "../platform/wiring.js"
import {createFleetApp} from "../standins/fleet/app.js"
import {FleetStandIn, STORE_TARGET} from "../standins/fleet/fleet.js"
import {startServer} from "../standins/serve.js"
import {createSettings} from "./fixtures/board.js"
import {BATCH, CALLER_KEY, HOST_NAME, createCatalogRecord} from "./fixtures/domain.js"

const LOOPBACK = "127.0.0.1"
const ID = "00000000000000aa"

async function createPlatformHost() {
	const clock = new SystemClock()
	const fleet = new FleetStandIn(clock)
	fleet.store.putRow("op", "config", createCatalogRecord(1))
	const store = await startServer(createFleetApp(fleet, STORE_TARGET), 0)
	const worker = await startServer(createFleetApp(fleet, "w1"), 0)
	fleet.addWorker("w1", {address: `${LOOPBACK}:${worker.port}`})
	const anyPort = {host: LOOPBACK, port: 0}
	const settings = createSettings({
		platformUrl: `http://${LOOPBACK}:${store.port}`,
		domain: {
			name: "fleet",
			readinessAddress: anyPort,
			metricsAddress: anyPort,
			revokeMs: 5000,
			stopMs: 200,
			stateKeptMs: 180000,
			restoreMs: 250,
			remoteFactor: 3,
			workerLeaseMaxMs: 10000,
			cores: 1,
			learnRunTimes: true,
			coreShare: 1
		}
	})
	const host = new Host(settings, clock, new PlatformWiring(clock))
	const {port} = await host.start()
	const call = async (
		method: "GET" | "POST" | "DELETE",
		path: string,
		body?: string,
		key = CALLER_KEY
	) => {
		const response = await request(`http://${LOOPBACK}:${port}${path}`, {
			method,
			headers: {host: HOST_NAME, authorization: `Bearer ${key}`, "x-deadline-ms": "2000"},
			body: body ?? null
		})
		const text = await response.body.text()
		return {status: response.statusCode, body: JSON.parse(text) as Record<string, unknown>}
	}
	/** Repeats the request until the answer matches. */
	const callUntil = async (
		path: string,
		isWanted: (answer: {status: number; body: Record<string, unknown>}) => boolean
	) => {
		for (;;) {
			const answer = await call("GET", path)
			if (isWanted(answer)) return answer
			await new Promise(resolve => setTimeout(resolve, 20))
		}
	}
	await callUntil(BATCH, ({status}) => status === 200)
	const stop = async () => {
		await host.stop()
		store.close()
		worker.close()
	}
	return {call, callUntil, stop}
}

describe("the callers' interface on the platform", () => {
	it("accepts, shows, counts, cancels and refuses jobs", async () => {
		const {call, callUntil, stop} = await createPlatformHost()
		const job = JSON.stringify({spec: '{"workMs":50}', steps: [{count: 2, gpu: 1}]})
		expect((await call("POST", `${BATCH}${ID}`, job)).status).to.equal(200)
		await callUntil(`${BATCH}${ID}`, ({body}) => body.state === "completed")
		expect((await call("GET", BATCH)).body).to.deep.equal({pending_jobs: 0})
		expect((await call("DELETE", `${BATCH}${ID}`)).status).to.equal(200)
		expect((await call("GET", `${BATCH}00000000000000bb`)).status).to.equal(410)
		expect((await call("GET", "/no-queue/")).status).to.equal(404)
		expect((await call("GET", BATCH, undefined, "wrong")).status).to.equal(401)
		const malformed = await call("POST", `${BATCH}00000000000000bb`, '{"steps":[]}')
		expect(malformed.status).to.equal(400)
		expect(malformed.body.detail).to.match(/steps/)
		await stop()
	})
})
