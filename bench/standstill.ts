/**
 * Finds the spans in which nothing of an accepted workflow ran, from the daemons' logs alone, with the gates that the
 * holder named meanwhile. A span without a gate may be the time until a scheduled occurrence is due.
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

/** The standstills of a day, the longest first. */
export function findStandstills({workflows, endedAt}: DayLog): Standstill[] {
	return workflows
		.flatMap(workflow => findIdleSpans(workflow, endedAt))
		.filter(({from, to}) => to - from >= STANDSTILL_MS)
		.sort((a, b) => b.to - b.from - (a.to - a.from))
}

function findIdleSpans(workflow: WorkflowLog, logEndedAt: number): Standstill[] {
	const spans: Standstill[] = []
	let idleSince = workflow.acceptedAt ?? workflow.firstAnsweredAt
	const add = (to: number, isOpen: boolean) => {
		const gates = workflow.gates.filter(({time}) => time >= idleSince && time <= to)
		spans.push({workflow, from: idleSince, to, isOpen, gates})
	}
	const end = workflow.endedAt ?? logEndedAt
	for (const run of [...workflow.runs].sort((a, b) => a.startedAt - b.startedAt)) {
		if (run.startedAt > idleSince) add(run.startedAt, false)
		idleSince = Math.max(idleSince, run.endedAt ?? end)
	}
	if (end > idleSince) add(end, workflow.endedAt === undefined)
	return spans
}
