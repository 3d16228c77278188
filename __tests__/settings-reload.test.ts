import {expect} from "chai"
import {createBoard, createSettings} from "./fixtures/board.js"

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
})
