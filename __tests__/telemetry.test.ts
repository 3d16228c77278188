import {mkdtempSync, openSync, readFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {expect} from "chai"
import {EventLevel} from "../src/internal.js"
import {Telemetry, createLogOutput} from "../src/adapters/telemetry.js"
import {createBoard} from "./fixtures/board.js"

const PIPE_BUF_BYTES = 4096

function createLine(index: number): string {
	return `${JSON.stringify({index, detail: "x".repeat(index % 500)})}\n`
}

describe("log output", () => {
	// Regression test: a reader that took part of each large write saw torn lines, and whole runs seemed unrecorded.
	it("writes whole lines, never more at once than a pipe takes undivided", async () => {
		const path = join(mkdtempSync(join(tmpdir(), "cardamomhook-log-")), "log")
		const output = createLogOutput(openSync(path, "w"))
		const sizes: number[] = []
		output.on("write", (bytes: number) => sizes.push(bytes))
		const lines = Array.from({length: 400}, (_, index) => createLine(index))
		for (const line of lines) output.write(line)
		await new Promise(resolve => {
			output.once("close", resolve)
			output.end()
		})
		const written = readFileSync(path)
		expect(written.toString()).to.equal(lines.join(""))
		expect(Math.max(...sizes)).to.be.at.most(PIPE_BUF_BYTES)
		let end = 0
		for (const size of sizes) {
			end += size
			expect(written.toString("utf8", end - 1, end), `the end of a write at ${end}`).to.equal("\n")
		}
		expect(end).to.equal(written.length)
	})
})

describe("metrics", () => {
	it("sum the work that runs lose by cause", async () => {
		const board = createBoard()
		const telemetry = new Telemetry(board)
		for (const lost of [30, 12])
			board.record(EventLevel.info, "run-released", {cause: "preempted", lost}, "stopped")
		telemetry.drain()
		const metrics = await telemetry.formatMetrics()
		telemetry.close()
		expect(metrics).to.include('cardamomhook_lost_core_seconds_total{cause="preempted"} 42')
	})
})
