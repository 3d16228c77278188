/**
 * Handles SIGHUP from the start of the process, which the signal would end otherwise. Daemons import this module before
 * the large ones. A signal that arrives before the host runs reloads the settings once it does.
 */
import {type EventEmitter} from "node:events"

const SIGNAL = "SIGHUP"

export class ReloadSignal {
	#isPending = false
	#reload: (() => void) | undefined

	constructor(source: Pick<EventEmitter, "on">) {
		source.on(SIGNAL, () => {
			if (this.#reload === undefined) this.#isPending = true
			else this.#reload()
		})
	}

	/** Calls `reload` at each later signal, and at once if there was one before. */
	bind(reload: () => void): void {
		this.#reload = reload
		if (this.#isPending) reload()
		this.#isPending = false
	}
}

export const reloadSignal = new ReloadSignal(process)
