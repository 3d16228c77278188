/** Tables of the workflows of which nothing ran for a while: `npm run bench -- standstill LOG`. */
import {groupBy} from "../src/internal.js"
import {type DayLog, type GateLog} from "./day-log.js"
import {readDayLog} from "./lateness-report.js"
import {type Standstill, findStandstills} from "./standstill.js"

const MS_PER_S = 1000
const ROWS_MAX = 40
const GATES_MAX = 8
const NO_GATE = "no gate named"

/** How many standstills each gate was the last one of, and the longest ones. */
export function formatStandstills(day: DayLog): string {
	const found = findStandstills(day)
	const rows = found.slice(0, ROWS_MAX).map(standstill => formatRow(standstill, day.startedAt))
	const left = found.length - rows.length
	return [
		`Standstills of 3 s or more: ${found.length}; number, longest seconds, by last gate`,
		...formatGates(found),
		"Longest first: seconds, from, to (since the first line), workflow, queue, gates",
		...rows,
		...(left === 0 ? [] : [`and ${left} more`])
	].join("\n")
}

function formatGates(found: readonly Standstill[]): string[] {
	const groups = groupBy(found, ({gates}) => gates.at(-1)?.gate ?? NO_GATE)
	return [...groups].map(([gate, group]) => {
		const longestMs = Math.max(...group.map(({from, to}) => to - from))
		return `${String(group.length).padStart(5)} ${formatSeconds(longestMs)}  ${gate}`
	})
}

function formatRow({workflow, from, to, isOpen, gates}: Standstill, startedAt: number): string {
	const times = [to - from, from - startedAt, to - startedAt].map(formatSeconds).join(" ")
	const state = isOpen ? " (log ends)" : ""
	return `${times}${state}  ${workflow.id} ${workflow.queue}  ${formatGateSpans(gates, startedAt)}`
}

/** Each gate with the time at which it was first logged; repeats of one gate are joined. */
function formatGateSpans(gates: readonly GateLog[], startedAt: number): string {
	const changes = gates.filter(
		({gate, worker}, index) =>
			gate !== gates[index - 1]?.gate || worker !== gates[index - 1]?.worker
	)
	if (changes.length === 0) return NO_GATE
	const names = changes.slice(0, GATES_MAX).map(({time, gate, worker}) => {
		const place = worker === undefined ? "" : ` (${worker})`
		return `${gate}${place} at ${formatSeconds(time - startedAt).trim()}`
	})
	if (changes.length > GATES_MAX) names.push(`${changes.length - GATES_MAX} more`)
	return names.join(", ")
}

function formatSeconds(ms: number): string {
	return (ms / MS_PER_S).toFixed(2).padStart(7)
}

export async function reportStandstills(path: string): Promise<void> {
	console.log(formatStandstills(await readDayLog(path)))
}
