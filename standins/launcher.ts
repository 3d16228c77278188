/** Starts programs as processes for tests and the demo, and ends only those it started. */
import {type ChildProcess, spawn} from "node:child_process"
import {createInterface} from "node:readline"
import {fileURLToPath} from "node:url"

const DIST = fileURLToPath(new URL("../dist/", import.meta.url))
const START_TIMEOUT_MS = 20000
const STOP_TIMEOUT_MS = 30000

export interface StartedProcess {
	readonly name: string
	readonly port: number
	readonly url: string
	readonly child: ChildProcess
	readonly lines: string[]
}

export class Launcher {
	readonly #started: StartedProcess[] = []

	get started(): readonly StartedProcess[] {
		return this.#started
	}

	/** Starts a bundled program and resolves once it prints a JSON line with the `port` it listens on. */
	start(program: string, args: readonly string[], name = program): Promise<StartedProcess> {
		const child = spawn(process.execPath, [`${DIST}${program}.mjs`, ...args], {
			stdio: ["ignore", "pipe", "pipe"]
		})
		const lines: string[] = []
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`${name} did not start:\n${lines.slice(-20).join("\n")}`))
			}, START_TIMEOUT_MS)
			let listening = false
			const handleLine = (line: string): void => {
				lines.push(line)
				const port = listening ? undefined : readPort(line)
				if (port === undefined) return
				listening = true
				clearTimeout(timer)
				const started = {name, port, url: `http://127.0.0.1:${port}`, child, lines}
				this.#started.push(started)
				resolve(started)
			}
			createInterface({input: child.stdout}).on("line", handleLine)
			createInterface({input: child.stderr}).on("line", handleLine)
			child.once("exit", code => {
				if (!listening)
					reject(new Error(`${name} exited with ${code ?? "a signal"}:\n${lines.join("\n")}`))
			})
		})
	}

	/** Sends a signal and resolves with the exit code once the process has ended. */
	async stop(started: StartedProcess, signal: NodeJS.Signals = "SIGTERM"): Promise<number | null> {
		const {child} = started
		if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
		return new Promise(resolve => {
			const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS)
			child.once("exit", code => {
				clearTimeout(timer)
				resolve(code)
			})
			child.kill(signal)
		})
	}

	async killAll(): Promise<void> {
		await Promise.all(this.#started.map(started => this.stop(started, "SIGKILL")))
	}
}

function readPort(line: string): number | undefined {
	try {
		const {port} = JSON.parse(line) as {port?: unknown}
		return typeof port === "number" ? port : undefined
	} catch {
		return undefined
	}
}
