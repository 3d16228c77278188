/** What the limits of connections do to a client, with a server in this process. */
import {expect} from "chai"
import {Entrance, MAX_BODY_BYTES} from "../src/internal.js"
import {LimitReason} from "../src/adapters/connection-limits.js"
import {Telemetry} from "../src/adapters/telemetry.js"
import {createBoard} from "./fixtures/board.js"
import {waitFor} from "./fixtures/cluster.js"
import {createLimitedServer, formatRequest} from "./fixtures/limited-server.js"

/** Eight connections, the fewest that an entrance has. */
const FEW = {descriptors: 0}

describe("a connection within limits", () => {
	let rig: Awaited<ReturnType<typeof createLimitedServer>>

	afterEach(() => {
		rig.stop()
	})

	it("gets the answers to requests that it sent ahead in order, with one of them ahead at a time", async () => {
		rig = await createLimitedServer()
		const paths = ["/1", "/2", "/3", "/4", "/5"]
		const ahead: number[] = []
		const client = rig.open()
		client.socket.write(paths.map(path => formatRequest(path, "body")).join(""))
		for (const path of paths) {
			await rig.waitUntilServed(path)
			ahead.push(rig.begun.length - rig.served.length)
			rig.answer(path)
		}
		await waitFor("the last answer", () => client.received.includes("/5"))
		expect(client.received.match(/^\/\d/gm)).to.deep.equal(paths)
		expect(Math.max(...ahead)).to.equal(1)
	})

	it("may send blank lines in a body, and any part of a request by itself", async () => {
		rig = await createLimitedServer()
		const body = "\r\n\r\na\r\n\r\n\r\nb\r\n\r\n"
		const text = formatRequest("/now", body)
		const client = rig.open()
		client.socket.setNoDelay(true)
		for (const byte of text) {
			client.socket.write(byte)
			await new Promise(resolve => setImmediate(resolve))
		}
		client.socket.write(text)
		await waitFor("both answers", () => client.received.split("200 OK").length === 3)
		expect(rig.bodies).to.deep.equal([body, body])
	})

	it("may send bodies of the largest size one after the other", async () => {
		rig = await createLimitedServer()
		const client = rig.open()
		const text = formatRequest("/now", "x".repeat(MAX_BODY_BYTES))
		client.socket.write(text.repeat(3))
		await waitFor("the answers", () => client.received.split("200 OK").length === 4)
		expect(rig.bodies.map(({length}) => length)).to.deep.equal(Array(3).fill(MAX_BODY_BYTES))
		expect(rig.reasons).to.deep.equal([])
	})

	it("is closed for a new one if it was served longest ago, and not while a request of it is worked on", async () => {
		rig = await createLimitedServer(FEW)
		const working = rig.open()
		working.socket.write(formatRequest("/working"))
		await rig.waitUntilServed("/working")
		const silent = rig.open()
		const others = Array.from({length: 7}, () => rig.open())
		others.at(-1)?.socket.write(formatRequest("/now"))
		await rig.waitUntilServed("/now")
		await rig.waitUntilClosed(silent.socket)
		rig.answer("/working")
		await waitFor("the answer", () => working.received.includes("/working"))
		expect(rig.reasons).to.deep.equal(["idle"])
	})

	it("is closed at once if all others are worked for", async () => {
		rig = await createLimitedServer(FEW)
		for (let index = 0; index < 8; index++) {
			rig.open().socket.write(formatRequest(`/${index}`))
			await rig.waitUntilServed(`/${index}`)
		}
		await rig.waitUntilClosed(rig.open().socket)
		expect(rig.reasons).to.deep.equal(["busy"])
	})

	it("is closed with its unfinished body if requests take too much memory", async () => {
		rig = await createLimitedServer({memoryMb: 1})
		const large = rig.open()
		large.socket.write(formatRequest("/large", "x".repeat(200000)).slice(0, -100000))
		await rig.waitUntilClosed(large.socket)
		const ordinary = rig.open()
		ordinary.socket.write(formatRequest("/now"))
		await waitFor("the answer", () => ordinary.received.includes("200 OK"))
		expect(rig.reasons).to.deep.equal(["request-bytes"])
	})

	it("gets 503 and Retry-After while requests that are worked on take too much memory", async () => {
		rig = await createLimitedServer({memoryMb: 1})
		const large = rig.open()
		large.socket.write(formatRequest("/large", "x".repeat(65000)))
		await rig.waitUntilServed("/large")
		const second = rig.open()
		second.socket.write(formatRequest("/second", "x".repeat(1000)))
		await waitFor("the refusal", () => second.received.includes("\r\n\r\n"))
		expect(second.received).to.match(/^HTTP\/1.1 503 [^]*retry-after: 1\r\n/)
		rig.answer("/large")
		await waitFor("the answer", () => large.received.includes("/large"))
	})

	it("is closed if it does not take an answer in time", async () => {
		rig = await createLimitedServer({answerTimeoutMs: 50})
		const client = rig.open()
		client.socket.pause()
		client.socket.write(formatRequest("/large"))
		await rig.waitUntilServed("/large")
		rig.answer("/large", "x".repeat(20000000))
		await waitFor("the connection is closed", () => rig.reasons.length > 0)
		expect(rig.reasons).to.deep.equal(["unread-answer"])
	})
})

describe("clients beyond the limits", () => {
	it("are counted by entrance and reason", async () => {
		const telemetry = new Telemetry(createBoard())
		for (const reason of [LimitReason.idle, LimitReason.idle, LimitReason.refused])
			telemetry.countLimit(Entrance.callers, reason)
		const text = await telemetry.formatMetrics()
		const series = text.split("\n").filter(line => line.startsWith("cardamomhook_limited_clients"))
		expect(series).to.deep.equal([
			'cardamomhook_limited_clients_total{entrance="callers",reason="idle"} 2',
			'cardamomhook_limited_clients_total{entrance="callers",reason="refused"} 1'
		])
	})
})
