/** Runs one scenario: starts its processes, runs its steps in order, and checks what was recorded. */
import {type SubmittedJob, isAccepted} from "./callers.js"
import {EXPECTATIONS} from "./expectations.js"
import {checkInvariants, isMatch} from "./invariants.js"
import {type Run} from "./journal.js"
import {NodeRole} from "./nodes.js"
import {REQUEST_STEPS} from "./requests.js"
import {type ScenarioEntry, type Scenario, ScenarioError, checkInput} from "./schema.js"
import {ScenarioContext} from "./stage.js"
import {FAULT_STEPS} from "./steps.js"

export interface ScenarioResult {
	readonly title: string
	readonly seed: number
	/** The violations found; empty if the scenario passed. */
	readonly findings: readonly string[]
	readonly log: readonly string[]
	/** The log lines of each host, over all its incarnations. */
	readonly hostLogs: ReadonlyMap<string, readonly string[]>
}

export interface RunOptions {
	readonly seed: number
	readonly onLine?: (line: string) => void
}

const STEPS = [...FAULT_STEPS, ...REQUEST_STEPS]

export async function runScenario(
	scenario: Scenario,
	{seed, onLine = () => undefined}: RunOptions
): Promise<ScenarioResult> {
	const log: string[] = []
	const context = new ScenarioContext(scenario, seed, line => {
		log.push(line)
		onLine(line)
	})
	const findings: string[] = []
	try {
		await context.rig.start()
		context.log("every process has started")
		for (const step of scenario.steps) await runStep(context, step)
		await settleJobs(context)
	} catch (error) {
		findings.push(describeFailure(error))
	}
	context.callers.close()
	context.operators.close()
	await context.rig.close()
	findings.push(...checkRecords(context, context.listRuns()))
	return {title: scenario.title, seed, findings, log, hostLogs: collectHostLogs(context)}
}

function collectHostLogs(context: ScenarioContext): Map<string, readonly string[]> {
	const logs = new Map<string, readonly string[]>()
	for (const {name, role, incarnations} of context.rig.nodes.values())
		if (role === NodeRole.host)
			logs.set(
				name,
				incarnations.flatMap(({process}) => process.lines)
			)
	return logs
}

async function runStep(context: ScenarioContext, step: ScenarioEntry): Promise<void> {
	const [name, value] = readEntry(step)
	context.log(`${name} ${JSON.stringify(value)}`)
	const found = STEPS.find(candidate => candidate.name === name)
	if (found === undefined) throw new ScenarioError(`unknown step ${name}`)
	await found.run(context, checkInput(name, found.schema, value))
}

/** Waits for the last reply to every request, and for the end of every accepted job that may not stay queued. */
async function settleJobs(context: ScenarioContext): Promise<void> {
	const jobs = [...context.callers.jobs.values()]
	await Promise.all(jobs.map(({pending}) => pending))
	const ending = jobs.filter(job => isAccepted(job) && !mayStayQueued(context, job))
	await Promise.all(ending.map(({name}) => context.callers.waitForEnd(name)))
	for (const job of jobs.length > 12 ? [] : jobs) context.log(describeJob(job))
}

function mayStayQueued(context: ScenarioContext, {name}: SubmittedJob): boolean {
	return context.scenario.mayStayQueued.some(pattern => isMatch(name, pattern))
}

function checkRecords(context: ScenarioContext, runs: readonly Run[]): string[] {
	const findings = checkInvariants(context, runs)
	for (const expectation of context.scenario.expect) {
		const [name, value] = readEntry(expectation)
		try {
			const found = EXPECTATIONS.find(candidate => candidate.name === name)
			if (found === undefined) throw new ScenarioError(`unknown expectation ${name}`)
			findings.push(...found.check(context, runs, checkInput(name, found.schema, value)))
		} catch (error) {
			findings.push(describeFailure(error))
		}
	}
	return findings
}

function readEntry(entry: ScenarioEntry): [string, unknown] {
	const [nameAndValue] = Object.entries(entry)
	if (nameAndValue === undefined) throw new ScenarioError("a step or expectation has no key")
	return nameAndValue
}

function describeJob({name, replies, ended}: SubmittedJob): string {
	const replyTexts = replies
		.map(({host, status, reason}) => `${host} ${status} ${reason}`)
		.slice(-3)
	const outcome = ended?.outcome
	return `  ${name}: ${replyTexts.join(", ")}; ${outcome?.kind ?? ended?.state ?? "no end"} ${outcome?.reason ?? ""} ${outcome?.detail ?? ""}`
}

function describeFailure(error: unknown): string {
	if (error instanceof ScenarioError) return error.message
	return error instanceof Error ? (error.stack ?? error.message) : String(error)
}
