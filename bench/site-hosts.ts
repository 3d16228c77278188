/** Processes of the platform's daemon, each on a loopback address of its own, with a share of a core each. */
import {type ChildProcess, spawn} from "node:child_process"
import {openSync, readFileSync, writeFileSync} from "node:fs"
import {join} from "node:path"
import {readProcessUsage} from "./daemon-rig.js"

const BUILT_PROGRAM = "target/cardamomhook-platform.mjs"
const TEMPLATE = "deploy/settings.yaml"
const CALLER_PORT = 8521
const READINESS_PORT = 8523
const PERIOD_MS = 100
const MS_PER_S = 1000
const DESCRIPTORS = 4100
const MEMORY_MB = 350
const LARGE = {cores: 2, coreShare: 0.675}
const SMALL = {cores: 1, coreShare: 0.324}

export class SiteHost {
	readonly id: string
	readonly url: string
	readonly logPath: string
	readonly #program: string
	readonly #coreShare: number
	readonly #settingsPath: string
	#child: ChildProcess | undefined
	#quota: NodeJS.Timeout | undefined

	constructor(
		index: number,
		zone: string,
		isLarge: boolean,
		platformUrl: string,
		folder: string,
		program: string
	) {
		const {cores, coreShare} = isLarge ? LARGE : SMALL
		const ip = `127.1.0.${index + 1}`
		this.id = `host-${index}`
		this.url = `http://${ip}:${CALLER_PORT}`
		this.logPath = join(folder, `${this.id}.log`)
		this.#program = program === "" ? BUILT_PROGRAM : program
		this.#coreShare = coreShare
		this.#settingsPath = join(folder, `${this.id}.yaml`)
		const values: Readonly<Record<string, string | number>> = {
			node_name: this.id,
			zone,
			region: zone.replace(/-[ab]$/, ""),
			"listen_addrs.front": `${ip}:${CALLER_PORT}`,
			"listen_addrs.ready_addr": `${ip}:${READINESS_PORT}`,
			"internal_ports.0": 7000,
			ip,
			"platform.address": platformUrl.replace("http://", ""),
			"bounds.revoke_ms": 5000,
			"bounds.stop_ms": 200,
			"bounds.max_hold_ms": 10000,
			"bounds.restore_ms": 250,
			"bounds.remote_factor": 3,
			"limits.cores": cores,
			"limits.cpu_share": coreShare,
			"limits.max_fds": DESCRIPTORS,
			"limits.memory_mb": MEMORY_MB
		}
		const template = readFileSync(TEMPLATE, "utf8")
		const text = template.replace(/{{(.*?)}}/g, (_, name: string) => `${values[name] ?? ""}`)
		writeFileSync(this.#settingsPath, text)
	}

	start(): void {
		const log = openSync(this.logPath, "a")
		this.#child = spawn(process.execPath, ["--max-old-space-size=200", this.#program], {
			stdio: ["ignore", log, log],
			env: {PATH: process.env.PATH, CARDAMOMHOOK_SETTINGS: this.#settingsPath}
		})
	}

	/** Runs the process only for its share of each tenth of a second, from now on. */
	limitCpu(): void {
		const runMs = Math.round(PERIOD_MS * this.#coreShare)
		const run = (): void => {
			this.#child?.kill("SIGCONT")
			this.#quota = setTimeout(() => {
				this.#child?.kill("SIGSTOP")
				this.#quota = setTimeout(run, PERIOD_MS - runMs)
			}, runMs)
		}
		this.#quota = setTimeout(run, Math.random() * PERIOD_MS)
	}

	kill(): void {
		this.#child?.kill("SIGKILL")
		this.#child = undefined
	}

	stop(): void {
		clearTimeout(this.#quota)
		this.kill()
	}

	readCpuMs(): number {
		const pid = this.#child?.pid
		return pid === undefined ? 0 : readProcessUsage(pid).cpuMs
	}

	async checkReady(): Promise<boolean> {
		const url = this.url.replace(`${CALLER_PORT}`, `${READINESS_PORT}`)
		const answer = await fetch(`${url}/v1/ready`, {
			signal: AbortSignal.timeout(MS_PER_S)
		}).catch(() => undefined)
		return answer?.ok === true
	}

	/** Lines of the log that contain one of the words. */
	findLines(words: readonly string[]): readonly string[] {
		const lines = readFileSync(this.logPath, "utf8").split("\n")
		return lines.filter(line => words.some(word => line.includes(word)))
	}
}
