/**
 * Reports work that stands still: workflows of which nothing runs though a step's turn has come, and the gate that holds
 * each of them. It changes no decision. The lines are bounded; the metrics count every workflow.
 */
import {
	type Board,
	type Controller,
	type StandstillEntry,
	type StartGate,
	type NodeGate,
	type WorkflowEntry,
	EventLevel,
	SectionName,
	findClosedWorkers,
	findHeldTask,
	findNodeGate,
	findRoundGate,
	findTerm,
	isSchedulable
} from "../../internal.js"

/** Interval of the check; a gate that opens and closes in between is not seen. */
const CHECK_INTERVAL_MS = 250
/** Time for which work stands still before it is reported. */
const REPORT_AFTER_MS = 1000
/** Interval of the lines about one workflow, and of the summary. */
const REPORT_INTERVAL_MS = 2000
/** Lines about single workflows in one interval; the ones that stand longest come first. */
const LINES_MAX = 8

export class StandstillController implements Controller {
	readonly name = "standstill"
	readonly reads = [SectionName.authority, SectionName.terms]
	#checkAt = 0
	#reportAt = 0
	#roundGate: StartGate | undefined
	/** Monotonic time since which rounds of placement are not held. */
	#roundGateSince = 0
	#isRoundGateReported = false

	step(board: Board, now: number): number | undefined {
		if (findTerm(board) === undefined) {
			this.#roundGate = undefined
			for (const id of [...board.standstills.keys()]) board.standstills.delete(id)
			return undefined
		}
		if (now < this.#checkAt) return this.#checkAt
		this.#checkAt = now + CHECK_INTERVAL_MS
		this.#checkRounds(board, now)
		for (const workflow of board.workflows.values()) this.#checkWorkflow(board, workflow, now)
		for (const id of [...board.standstills.keys()])
			if (!board.workflows.has(id)) board.standstills.delete(id)
		if (now >= this.#reportAt) this.#report(board, now)
		return this.#checkAt
	}

	/** Logs that no rounds of placement are held, and when they are again. */
	#checkRounds(board: Board, now: number): void {
		const gate = findRoundGate(board, now)
		if (gate !== undefined && this.#roundGate === undefined) {
			this.#roundGateSince = now
			this.#isRoundGateReported = false
		}
		const heldMs = Math.round(now - this.#roundGateSince)
		const isNews = gate !== this.#roundGate || !this.#isRoundGateReported
		if (gate !== undefined && heldMs >= REPORT_AFTER_MS && isNews) {
			this.#isRoundGateReported = true
			board.record(EventLevel.info, "placement-held", {heldMs}, gate)
		}
		if (gate === undefined && this.#roundGate !== undefined && this.#isRoundGateReported)
			board.record(EventLevel.info, "placement-resumed", {heldMs}, this.#roundGate)
		this.#roundGate = gate
	}

	#checkWorkflow(board: Board, workflow: WorkflowEntry, now: number): void {
		const {id} = workflow.record
		const found = isSchedulable(workflow) ? findHeldTask(board, workflow, now) : undefined
		if (found === undefined) {
			board.standstills.delete(id)
			return
		}
		// Nothing is placed or started then, so the gate of all placement goes before the step's own.
		const isUnsent = found.workerId === undefined
		const held = {...found, gate: (isUnsent ? this.#roundGate : undefined) ?? found.gate}
		const known = board.standstills.get(id)
		board.standstills.set(id, {
			held,
			gateSince: known?.held.gate === held.gate ? known.gateSince : now,
			since: known?.since ?? now
		})
	}

	#report(board: Board, now: number): void {
		const still = [...board.standstills.entries()]
			.filter(([, {since}]) => now - since >= REPORT_AFTER_MS)
			.sort(([, a], [, b]) => a.since - b.since)
		if (still.length === 0) return
		this.#reportAt = now + REPORT_INTERVAL_MS
		for (const [id, entry] of still.slice(0, LINES_MAX)) recordStandstill(board, id, entry, now)
		const gates = new Map<StartGate, number>()
		for (const [, {held}] of still) gates.set(held.gate, (gates.get(held.gate) ?? 0) + 1)
		board.record(EventLevel.info, "work-held", {
			workflows: still.length,
			oldestMs: Math.round(now - (still[0]?.[1].since ?? now)),
			gates: formatCounts(gates),
			workers: board.nodes.size,
			heldWorkers: formatCounts(countNodeGates(board, now))
		})
	}
}

function recordStandstill(
	board: Board,
	id: string,
	{held, gateSince, since}: StandstillEntry,
	now: number
): void {
	const record = board.workflows.get(id)?.record
	const fields = {
		workflow: id,
		queue: record?.queue,
		workspace: record?.workspace,
		priority: record?.priority,
		task: held.taskId,
		run: held.run,
		stillMs: Math.round(now - since),
		gateMs: Math.round(now - gateSince),
		worker: held.workerId
	}
	board.record(EventLevel.info, "workflow-still", fields, held.gate)
}

/** Counts the workers that get no new runs, by the reason. */
function countNodeGates(board: Board, now: number): ReadonlyMap<NodeGate, number> {
	const catalog = board.catalog.get("current")
	const closed = findClosedWorkers(board, now)
	const counts = new Map<NodeGate, number>()
	for (const node of board.nodes.values()) {
		const health = board.health.get(node.registration.id)
		const gate = catalog === undefined ? undefined : findNodeGate(node, catalog, health, closed)
		if (gate !== undefined) counts.set(gate, (counts.get(gate) ?? 0) + 1)
	}
	return counts
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
	return [...counts].map(([name, count]) => `${name}=${count}`).join(" ")
}
