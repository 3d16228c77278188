/** Faults of live workers in the fleet's process. */
import {expect} from "chai"
import {Hono} from "hono"
import {type StandInApp} from "../standins/serve.js"
import {createWorkerFaults} from "../standins/fleet/worker-faults.js"
import {WorkerPort} from "../standins/fleet/worker-port.js"

const DRAWS = 2000

function createApp(): StandInApp {
	const app: StandInApp = new Hono()
	app.get("/", context => context.text("up"))
	return app
}

/** Returns the answer, or the code of the error of the connection. */
async function fetchText(url: string): Promise<string> {
	try {
		return await (await fetch(url)).text()
	} catch (error) {
		const {cause} = error as {cause?: {code?: string}}
		return cause?.code ?? ""
	}
}

describe("the port of a worker's stand-in", () => {
	it("refuses connections while it is closed, and answers at the same port again", async () => {
		const port = new WorkerPort(createApp())
		const number = await port.open()
		const url = `http://127.0.0.1:${number}/`
		expect(await fetchText(url)).to.equal("up")
		port.close()
		expect(port.isListening).to.equal(false)
		expect(await fetchText(url)).to.equal("ECONNREFUSED")
		expect(await port.open()).to.equal(number)
		expect(await fetchText(url)).to.equal("up")
		port.close()
	})

	it("resets the calls that are open when it closes", async () => {
		let arrived: () => void = () => undefined
		const hasArrived = new Promise<void>(resolve => {
			arrived = resolve
		})
		const app: StandInApp = new Hono()
		app.get("/open", () => {
			arrived()
			return new Promise<Response>(() => undefined)
		})
		const port = new WorkerPort(app)
		const call = fetchText(`http://127.0.0.1:${await port.open()}/open`)
		await hasArrived
		port.close()
		expect(await call).to.be.oneOf(["ECONNRESET", "UND_ERR_SOCKET"])
	})
})

describe("delayed answers of workers", () => {
	it("are a few of all, by up to three seconds, and the same with the same seed", () => {
		const drawDelays = (): number[] => {
			const fault = createWorkerFaults(1).find(({name}) => name === "delayed")
			return Array.from({length: DRAWS}, () => fault?.drawDelay() ?? 0)
		}
		const delays = drawDelays()
		const delayed = delays.filter(ms => ms > 0)
		expect(delayed.length).to.be.within(DRAWS * 0.03, DRAWS * 0.07)
		expect(Math.min(...delayed)).to.be.at.least(200)
		expect(Math.max(...delayed)).to.be.at.most(3000)
		expect(drawDelays()).to.deep.equal(delays)
	})
})
