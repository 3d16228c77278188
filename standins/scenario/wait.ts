/** Waits for conditions; the scenario fails after a timeout. */
import {ScenarioError} from "./schema.js"

const CHECK_INTERVAL_MS = 50

/** Calls `check` until it returns a value other than undefined, and resolves with that value. */
export async function waitUntil<T>(
	description: string,
	timeoutMs: number,
	check: () => Promise<T | undefined> | T | undefined
): Promise<T> {
	const giveUpAt = performance.now() + timeoutMs
	for (;;) {
		const value = await check()
		if (value !== undefined) return value
		if (performance.now() > giveUpAt)
			throw new ScenarioError(`timed out after ${timeoutMs} ms: ${description}`)
		await pauseFor(CHECK_INTERVAL_MS)
	}
}

/** Resolves after `ms` milliseconds. */
export function pauseFor(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms)
	})
}
