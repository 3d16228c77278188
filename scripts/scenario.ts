/**
 * `npm run scenario -- FILE... --seed N`: runs failure scenarios and prints the events and the result of each. `--logs`
 * names a folder for the hosts' logs of failed runs, `--times` sets the number of runs.
 */
import {writeFileSync} from "node:fs"
import {parseArgs} from "node:util"
import {runScenario} from "../standins/scenario/runner.js"
import {loadScenario} from "../standins/scenario/schema.js"

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		logs: {type: "string"},
		seed: {type: "string", default: "1"},
		times: {type: "string", default: "1"}
	}
})

let failed = 0
for (const path of positionals) {
	const scenario = loadScenario(path)
	for (let run = 0; run < Number(values.times); run++) {
		const seed = Number(values.seed)
		console.log(`${path}: ${scenario.title} (seed ${seed})`)
		const {findings, hostLogs} = await runScenario(scenario, {
			seed,
			onLine: line => {
				console.log(line)
			}
		})
		for (const finding of findings) console.log(`  finding: ${finding}`)
		console.log(findings.length === 0 ? "PASS" : "FAIL")
		if (findings.length === 0) continue
		failed++
		for (const [name, lines] of values.logs === undefined ? [] : hostLogs)
			writeFileSync(`${values.logs}/${name}.log`, lines.join("\n"))
	}
}
process.exit(failed === 0 && positionals.length > 0 ? 0 : 1)
