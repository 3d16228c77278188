/**
 * A queue that needs a key is taken out of the configuration while a job of it runs. From then on a caller without any key can
 * read the job through a public queue, and cancel it; once the queue is back, its owner finds it cancelled.
 */
import {type Rig, ExitCode, buildConfig, call, pause, runScript, waitFor} from "../rig-3.js"

const KEY = "d4a3hwrr6x73d3zji9n7"
const NO_KEY = ""
const JOB = "00000000000000b2"
const WORK_MS = 60_000
/** `config_apply_ms` is 2,500. */
const APPLIED_MS = 4000
/** `cancel_ms` and `stop_ms`, and more. */
const STOPPED_MS = 4000

async function play(rig: Rig): Promise<ExitCode> {
	const {fleet, journal, store} = rig
	const config = buildConfig(fleet.service, [{name: "kaje80", key: KEY, gpu: 0}])
	const publicRoutes = config.routes
		.filter(({name}) => name === "r-sort")
		.map(route => ({...route, name: "r-open", path_prefix: "/open/", public: true}))
	const all = [...config.routes, ...publicRoutes]
	const putVersion = async (version: number, routes: typeof all) => {
		store.put("op", "config", {...config, version, routes})
		journal.write(`version ${version} has ${routes.map(route => route.path_prefix).join(" ")}`)
		await pause(APPLIED_MS)
	}
	store.put("op", "config", {...config, routes: all})
	for (let index = 0; index < 3; index++)
		await fleet.add(`i-0${index}`, {
			zone: ["nairobi-a", "mombasa-a", "kisumu-a"][index % 3] ?? "",
			labels: ["a", `r${index % 3}`],
			cpu: 32_000,
			memMb: 131_072,
			gpu: 8
		})
	await rig.startMachines(3)
	const [machine, other] = rig.machines
	if (machine === undefined || other === undefined) return ExitCode.notRun
	const ask = async (method: string, path: string, key: string) => {
		const answer = await call(other, method, path, {key})
		const words = key === NO_KEY ? "without a key" : "with its key"
		journal.write(`${method} ${path} ${words} -> ${answer.status} ${answer.body}`)
		return answer
	}
	const step = {count: 1, cpu: 1000, mem_mb: 1024, gpu: 1, estimate_ms: WORK_MS}
	const body = {spec: JSON.stringify({workMs: WORK_MS, gpu: 1}), steps: [step]}
	const {status} = await call(machine, "POST", `/sort/${JOB}`, {key: KEY, body})
	journal.write(`POST /sort/${JOB} with its key -> ${status}`)
	if (status !== 200) return ExitCode.notRun
	if (!(await waitFor(() => fleet.starts.length === 1, 5000))) return ExitCode.notRun
	await ask("GET", `/open/${JOB}`, NO_KEY)
	const withoutQueue = all.filter(({name}) => name !== "r-sort")
	await putVersion(8, rig.isTroubled ? withoutQueue : all)
	const shown = await ask("GET", `/open/${JOB}`, NO_KEY)
	const cancelled = await ask("DELETE", `/open/${JOB}`, NO_KEY)
	await pause(STOPPED_MS)
	await putVersion(9, all)
	const {status: kept, body: state} = await ask("GET", `/sort/${JOB}`, KEY)
	if (kept !== 200) return ExitCode.notRun
	const isForeign = shown.status === 200 || cancelled.status === 200
	const isLost = state.includes("cancelled") || fleet.ends.length > 0
	return isForeign && isLost ? ExitCode.broken : ExitCode.held
}

await runScript("review/12", play)
