import {readFileSync} from "node:fs"
import {fileURLToPath} from "node:url"
import {expect} from "chai"
import {RanState, ReasonCode, buildRefusal} from "../src/internal.js"
import {ExitCode} from "../src/cli/exit-code.js"
import {findStatus} from "../src/adapters/problems.js"

function readPage(name: string): string {
	return readFileSync(fileURLToPath(new URL(`../docs/${name}`, import.meta.url)), "utf8")
}

/** Cells of every table row, without backquotes. */
function readRows(page: string): string[][] {
	return page
		.split("\n")
		.filter(line => line.startsWith("|"))
		.map(line => line.split("|").slice(1, -1))
		.map(cells => cells.map(cell => cell.trim().replaceAll("`", "")))
}

describe("the pages for callers and operators", () => {
	const api = readRows(readPage("API.md"))
	const operations = readRows(readPage("OPERATIONS.md"))

	for (const reason of Object.values(ReasonCode)) {
		it(`explain ${reason}`, () => {
			expect(api.some(([first]) => first === reason)).to.equal(true)
			expect(operations.some(([first]) => first === reason)).to.equal(true)
		})

		it(`give the status and askAgain of ${reason} as the code has them`, () => {
			const refusal = api.find(cells => cells[0] === reason && cells.length === 5)
			if (refusal === undefined) {
				expect(findStatus(reason)).to.equal(503)
				return
			}
			expect(refusal[1]).to.equal(`${findStatus(reason)}`)
			const {askAgain} = buildRefusal(reason, RanState.no)
			expect(refusal[3]).to.equal(askAgain ? "yes" : "no")
		})
	}

	it("list every exit code of the tool", () => {
		for (const code of Object.values(ExitCode))
			expect(operations.some(([first]) => first === `${code}`)).to.equal(true)
	})
})
