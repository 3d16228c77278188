/** Runs one scenario: starts its processes, runs its steps in order, and checks what was recorded. */
import {type AskedJob, isAccepted} from "./callers.js"
import {EXPECTATIONS} from "./expectations.js"
import {checkInvariants, isNamed} from "./invariants.js"
import {type Run} from "./journal.js"
import {NodeRole} from "./nodes.js"
import {REQUEST_STEPS} from "./requests.js"
import {type Named, type Scenario, ScenarioError, checkGiven} from "./schema.js"
import {Stage} from "./stage.js"
import {FAULT_STEPS} from "./steps.js"

export interface Verdict {
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
): Promise<Verdict> {
	const log: string[] = []
	const stage = new Stage(scenario, seed, line => {
		log.push(line)
		onLine(line)
	})
	const findings: string[] = []
	try {
		await stage.rig.start()
		stage.note("every process has started")
		for (const step of scenario.steps) await runStep(stage, step)
		await settleJobs(stage)
	} catch (error) {
		findings.push(describeFailure(error))
	}
	stage.callers.close()
	stage.operators.close()
	await stage.rig.close()
	findings.push(...judge(stage, stage.listRuns()))
	return {title: scenario.title, seed, findings, log, hostLogs: collectHostLogs(stage)}
}

function collectHostLogs(stage: Stage): Map<string, readonly string[]> {
	const logs = new Map<string, readonly string[]>()
	for (const {name, role, lives} of stage.rig.nodes.values())
		if (role === NodeRole.host)
			logs.set(
				name,
				lives.flatMap(({process}) => process.lines)
			)
	return logs
}

async function runStep(stage: Stage, step: Named): Promise<void> {
	const [name, value] = readNamed(step)
	stage.note(`${name} ${JSON.stringify(value)}`)
	const found = STEPS.find(candidate => candidate.name === name)
	if (found === undefined) throw new ScenarioError(`unknown step ${name}`)
	await found.run(stage, checkGiven(name, found.schema, value))
}

/** Waits for the last reply to every request, and for the end of every accepted job that may not stay queued. */
async function settleJobs(stage: Stage): Promise<void> {
	const jobs = [...stage.callers.jobs.values()]
	await Promise.all(jobs.map(({pending}) => pending))
	const waited = jobs.filter(job => isAccepted(job) && !mayStayQueued(stage, job))
	await Promise.all(waited.map(({name}) => stage.callers.waitForEnd(name)))
	for (const job of jobs.length > 12 ? [] : jobs) stage.note(describeJob(job))
}

function mayStayQueued(stage: Stage, {name}: AskedJob): boolean {
	return stage.scenario.mayStayQueued.some(pattern => isNamed(name, pattern))
}

function judge(stage: Stage, runs: readonly Run[]): string[] {
	const findings = checkInvariants(stage, runs)
	for (const expected of stage.scenario.expect) {
		const [name, value] = readNamed(expected)
		try {
			const found = EXPECTATIONS.find(candidate => candidate.name === name)
			if (found === undefined) throw new ScenarioError(`unknown expectation ${name}`)
			findings.push(...found.check(stage, runs, checkGiven(name, found.schema, value)))
		} catch (error) {
			findings.push(describeFailure(error))
		}
	}
	return findings
}

function readNamed(named: Named): [string, unknown] {
	const [entry] = Object.entries(named)
	if (entry === undefined) throw new ScenarioError("a step or expectation has no key")
	return entry
}

function describeJob({name, replies, ended}: AskedJob): string {
	const told = replies.map(({host, status, reason}) => `${host} ${status} ${reason}`).slice(-3)
	const outcome = ended?.outcome
	return `  ${name}: ${told.join(", ")}; ${outcome?.kind ?? ended?.state ?? "no end"} ${outcome?.reason ?? ""} ${outcome?.detail ?? ""}`
}

function describeFailure(error: unknown): string {
	if (error instanceof ScenarioError) return error.message
	return error instanceof Error ? (error.stack ?? error.message) : String(error)
}
