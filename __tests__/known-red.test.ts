import {expect} from "chai"
import Mocha from "mocha"
import {readKnownRed, wrapKnownRed} from "./fixtures/known-red.js"

function createSilentReporter(): Mocha.ReporterConstructor {
	return class extends Mocha.reporters.Base {
		override epilogue(): void {
			// The reporter of the outer run prints the results.
		}
	}
}

/** Runs one listed test in a Mocha instance of its own. */
function runListed(fn: () => void): Promise<Mocha.Stats> {
	const mocha = new Mocha({reporter: createSilentReporter()})
	const test = new Mocha.Test("a listed test", fn)
	mocha.suite.addTest(test)
	wrapKnownRed(test)
	return new Promise(resolve => {
		const runner = mocha.run(() => {
			resolve(runner.stats!)
		})
	})
}

describe("the list of known red tests", () => {
	it("has one entry per line, with the full title first", () => {
		const listed = readKnownRed("# heading\n\nscenarios a.yaml | npm test | it failed | 4\n")
		expect([...listed]).to.deep.equal(["scenarios a.yaml"])
	})

	it("reports a listed test that fails as pending", async () => {
		const {failures, pending} = await runListed(() => {
			throw new Error("still red")
		})
		expect({failures, pending}).to.deep.equal({failures: 0, pending: 1})
	})

	it("fails if a listed test passes", async () => {
		const {failures} = await runListed(() => undefined)
		expect(failures).to.equal(1)
	})
})
