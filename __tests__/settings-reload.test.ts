import {expect} from "chai"
import {type ChildProcess, execFileSync, spawn} from "node:child_process"
import {EventEmitter} from "node:events"
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {ReloadSignal} from "../src/reload-signal.js"
import {createBoard, createSettings} from "./fixtures/board.js"
import {waitFor} from "./fixtures/cluster.js"

/** True if the process has a handler of SIGHUP, the first bit of the mask of caught signals. */
function hasHangUpHandler({pid = 0}: ChildProcess): boolean {
	const [, mask = "0"] =
		/^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8")) ?? []
	return (BigInt(`0x${mask}`) & 1n) === 1n
}

describe("settings that are reloaded", () => {
	it("are adopted if only the log level changes", () => {
		const board = createBoard()
		expect(board.adoptSettings(createSettings({logLevel: "debug"}))).to.equal(true)
		expect(board.settings.logLevel).to.equal("debug")
	})

	it("need a restart if an address changes", () => {
		const board = createBoard()
		const moved = createSettings({platformUrl: "http://127.0.0.2"})
		expect(board.adoptSettings(moved)).to.equal(false)
		expect(board.settings.platformUrl).to.equal("http://127.0.0.1")
	})

	it("are read once for signals that arrived before the host ran, and at each later one", () => {
		const source = new EventEmitter()
		const signal = new ReloadSignal(source)
		source.emit("SIGHUP")
		source.emit("SIGHUP")
		let reloads = 0
		signal.bind(() => reloads++)
		expect(reloads).to.equal(1)
		source.emit("SIGHUP")
		expect(reloads).to.equal(2)
	})

	// Regression test: SIGHUP in the first 0.3 s of a daemon ended it. The settings are a pipe, so it is still reading them.
	it("do not end a daemon whose SIGHUP comes while it starts", async () => {
		const folder = mkdtempSync(join(tmpdir(), "reload-"))
		const path = join(folder, "settings.yaml")
		const file = join(folder, "file.yaml")
		writeFileSync(file, JSON.stringify(createSettings({logLevel: "info"})))
		execFileSync("mkfifo", [path])
		const daemon = spawn("node", ["dist/cardamomhookd.mjs", "--settings", path])
		let writer: ChildProcess | undefined
		let log = ""
		daemon.stdout.on("data", chunk => (log += String(chunk)))
		try {
			await waitFor("SIGHUP is handled", () => hasHangUpHandler(daemon))
			daemon.kill("SIGHUP")
			writer = spawn("sh", ["-c", 'cat "$0" >"$1" && mv "$0" "$1"', file, path])
			await waitFor("it reloads", () => log.includes('"settings-reloaded"'))
			expect(daemon.exitCode).to.equal(null)
		} finally {
			daemon.kill("SIGKILL")
			writer?.kill("SIGKILL")
			rmSync(folder, {recursive: true})
		}
	})
})
