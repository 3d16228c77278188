/**
 * Finds the spans in which nothing of an accepted workflow ran, from the daemons' logs alone, with the gates that the
 * holder named meanwhile. A run counts until it ends or is asked to stop; the holder's own lines about a standstill also
 * count where the end of a run isn't known yet. A span without a gate may be the time until an occurrence is due.
 */
import {type DayLog, type GateLog, type WorkflowLog} from "./day-log.js"

/** Shortest span that counts as a standstill. */
const STANDSTILL_MS = 3000

export interface Standstill {
	readonly workflow: WorkflowLog
	readonly from: number
	readonly to: number
	/** True if the log ends before anything of the workflow ran again. */
	readonly isOpen: boolean
	/** In the order in which they were logged. */
	readonly gates: readonly GateLog[]
}

interface Span {
	readonly from: number
	readonly to: number
}

/** The standstills of a day, the longest first. */
export function findStandstills({workflows, endedAt}: DayLog): Standstill[] {
	return workflows
		.flatMap(workflow => findWorkflowStandstills(workflow, endedAt))
		.sort((a, b) => b.to - b.from - (a.to - a.from))
}

function findWorkflowStandstills(workflow: WorkflowLog, logEndedAt: number): Standstill[] {
	const end = workflow.endedAt ?? logEndedAt
	const reported = workflow.gates.map(({since, time}) => ({from: since, to: time}))
	return mergeSpans([...findIdleSpans(workflow, end), ...reported])
		.filter(({from, to}) => to - from >= STANDSTILL_MS)
		.map(({from, to}) => ({
			workflow,
			from,
			to,
			isOpen: workflow.endedAt === undefined && to >= end,
			gates: workflow.gates.filter(({time}) => time >= from && time <= to)
		}))
}

function findIdleSpans(workflow: WorkflowLog, end: number): Span[] {
	const spans: Span[] = []
	let idleSince = workflow.acceptedAt ?? workflow.firstAnsweredAt
	for (const run of [...workflow.runs].sort((a, b) => a.startedAt - b.startedAt)) {
		if (run.startedAt > idleSince) spans.push({from: idleSince, to: run.startedAt})
		const runEndedAt = Math.min(run.stopAskedAt ?? end, run.endedAt ?? end)
		idleSince = Math.max(idleSince, runEndedAt)
	}
	if (end > idleSince) spans.push({from: idleSince, to: end})
	return spans
}

/** Joins spans that overlap. */
function mergeSpans(spans: readonly Span[]): Span[] {
	const merged: Span[] = []
	for (const span of [...spans].sort((a, b) => a.from - b.from)) {
		const last = merged.at(-1)
		if (last === undefined || span.from > last.to) merged.push(span)
		else merged[merged.length - 1] = {from: last.from, to: Math.max(last.to, span.to)}
	}
	return merged
}
