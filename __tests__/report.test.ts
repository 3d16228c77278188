import {expect} from "chai"
import {formatPage} from "../bench/report.js"

describe("the report of measurements", () => {
	it("plots every metric against its baseline and target, and marks missed targets", () => {
		const metric = {metric: "a <p99>", value: 5, unit: "s", baseline: 10, target: 4, met: false}
		const metricWithoutTarget = {
			...metric,
			metric: "count",
			baseline: null,
			target: null,
			met: true
		}
		const results = [metric, metricWithoutTarget]
		const page = formatPage([{bench: "completion", seed: 1, policy: "", results}])
		expect(page).to.include("completion, seed 1")
		expect(page).to.include("a &lt;p99&gt;").and.include("5 s (missed)")
		expect(page.match(/<rect/g)).to.have.lengthOf(3)
		expect(page.match(/<line/g)).to.have.lengthOf(1)
	})
})
