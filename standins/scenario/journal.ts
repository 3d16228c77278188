/** Reads the records that workers and endpoints write of their runs. Scenarios are checked against them. */
import {type RunEntry} from "../worker/core.js"
import {type Node} from "./nodes.js"

export interface Run extends RunEntry {
	readonly node: string
	readonly zone: string
	/** End of the run. Without one, the end of its process, or the time of reading if the process still runs. */
	readonly untilWallMs: number
	/** How long the process was frozen during the run. */
	readonly frozenMs: number
}

export interface GenerationEntry {
	readonly node: string
	readonly generation: number
	readonly wallMs: number
}

interface JournalLine {
	readonly run?: RunEntry
	readonly generation?: number
	readonly wallMs?: number
}

/** Collects the runs of all incarnations of the nodes, in order of their start. */
export function collectRuns(nodes: Iterable<Node>): Run[] {
	const runs: Run[] = []
	for (const node of nodes) {
		for (const incarnation of node.incarnations) {
			const latest = new Map<string, RunEntry>()
			for (const {run} of readJournal(incarnation.process.lines)) {
				if (run !== undefined) latest.set(`${run.taskId} ${run.startedWallMs}`, run)
			}
			for (const run of latest.values()) {
				const untilWallMs = run.endedWallMs ?? incarnation.endedWallMs ?? Date.now()
				const frozenMs = computeFrozenMs(node, run.startedWallMs, untilWallMs)
				runs.push({...run, node: node.name, zone: node.zone, untilWallMs, frozenMs})
			}
		}
	}
	return runs.sort((a, b) => a.startedWallMs - b.startedWallMs)
}

/** Collects the bundle generations that each incarnation of each worker saw, in order. */
export function collectGenerations(nodes: Iterable<Node>): GenerationEntry[][] {
	const entries = [...nodes].flatMap(node =>
		node.incarnations.map(incarnation => ({node, incarnation}))
	)
	return entries.map(({node, incarnation}) =>
		readJournal(incarnation.process.lines).flatMap(({generation, wallMs}) =>
			generation === undefined ? [] : [{node: node.name, generation, wallMs: wallMs ?? 0}]
		)
	)
}

function readJournal(lines: readonly string[]): JournalLine[] {
	return lines.flatMap(line => {
		if (!line.startsWith('{"run"') && !line.startsWith('{"generation"')) return []
		return [JSON.parse(line) as JournalLine]
	})
}

function computeFrozenMs(node: Node, from: number, until: number): number {
	let frozenMs = 0
	for (const freeze of node.freezes) {
		const end = Math.min(until, freeze.untilWallMs ?? until)
		frozenMs += Math.max(0, end - Math.max(from, freeze.fromWallMs))
	}
	return frozenMs
}
