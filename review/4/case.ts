/**
 * Single workers lose power for less than a second and start again under their ids, while jobs are handed in. A start
 * that the lost boot never answered is repeated and reaches the new boot.
 */
import {BATCH, EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, Rig, hasTrouble, sleep} from "../rig.js"

const STOP_MS = 900
const WORKERS = 8
const TASKS = 6
const ROUNDS = 6
const DARK_MS = 500
const ROUND_MS = 9000

const rig = new Rig(process.argv[2] ?? ".")
try {
	await rig.startStore()
	for (let index = 0; index < WORKERS; index++) await rig.addWorker(`w${index}`, STOP_MS)
	await rig.startDaemons(3, STOP_MS)
	await sleep(4000)
	let accepted = 0
	for (let round = 0; round < ROUNDS; round++) {
		const victim = `w${round}`
		if (hasTrouble()) rig.cutPower(victim)
		// Tasks for most workers, so that one of them is placed on the worker without power.
		const answer = await rig.call(round, "POST", `${BATCH}00000000000000${round}f`, {
			spec: JSON.stringify({workMs: 3000}),
			steps: [{count: TASKS, gpu: 5, cpu: 1000, mem_mb: 1000, estimate_ms: 3000}]
		})
		if (answer.status === 200) accepted++
		await sleep(DARK_MS)
		if (hasTrouble()) rig.restorePower(victim)
		await sleep(ROUND_MS - DARK_MS)
	}
	for (const violation of rig.fleet.monitor.violations) rig.record(`seen: ${violation}`)
	const violations = rig.fleet.monitor.violations.length
	if (rig.hasLostDaemon()) rig.finish(EXIT_NOT_RUN, "a daemon has ended")
	if (accepted < ROUNDS) rig.finish(EXIT_NOT_RUN, "a job was not accepted")
	if (violations > 0) rig.finish(EXIT_BROKEN, `${violations} tasks ran twice`)
	rig.finish(EXIT_HELD, "no task ran twice")
} catch (error) {
	rig.finish(EXIT_NOT_RUN, String(error))
}
