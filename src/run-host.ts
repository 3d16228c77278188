/** Runs a host until a signal asks it to stop; the exit codes of every daemon. */
import {type Host} from "./host.js"

const EXIT_NOT_LISTENING = 3

/** Resolves with the exit code: 0 after a graceful shutdown, 3 where an address can't be listened at. */
export async function runHost(host: Host): Promise<number> {
	try {
		host.telemetry.log.info(await host.start(), "listening")
	} catch (error) {
		return reportListenError(error)
	}
	return stopOnSignal(host)
}

export function reportListenError(error: unknown): number {
	if ((error as {syscall?: unknown}).syscall !== "listen") throw error
	process.stderr.write(`${(error as Error).message}\n`)
	return EXIT_NOT_LISTENING
}

export async function stopOnSignal(host: Host): Promise<number> {
	await waitForSignal()
	host.telemetry.log.info("stopping")
	await host.stop()
	host.telemetry.log.info("stopped")
	return 0
}

function waitForSignal(): Promise<void> {
	return new Promise(resolve => {
		process.once("SIGTERM", resolve)
		process.once("SIGINT", resolve)
	})
}
