/**
 * A run fails whose start had to be repeated, since an order got no answer. Its end is acknowledged, and the holder is
 * killed before it has recorded the failure.
 */
import {
	HAS_TROUBLE,
	type Order,
	OrderFate,
	createConfig,
	pause,
	runCase,
	waitFor
} from "../rig-2.js"

const ATTEMPTS = 2
const WORK_MS = 1500
/** Time from the acknowledgement of the end to the kill. */
const KILL_AFTER_MS = 100
const FAILING_ID = "00000000000000a1"
const TASK = `${FAILING_ID}.0.0.0`
/** Jobs that run beside it; all of their orders are answered. */
const OTHER_IDS = ["00000000000000b1", "00000000000000b2", "00000000000000b3"]

function createJob(fails: boolean) {
	const spec = JSON.stringify({workMs: WORK_MS, cpu: 1000, gpu: 1, fails})
	return {spec, steps: [{count: 1, cpu: 1000, mem_mb: 100, gpu: 1, estimate_ms: WORK_MS}]}
}

await runCase("review/7", async site => {
	let starts = 0
	let stops = 0
	site.decideOrder = ({task, kind, run}: Order) => {
		if (!HAS_TROUBLE || task !== TASK || run !== 1) return OrderFate.answered
		if (kind === "start") return starts++ === 0 ? OrderFate.late : OrderFate.answered
		return stops++ === 0 ? OrderFate.late : OrderFate.answered
	}
	await site.startStore(createConfig(1, [{name: "reads", priority: 0, attempts: ATTEMPTS}]))
	await site.addWorkers(4)
	await site.startHosts(3)
	const holder = await site.waitForHolder()
	const [client] = site.hosts.filter(host => host !== holder)
	if (client === undefined) throw new Error("no other host")
	await pause(2000)
	for (const id of [FAILING_ID, ...OTHER_IDS]) {
		const {status} = await client.call("POST", `/reads/${id}`, createJob(id === FAILING_ID))
		if (status !== 200) throw new Error(`job ${id} was answered ${status}`)
	}
	const isNoted = (run: number) =>
		site.monitor.acknowledged.some(end => end.task === TASK && end.run === run)
	await waitFor("the first failed end is taken note of", 15000, () => isNoted(1))
	if (HAS_TROUBLE) {
		await pause(KILL_AFTER_MS)
		holder.signal("SIGKILL")
	}
	let state = ""
	await waitFor("the job has ended", 60000, async () => {
		await pause(300)
		const answer = await client.call("GET", `/reads/${FAILING_ID}`)
		if (answer.status === 200) ({state} = JSON.parse(answer.text) as {state: string})
		return state === "failed" || state === "completed"
	})
	const runs = site.monitor.starts.filter(({task}) => task === TASK)
	const noted = site.monitor.acknowledged.filter(
		({task, outcome}) => task === TASK && outcome === "failed"
	)
	site.record.add(`the task began ${runs.length} times, ${noted.length} failed ends were noted`)
	return runs.length > ATTEMPTS && noted.length >= ATTEMPTS
})
