/**
 * A job with many occurrences that are all due ends every process that schedules, again and again, and nothing that
 * other clients have handed in runs any more.
 */
import {HAS_TROUBLE, createConfig, pause, runCase} from "../rig-2.js"

/** All of these jobs are accepted. Without the disruption the job has few occurrences, and the rest is the same. */
const OCCURRENCES = HAS_TROUBLE ? 10000 : 10
const STEPS = 13
const INTERVAL_MS = 60000
/** `finish_s` of the deployment. */
const FINISH_MS = 14000
const STANDSTILL_MS = 4000
const IDLE_MIN_MS = 3000
/** The platform restarts a process that has ended after a short delay. */
const RESTART_MS = 500
const SCHEDULED_ID = "00000000000000a1"
const OTHER_IDS = ["00000000000000b1", "00000000000000b2", "00000000000000b3"]

await runCase("review/6", async site => {
	await site.startStore(
		createConfig(1, [
			{name: "reads", priority: 0, attempts: 2},
			{name: "sorts", priority: 2, attempts: 4}
		])
	)
	await site.addWorkers(8)
	await site.startHosts(3)
	site.restartEnded(RESTART_MS)
	await site.waitForHolder()
	await pause(1500)
	const ask = async (method: "GET" | "POST", path: string, body?: unknown) => {
		for (const host of site.hosts) {
			const answer = await host.call(method, path, body)
			if (answer.status !== 0 && answer.status !== 503) return answer
		}
		return undefined
	}
	const spec = JSON.stringify({workMs: 500, cpu: 1000, gpu: 1})
	const step = {count: 1, cpu: 1000, mem_mb: 100, gpu: 1, estimate_ms: 500}
	const scheduled = {
		spec,
		steps: Array.from({length: STEPS}, () => step),
		// The first run is due at 0 ms, since 1970, as for every job that leaves `first_run_ms` out.
		interval_ms: INTERVAL_MS,
		repeat_count: OCCURRENCES
	}
	await ask("POST", `/sorts/${SCHEDULED_ID}`, scheduled)
	await pause(1000)
	for (const id of OTHER_IDS) await ask("POST", `/reads/${id}`, {spec, steps: [step]})
	await pause(FINISH_MS)
	// From here on, a job that has nothing running, though the service is idle, counts as lost after 3 s.
	const until = site.record.now + STANDSTILL_MS
	let idleSince = site.record.now
	while (site.record.now < until) {
		if ([...site.fleet.workers.values()].some(({running}) => running.length > 0))
			idleSince = site.record.now
		await pause(20)
	}
	const idleMs = site.record.now - idleSince
	const begun = OTHER_IDS.filter(id => site.monitor.starts.some(({task}) => task.startsWith(id)))
	for (const id of OTHER_IDS) await ask("GET", `/reads/${id}`)
	const ends = site.hosts.map(({ownEnds}) => ownEnds.length)
	site.record.add(`times that the processes ended by themselves: ${ends.join(" ")}`)
	site.record.add(`the service was idle for the last ${idleMs} ms`)
	site.record.add(`of ${OTHER_IDS.length} other jobs, ${begun.length} have begun`)
	return begun.length < OTHER_IDS.length && idleMs >= IDLE_MIN_MS
})
