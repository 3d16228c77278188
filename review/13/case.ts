/**
 * A client leaves before it has an answer to its submission, and cancels the job at another machine, which knows no such job
 * and says so. The machine that has the submission goes on with it, since the store was silent to it for a moment, and the job
 * is stored and runs to its end.
 */
import {type Rig, Bounds, ExitCode, buildConfig, call, pause, runScript, waitFor} from "../rig-3.js"

const KEY = "d4a3hwrr6x73d3zji9n7"
/** The sheet's largest: 0.35 of the machines for 9 s; and clients that leave within 0.9 s. */
const SILENT_MS = 1100
const LEAVES_MS = 900
const WORK_MS = 12_000
const JOB = "00000000000000a1"
const HTTP_GONE = 410

async function play(rig: Rig): Promise<ExitCode> {
	const {fleet, journal, store} = rig
	store.put("op", "config", buildConfig(fleet.service, [{name: "kaje80", key: KEY, gpu: 8}]))
	for (let index = 0; index < 6; index++)
		await fleet.add(`i-0${index}`, {
			zone: ["nairobi-a", "mombasa-a", "kisumu-a"][index % 3] ?? "",
			labels: ["a", `r${index % 3}`],
			cpu: 32_000,
			memMb: 131_072,
			gpu: 8
		})
	await rig.startMachines(3)
	await pause(Bounds.contactMs)
	const {holder, others} = rig.findHolder()
	const [first, second] = others
	if (first === undefined || second === undefined) return ExitCode.notRun
	journal.write(
		`${holder.name} wrote to the store last; the client uses ${first.name} and then ${second.name}`
	)
	const step = {count: 1, cpu: 1000, mem_mb: 1024, gpu: 1, estimate_ms: WORK_MS}
	const body = {spec: JSON.stringify({workMs: WORK_MS, gpu: 1}), steps: [step]}
	const silentAt = journal.now
	if (rig.isTroubled) {
		store.setSilent(first.name, true)
		journal.write(`the store is silent to ${first.name}`)
		setTimeout(() => {
			store.setSilent(first.name, false)
			journal.write(`the store answers ${first.name} again`)
		}, SILENT_MS)
	}
	// Two of the three clients stay, and get their answers.
	const stay = [holder, second].map(async (machine, index) => {
		const path = `/trace/00000000000000c${index}`
		const {status} = await call(machine, "POST", path, {key: KEY, body})
		journal.write(`POST ${path} at ${machine.name} -> ${status}`)
	})
	const submitted = await call(first, "POST", `/trace/${JOB}`, {key: KEY, body, waitMs: LEAVES_MS})
	journal.write(`POST /trace/${JOB} at ${first.name} -> ${submitted.status} ${submitted.body}`)
	await Promise.all(stay)
	await pause(silentAt + LEAVES_MS - journal.now)
	const cancelled = await call(second, "DELETE", `/trace/${JOB}`, {key: KEY})
	const cancelledAt = journal.now
	journal.write(`DELETE /trace/${JOB} at ${second.name} -> ${cancelled.status} ${cancelled.body}`)
	const isAcknowledged =
		(cancelled.status >= 200 && cancelled.status < 300) || cancelled.status === HTTP_GONE
	if (!isAcknowledged) return ExitCode.notRun
	// The last second of this is over `contactMs` after the store answered the machine again.
	await pause(Bounds.cancelMs + Bounds.stopMs + 4000)
	const isRunning = fleet.isRunning(`${JOB}.0.0.0`)
	const asked = await call(second, "GET", `/trace/${JOB}`, {key: KEY})
	const afterMs = Math.round(journal.now - cancelledAt)
	journal.write(
		`${afterMs} ms after the answer to the DELETE: GET -> ${asked.status} ${asked.body}, at work: ${isRunning}`
	)
	await waitFor(() => !fleet.isRunning(`${JOB}.0.0.0`), WORK_MS)
	return isRunning ? ExitCode.broken : ExitCode.held
}

await runScript("review/13", play)
