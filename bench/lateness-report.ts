/** Tables and a plot of the ages of workflows: `npm run bench -- lateness LOG [--plot FILE]`. */
import {createReadStream, writeFileSync} from "node:fs"
import {createInterface} from "node:readline"
import {groupBy} from "../src/internal.js"
import {type DayLog, DayLogReader, parseLogLine} from "./day-log.js"
import {type LostWork, type WorkflowAge, AgePart, listLostWork, measureAges} from "./lateness.js"

const MS_PER_S = 1000
const PARTS = Object.values(AgePart)
const COLORS: Readonly<Record<AgePart, string>> = {
	[AgePart.untilAccepted]: "#999999",
	[AgePart.withoutHolder]: "#cc0000",
	[AgePart.noRoom]: "#e69f00",
	[AgePart.roomHeld]: "#f0e442",
	[AgePart.placing]: "#56b4e9",
	[AgePart.lost]: "#d55e00",
	[AgePart.earlierSteps]: "#cc79a7",
	[AgePart.running]: "#009e73",
	[AgePart.endNotShown]: "#0072b2"
}

export async function readDayLog(path: string): Promise<DayLog> {
	const reader = new DayLogReader()
	for await (const line of createInterface({input: createReadStream(path)})) {
		const event = parseLogLine(line)
		if (event !== undefined) reader.read(event)
	}
	return reader.finish()
}

/** The tables of the report, by queue, by workspace and by second of acceptance. */
export function formatLateness(day: DayLog): string {
	const ages = measureAges(day)
	const late = ages.filter(({isLate}) => isLate === true)
	const formatSecond = ({workflow}: WorkflowAge) =>
		`${Math.floor(((workflow.acceptedAt ?? day.startedAt) - day.startedAt) / MS_PER_S)} s`
	return [
		"All workflows by queue: number, late, mean seconds of each part",
		formatTable(ages, ({workflow}) => workflow.queue),
		"Late workflows by queue",
		formatTable(late, ({workflow}) => workflow.queue),
		"Late workflows by workspace",
		formatTable(late, ({workflow}) => workflow.workspace),
		"Late workflows by second of acceptance",
		formatTable(late, formatSecond),
		"Work lost by cause: core-seconds, runs",
		formatLostWork(listLostWork(day))
	].join("\n")
}

function formatTable(ages: readonly WorkflowAge[], getKey: (age: WorkflowAge) => string): string {
	const header = `${"".padEnd(14)}    n late  total ${PARTS.map(part => part.slice(0, 12).padStart(13)).join("")}`
	const rows = [...groupBy(ages, getKey)].map(([key, group]) => {
		const late = group.filter(({isLate}) => isLate === true).length
		const means = PARTS.map(part =>
			formatMean(group, ({parts}) => parts.get(part) ?? 0).padStart(13)
		)
		const total = formatMean(group, ({totalMs}) => totalMs)
		const counts = `${String(group.length).padStart(5)}${String(late).padStart(5)}`
		return `${key.padEnd(14)}${counts}${total.padStart(7)} ${means.join("")}`
	})
	return [header, ...rows, ""].join("\n")
}

function formatMean(ages: readonly WorkflowAge[], getMs: (age: WorkflowAge) => number): string {
	const sumMs = ages.reduce((sum, age) => sum + getMs(age), 0)
	return (sumMs / Math.max(1, ages.length) / MS_PER_S).toFixed(2)
}

function formatLostWork(lost: readonly LostWork[]): string {
	return lost
		.map(({queue, cause, runs, coreSeconds}) => {
			const figures = `${coreSeconds.toFixed(0).padStart(9)}${String(runs).padStart(7)}`
			return `${figures}  ${queue.padEnd(14)} ${cause}`
		})
		.join("\n")
}

const BAR_WIDTH = 3
const PLOT_HEIGHT = 400
const LEGEND_HEIGHT = 20

/** One bar for each workflow in order of acceptance, its parts stacked. */
export function formatPlot(day: DayLog): string {
	const ages = measureAges(day).sort(
		(a, b) => a.workflow.firstAnsweredAt - b.workflow.firstAnsweredAt
	)
	const longestMs = Math.max(1, ...ages.map(({totalMs}) => totalMs))
	const bars = ages.map((age, index) => formatBar(age, index * BAR_WIDTH, PLOT_HEIGHT / longestMs))
	const legend = PARTS.map(
		(part, index) =>
			`<rect x="${index * 190}" y="${PLOT_HEIGHT + 5}" width="12" height="12" fill="${COLORS[part]}"/>` +
			`<text x="${index * 190 + 16}" y="${PLOT_HEIGHT + 16}" font-size="12">${part}</text>`
	)
	const width = Math.max(ages.length * BAR_WIDTH, PARTS.length * 190)
	const height = PLOT_HEIGHT + LEGEND_HEIGHT
	const svg = `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}">`
	return `<!doctype html><title>Ages of workflows</title>${svg}${bars.join("")}${legend.join("")}</svg>`
}

function formatBar(
	{workflow, parts, totalMs, isLate}: WorkflowAge,
	x: number,
	scale: number
): string {
	let y = PLOT_HEIGHT
	const rects = [...parts].map(([part, ms]) => {
		y -= ms * scale
		const size = `width="${BAR_WIDTH - 0.5}" height="${(ms * scale).toFixed(1)}"`
		return `<rect x="${x}" y="${y.toFixed(1)}" ${size} fill="${COLORS[part]}"/>`
	})
	const title = `${workflow.id}: ${Math.round(totalMs)} ms${isLate === true ? ", late" : ""}`
	return `<g><title>${title}</title>${rects.join("")}</g>`
}

export async function reportLateness(path: string, plotPath: string): Promise<void> {
	const day = await readDayLog(path)
	console.log(formatLateness(day))
	if (plotPath !== "") writeFileSync(plotPath, formatPlot(day))
}
