/**
 * Over 1,000 runs of one worker end while the store is down, so that their ends can't be acknowledged. The worker lists
 * 500 of them at a time; the others are neither running nor listed.
 */
import {BATCH, EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, Rig, hasTrouble, sleep} from "../rig.js"

const STOP_MS = 900
const WORKERS = 4
const JOBS = 13
const TASKS = 100
const SUBMIT_INTERVAL_MS = 250
const WORK_MS = 7000
const DOWN_AFTER_MS = 6700
/** The site's longest time of `platform_down` for the whole store. */
const DOWN_MS = 4500
const WATCH_MS = 16000

const rig = new Rig(process.argv[2] ?? ".")
try {
	await rig.startStore()
	for (let index = 0; index < WORKERS; index++) await rig.addWorker(`w${index}`, STOP_MS)
	await rig.startDaemons(3, STOP_MS)
	await sleep(4000)
	const beganAt = Date.now()
	for (let index = 0; index < JOBS; index++) {
		const answer = await rig.call(index, "POST", `${BATCH}00000000000000a${index.toString(16)}`, {
			spec: JSON.stringify({workMs: WORK_MS}),
			steps: [{count: TASKS, cpu: 20, mem_mb: 40, estimate_ms: WORK_MS}]
		})
		if (answer.status !== 200) rig.finish(EXIT_NOT_RUN, "a job was not accepted")
		await sleep(SUBMIT_INTERVAL_MS)
	}
	await sleep(DOWN_AFTER_MS - (Date.now() - beganAt))
	if (hasTrouble()) rig.setStoreDown(true)
	await sleep(DOWN_MS)
	if (hasTrouble()) rig.setStoreDown(false)
	await sleep(WATCH_MS)
	for (let index = 0; index < JOBS; index++)
		await rig.call(index, "GET", `${BATCH}00000000000000a${index.toString(16)}`)
	for (const violation of rig.fleet.monitor.violations) rig.record(`seen: ${violation}`)
	const violations = rig.fleet.monitor.violations.length
	if (rig.hasLostDaemon()) rig.finish(EXIT_NOT_RUN, "a daemon has ended")
	if (violations > 0) rig.finish(EXIT_BROKEN, `${violations} tasks ran twice`)
	rig.finish(EXIT_HELD, "no task ran twice")
} catch (error) {
	rig.finish(EXIT_NOT_RUN, String(error))
}
