/**
 * Learns from finished runs what to expect of the steps of workflows, and keeps the forecasts of all workflows up to
 * date with it. What is learned is written to the table, one row for each queue, and the next holder goes on with it. A
 * row only speeds up what finished runs will show again: nothing waits for it, and one that can't be read costs no more
 * than what it would have said.
 */
import {
	type AuthorityEntry,
	type Board,
	type CommitAnswer,
	type Completion,
	type Controller,
	type FinishedRun,
	type Lesson,
	type StepIdentity,
	type StepSpec,
	type TableRow,
	type WorkflowEntry,
	type WorkflowRecord,
	ANY_VERSION,
	EventLevel,
	Outage,
	RUN_TIMES_PREFIX,
	RunTimeSource,
	SectionName,
	StepTimes,
	buildForecast,
	createForecast,
	findTerm,
	formatHolderKey,
	formatRunTimesKey,
	isFinal,
	isStepDone,
	issueTableCommit,
	issueTableScan,
	recordMalformedRow
} from "../../internal.js"

const READ = "read"
const COMMIT = "commit"

/** Shortest time between two commits. */
const COMMIT_INTERVAL_MS = 5000
const COMMIT_ROWS_MAX = 8

/** Interval at which forecasts are refreshed, and how many at a time: a term may have thousands of workflows. */
const REFRESH_INTERVAL_MS = 250
const REFRESHED_MAX = 500

/** Runs of one step that are recorded together, and the shortest time for which a batch waits for more of them. */
const BATCH_MAX = 64
const BATCH_WAIT_MIN_MS = 2000

/** Change of an expectation from which it counts as another one, and from which it is logged. */
const CHANGED_FACTOR = 1.05
const MOVED_FACTOR = 1.25

interface Batch {
	/** The first of them. */
	readonly run: FinishedRun
	readonly beganAt: number
	readonly durationsMs: number[]
}

interface LoggedStep {
	readonly source: RunTimeSource
	readonly durationMs: number
}

interface LoggedLesson extends Lesson {
	readonly workspace: string
	readonly runs: number
}

export class StepTimesController implements Controller {
	readonly name = "step-times"
	readonly reads = [
		SectionName.completions,
		SectionName.finishedRuns,
		SectionName.workflows,
		SectionName.terms
	]
	readonly #readWallClock: () => number
	readonly #changed: Set<string>
	readonly #outage = new Outage("run-times")
	#epoch = 0
	#times = new StepTimes()
	/** Finished runs of steps that are not done, by occurrence and step. */
	readonly #batches = new Map<string, Batch>()
	/** Workflows that have been given a forecast. */
	#known = new WeakSet<WorkflowEntry>()
	/** Workflows whose forecasts are still to be refreshed, and whether more was learned since these were listed. */
	#refreshing: Iterator<WorkflowEntry> | undefined
	#isRefreshDue = false
	#refreshAt = 0
	/** Queues of which more is known than is in the table. */
	readonly #unsaved = new Set<string>()
	/** Queues in the commit that is in flight. */
	#inFlight: readonly string[] = []
	/** What was last logged of a step, by queue and step. */
	readonly #logged = new Map<string, LoggedStep>()
	#isRead = false
	#isCallInFlight = false
	#nextCallAt = 0

	constructor(board: Board, readWallClock: () => number) {
		this.#readWallClock = readWallClock
		this.#changed = board.workflows.watch()
	}

	step(board: Board, now: number): number | undefined {
		for (const completion of board.takeCompletions(this.name)) this.#settle(board, completion, now)
		const term = findTerm(board)
		if (term === undefined || board.settings.domain?.learnRunTimes !== true) {
			this.#reset(board)
			return undefined
		}
		if (term.epoch !== this.#epoch) {
			this.#reset(board)
			this.#epoch = term.epoch
			board.stepTimes.set("current", this.#times)
		}
		for (const id of [...board.finishedRuns.keys()]) {
			const run = board.finishedRuns.take(id)
			if (run !== undefined) this.#collect(board, run, now)
		}
		this.#forecastNew(board)
		const refreshAt = this.#refresh(board, now)
		const callAt = this.#call(board, term, now)
		return Math.min(refreshAt, callAt)
	}

	#reset(board: Board): void {
		for (const id of [...board.finishedRuns.keys()]) board.finishedRuns.take(id)
		this.#changed.clear()
		if (this.#epoch === 0) return
		this.#epoch = 0
		this.#times = new StepTimes()
		board.stepTimes.delete("current")
		for (const workflow of board.workflows.values())
			workflow.forecast = createForecast(workflow.record.spec.steps)
		this.#batches.clear()
		this.#known = new WeakSet()
		this.#refreshing = undefined
		this.#isRefreshDue = false
		this.#unsaved.clear()
		this.#inFlight = []
		this.#logged.clear()
		this.#isRead = false
		this.#nextCallAt = 0
	}

	#collect(board: Board, run: FinishedRun, now: number): void {
		const key = `${run.occurrenceKey}.${run.stepIndex}`
		const batch = this.#batches.get(key) ?? {run, beganAt: now, durationsMs: []}
		this.#batches.set(key, batch)
		batch.durationsMs.push(run.durationMs)
		if (batch.durationsMs.length >= BATCH_MAX) this.#learn(board, key, batch)
	}

	/** The first runs of a step to end are the shortest ones, so others are waited for as long as they may take. */
	#learnDue(board: Board, now: number): void {
		for (const [key, batch] of this.#batches) {
			const {workflow, step, durationMs} = batch.run
			const isOver = isStepDone(step) || isFinal(workflow.state)
			const waitMs = Math.max(BATCH_WAIT_MIN_MS, durationMs)
			if (isOver || now - batch.beganAt >= waitMs) this.#learn(board, key, batch)
		}
	}

	#learn(board: Board, key: string, {run, durationsMs}: Batch): void {
		this.#batches.delete(key)
		const {record} = run.workflow
		const spec = record.spec.steps[run.stepIndex]
		if (spec === undefined) return
		const {queue, workspace} = record
		const step = identifyStep(record, run.stepIndex, spec)
		const lesson = this.#times.record(step, spec.estimateMs, durationsMs, this.#readWallClock())
		this.#unsaved.add(queue)
		this.#isRefreshDue = true
		this.#logMove(board, step, spec.estimateMs, {...lesson, workspace, runs: durationsMs.length})
	}

	#logMove(
		board: Board,
		{queue, stepIndex, isGang}: StepIdentity,
		estimateMs: number,
		{expectation, estimator, durationMs, callerError, chosenError, workspace, runs}: LoggedLesson
	): void {
		const key = JSON.stringify([queue, stepIndex, isGang])
		const {medianMs, highMs, samples, source} = expectation
		const logged = this.#logged.get(key)
		const isSame =
			logged?.source === source && !isMoved(logged.durationMs, durationMs, MOVED_FACTOR)
		if (isSame || (logged === undefined && source === RunTimeSource.caller)) return
		this.#logged.set(key, {source, durationMs})
		board.record(EventLevel.info, "run-times-moved", {
			queue,
			step: stepIndex,
			isGang,
			estimator,
			durationMs: Math.round(durationMs),
			medianMs: Math.round(medianMs),
			highMs: Math.round(highMs),
			samples,
			callerError: roundError(callerError),
			chosenError: roundError(chosenError),
			estimateMs: Math.round(estimateMs),
			workspace,
			runs
		})
	}

	/** Gives workflows that are new here a forecast before anything is decided about them. */
	#forecastNew(board: Board): void {
		for (const id of this.#changed) {
			const workflow = board.workflows.get(id)
			if (workflow === undefined || this.#known.has(workflow)) continue
			this.#known.add(workflow)
			this.#updateForecast(workflow)
		}
		this.#changed.clear()
	}

	/** Returns when to go on. */
	#refresh(board: Board, now: number): number {
		const isPending = this.#refreshing !== undefined || this.#isRefreshDue
		if (!isPending && this.#batches.size === 0) return Infinity
		if (now < this.#refreshAt) return this.#refreshAt
		this.#refreshAt = now + REFRESH_INTERVAL_MS
		this.#learnDue(board, now)
		if (this.#refreshing === undefined && this.#isRefreshDue) {
			this.#refreshing = board.workflows.values()
			this.#isRefreshDue = false
		}
		for (let count = 0; count < REFRESHED_MAX && this.#refreshing !== undefined; count++) {
			const next = this.#refreshing.next()
			if (next.done === true) this.#refreshing = undefined
			else this.#updateForecast(next.value)
		}
		return this.#refreshAt
	}

	#updateForecast(workflow: WorkflowEntry): void {
		const {record, state, forecast} = workflow
		if (isFinal(state) || this.#times.size === 0) return
		const {steps: specs} = record.spec
		const steps = specs.map((spec, index) =>
			this.#times.expect(identifyStep(record, index, spec), spec.estimateMs)
		)
		const hasChanged = steps.some(({medianMs, highMs, source}, index) => {
			const known = forecast.steps[index]
			return (
				known?.source !== source ||
				isMoved(known.medianMs, medianMs, CHANGED_FACTOR) ||
				isMoved(known.highMs, highMs, CHANGED_FACTOR)
			)
		})
		if (hasChanged) workflow.forecast = buildForecast(specs, steps)
	}

	/** Reads the rows when a term begins, then writes those of queues that more is known of. Returns when to go on. */
	#call(board: Board, {zone, holderVersion}: AuthorityEntry, now: number): number {
		if (this.#isCallInFlight || (this.#isRead && this.#unsaved.size === 0)) return Infinity
		if (now < this.#nextCallAt) return this.#nextCallAt
		this.#isCallInFlight = true
		if (!this.#isRead) {
			issueTableScan(board, this.name, `${READ} ${this.#epoch}`, RUN_TIMES_PREFIX, now)
			return Infinity
		}
		const queues = [...this.#unsaved].slice(0, COMMIT_ROWS_MAX)
		const writes = queues.map(queue => ({
			key: formatRunTimesKey(queue),
			ifVersion: ANY_VERSION,
			value: this.#times.encode(queue)
		}))
		for (const queue of queues) this.#unsaved.delete(queue)
		this.#inFlight = queues
		const holderCheck = {key: formatHolderKey(zone), ifVersion: holderVersion, value: undefined}
		const subject = `${COMMIT} ${this.#epoch}`
		issueTableCommit(board, this.name, subject, [holderCheck, ...writes], now)
		return Infinity
	}

	#settle(board: Board, {command, result}: Completion, now: number): void {
		this.#isCallInFlight = false
		const [purpose, epoch] = command.subject.split(" ")
		if (this.#epoch === 0 || epoch !== `${this.#epoch}`) return
		this.#nextCallAt = now + COMMIT_INTERVAL_MS
		const isCommitted =
			result.isOk() && (purpose === READ || (result.value as CommitAnswer).committed)
		// A commit without an answer is repeated with what is known by then.
		if (!isCommitted) for (const queue of this.#inFlight) this.#unsaved.add(queue)
		this.#inFlight = []
		if (result.isErr()) {
			const retryAt = this.#outage.recordFailure(board, result.error, command.issuedAt, now)
			if (purpose === READ) this.#nextCallAt = retryAt
			return
		}
		this.#outage.recordSuccess(board)
		if (purpose === READ) this.#adoptRows(board, result.value as readonly TableRow[])
	}

	#adoptRows(board: Board, rows: readonly TableRow[]): void {
		this.#isRead = true
		this.#isRefreshDue = true
		for (const row of rows)
			this.#times.adopt(row.value).match(
				() => undefined,
				({message}) => {
					recordMalformedRow(board, row, message)
				}
			)
		board.record(EventLevel.info, "run-times-loaded", {rows: rows.length, steps: this.#times.size})
	}
}

function identifyStep(
	{queue, workspace}: WorkflowRecord,
	stepIndex: number,
	{gang: isGang}: StepSpec
): StepIdentity {
	return {queue, workspace, stepIndex, isGang}
}

function isMoved(from: number, to: number, factor: number): boolean {
	return to > from * factor || from > to * factor
}

function roundError(error: number): number {
	return Math.round(error * 100) / 100
}
