/**
 * `npm run bench -- NAME --seed N [--policy P] [--out FOLDER] [--program PATH] [--json]` runs one bench and prints its metrics;
 * `npm run bench -- lateness LOG [--plot FILE]` splits the ages of the workflows in a log;
 * `npm run bench -- standstill LOG` lists the workflows of which nothing ran for a while.
 */
import {parseArgs} from "node:util"
import {type BenchMetric} from "./bench.js"
import {reportLateness} from "./lateness-report.js"
import {BENCHES} from "./registry.js"
import {storeRecord, writeReport} from "./report.js"
import {reportStandstills} from "./standstill-report.js"

const EXIT_USAGE = 2

function formatMetric({metric, value, unit, baseline, target, met}: BenchMetric): string {
	const baselineText = baseline === null ? "" : `  baseline ${baseline}`
	const targetText = target === null ? "" : `  target ${target} ${met ? "met" : "MISSED"}`
	return `${metric.padEnd(44)} ${value} ${unit}${baselineText}${targetText}`
}

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		seed: {type: "string", default: "1"},
		policy: {type: "string", default: ""},
		json: {type: "boolean", default: false},
		plot: {type: "string", default: ""},
		out: {type: "string", default: ""},
		program: {type: "string", default: ""}
	}
})
const [name = "list", path = ""] = positionals
const bench = BENCHES.find(candidate => candidate.name === name)
if (name === "report") console.log(writeReport())
else if (name === "lateness") await reportLateness(path, values.plot)
else if (name === "standstill") await reportStandstills(path)
else if (bench === undefined) {
	for (const known of BENCHES) console.log(`${known.name.padEnd(20)} ${known.summary}`)
	process.exitCode = name === "list" ? 0 : EXIT_USAGE
} else {
	const seed = Number(values.seed)
	const results = await bench.run({
		seed,
		policy: values.policy,
		out: values.out,
		program: values.program
	})
	for (const metric of results) console.log(formatMetric(metric))
	if (values.json) {
		const record = {bench: name, seed, policy: values.policy, results}
		storeRecord(record)
		console.log(JSON.stringify(record))
	}
}
