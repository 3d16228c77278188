/** Shared by all daemons: runs a host until SIGTERM or SIGINT and reloads its settings on SIGHUP. */
import {type Host} from "./host.js"
import {reloadSignal} from "./reload-signal.js"
import {loadSettings} from "./settings.js"

const EXIT_NOT_LISTENING = 3

/** Resolves with the exit code: 0 after a graceful shutdown, 3 if it can't listen on an address. */
export async function runHost(host: Host, settingsPath: string): Promise<number> {
	try {
		host.telemetry.log.info(await host.start(), "listening")
	} catch (error) {
		return reportListenError(error)
	}
	reloadSignal.bind(() => {
		reloadSettings(host, settingsPath)
	})
	return stopOnSignal(host)
}

/** Keeps the current settings if the new ones are malformed or need a restart. */
function reloadSettings(host: Host, settingsPath: string): void {
	loadSettings(settingsPath).match(
		settings => {
			const isAdopted = host.board.adoptSettings(settings)
			if (isAdopted) host.telemetry.log.level = settings.logLevel
			host.telemetry.log.info(
				{isAdopted},
				isAdopted ? "settings-reloaded" : "settings-need-restart"
			)
		},
		error => {
			host.telemetry.log.warn({detail: error.message}, "settings-malformed")
		}
	)
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
	host.telemetry.close()
	return 0
}

function waitForSignal(): Promise<void> {
	return new Promise(resolve => {
		process.once("SIGTERM", resolve)
		process.once("SIGINT", resolve)
	})
}
