/** Keeps a stand-in on the platform's host list by heartbeats. */
import {request} from "undici"
import {type HostRecord} from "../src/internal.js"

const HEARTBEAT_INTERVAL_MS = 1000

export function startHeartbeat(platformUrl: string, read: () => HostRecord): void {
	async function send(): Promise<void> {
		try {
			const {body} = await request(`${platformUrl}/hosts/heartbeat`, {
				method: "POST",
				headers: {"content-type": "application/json"},
				body: JSON.stringify(read()),
				signal: AbortSignal.timeout(HEARTBEAT_INTERVAL_MS)
			})
			await body.dump()
		} catch {
			// The platform is unreachable; the next heartbeat retries.
		}
		setTimeout(() => void send(), HEARTBEAT_INTERVAL_MS)
	}
	void send()
}
