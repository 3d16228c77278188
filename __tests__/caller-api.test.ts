import {expect} from "chai"
import {Board, ManualClock, RanState, ReasonCode, hashText} from "../src/internal.js"
import {createCallerApi} from "../src/adapters/caller-api.js"
import {Gateway} from "../src/adapters/gateway.js"
import {Telemetry} from "../src/adapters/telemetry.js"
import {CALLER_TOKEN, createBundleContent, createHostSettings} from "./fixtures/cluster.js"

function createApi({withBundle}: {withBundle: boolean}) {
	const board = new Board(createHostSettings())
	const bundle = {generation: 1, content: createBundleContent(), keyId: "", signature: "", note: ""}
	if (withBundle) board.bundle.set("current", {bundle, evidenceAt: 0})
	return createCallerApi(board, new Gateway(board, new ManualClock()), new Telemetry(board))
}

const headers = {authorization: `Bearer ${CALLER_TOKEN}-${hashText("unknown")}`}

describe("the API of callers", () => {
	it("refuses an unknown token", async () => {
		const response = await createApi({withBundle: true}).request("/v1/jobs", {headers})
		expect(response.status).to.equal(401)
	})

	it("asks callers to try again, instead of refusing them, before it has a bundle", async () => {
		const response = await createApi({withBundle: false}).request("/v1/jobs", {headers})
		expect(response.status).to.equal(503)
		const {reason, ran, askAgain} = (await response.json()) as Record<string, unknown>
		expect({reason, ran, askAgain}).to.deep.equal({
			reason: ReasonCode.noBundle,
			ran: RanState.unknown,
			askAgain: true
		})
	})
})
