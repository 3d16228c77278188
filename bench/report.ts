/**
 * `npm run bench -- report`: writes one HTML page with a plot of each bench from the JSON files that runs with `--json`
 * stored in bench-results/. The plots are SVG built here, because no plotting library is installed.
 */
import {mkdirSync, readFileSync, readdirSync, writeFileSync} from "node:fs"
import {join} from "node:path"
import {type BenchMetric} from "./bench.js"

const FOLDER = "bench-results"
const REPORT = join(FOLDER, "report.html")
const BAR_WIDTH_PX = 360
const ROW_HEIGHT_PX = 34
const LABEL_WIDTH_PX = 430
const VALUE_WIDTH_PX = 230

export interface BenchRecord {
	readonly bench: string
	readonly seed: number
	readonly policy: string
	readonly results: readonly BenchMetric[]
}

/** Stores a run's results for the report, one file for each bench, seed and policy. */
export function storeRecord(record: BenchRecord): void {
	mkdirSync(FOLDER, {recursive: true})
	const name = [record.bench, record.seed, record.policy].filter(part => part !== "").join("-")
	writeFileSync(join(FOLDER, `${name}.json`), JSON.stringify(record))
}

/** Writes the report and returns its path. */
export function writeReport(): string {
	mkdirSync(FOLDER, {recursive: true})
	const records = readdirSync(FOLDER)
		.filter(file => file.endsWith(".json"))
		.sort()
		.map(file => JSON.parse(readFileSync(join(FOLDER, file), "utf8")) as BenchRecord)
	writeFileSync(REPORT, formatPage(records))
	return REPORT
}

export function formatPage(records: readonly BenchRecord[]): string {
	const sections = records.map(formatSection).join("\n")
	return `<!doctype html>
<meta charset="utf-8">
<title>cardamomhook measurements</title>
<style>body{font:14px sans-serif} text{font:12px sans-serif}</style>
<h1>Measurements</h1>
<p>Dark bars show measured values, light bars the baseline of the same run, lines the target.</p>
${sections}
`
}

function formatSection({bench, seed, policy, results}: BenchRecord): string {
	const height = results.length * ROW_HEIGHT_PX
	const rows = results.map((metric, index) => formatRow(metric, index * ROW_HEIGHT_PX)).join("\n")
	const title = escapeText(`${bench}, seed ${seed}${policy === "" ? "" : `, ${policy}`}`)
	const width = LABEL_WIDTH_PX + BAR_WIDTH_PX + VALUE_WIDTH_PX
	return `<h2>${title}</h2>\n<svg width="${width}" height="${height}">\n${rows}\n</svg>`
}

/** Formats the bars of one metric on a scale of their own, because units differ between rows. */
function formatRow({metric, value, unit, baseline, target, met}: BenchMetric, top: number): string {
	const max = Math.max(value, baseline ?? 0, target ?? 0, Number.MIN_VALUE)
	const scale = (amount: number) => Math.round((Math.max(0, amount) / max) * BAR_WIDTH_PX)
	const fill = met ? "#2a6f4e" : "#b3382c"
	const text = `${value} ${unit}${target === null ? "" : met ? " (met)" : " (missed)"}`
	const parts = [
		`<text x="0" y="${top + 18}">${escapeText(metric)}</text>`,
		`<rect x="${LABEL_WIDTH_PX}" y="${top + 4}" width="${scale(value)}" height="12" fill="${fill}"/>`,
		`<text x="${LABEL_WIDTH_PX + BAR_WIDTH_PX + 8}" y="${top + 16}">${escapeText(text)}</text>`
	]
	if (baseline !== null)
		parts.push(
			`<rect x="${LABEL_WIDTH_PX}" y="${top + 17}" width="${scale(baseline)}" height="8" fill="#bbb"/>`
		)
	if (target !== null) {
		const x = LABEL_WIDTH_PX + scale(target)
		parts.push(`<line x1="${x}" x2="${x}" y1="${top + 2}" y2="${top + 27}" stroke="#000"/>`)
	}
	return parts.join("\n")
}

function escapeText(text: string): string {
	return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;")
}
