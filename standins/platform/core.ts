/** State of the platform stand-in: a transactional table, an object store and a host list that can lag. */
import {
	type CommitAnswer,
	type HostListAnswer,
	type HostRecord,
	type RowWrite,
	type TableRow,
	ANY_VERSION
} from "../../src/internal.js"

interface ListedHost {
	readonly record: HostRecord
	/** Time of the last heartbeat; undefined for a pinned host. */
	readonly lastHeartbeatAt: number | undefined
}

/** Addresses at which one viewer reaches a host. */
export interface HostAddresses {
	readonly address: string
	readonly peerAddress: string
}

interface HostChange {
	readonly visibleAt: number
	readonly hosts: readonly HostRecord[]
}

/** A host that registers itself is removed from the list after this long without a heartbeat. */
const HEARTBEAT_TIMEOUT_MS = 5000

export class PlatformCore {
	readonly #rows = new Map<string, TableRow>()
	readonly #objects = new Map<string, string>()
	readonly #hosts = new Map<string, ListedHost>()
	readonly #changes: HostChange[] = []
	readonly #views = new Map<string, Readonly<Record<string, HostAddresses>>>()
	#visible: readonly HostRecord[] = []
	#listVersion = 1
	/** Delay until a change of the host list becomes visible. */
	listLagMs = 0
	commits = 0
	reads = 0

	read(keys: readonly string[]): TableRow[] {
		this.reads += keys.length
		return keys.flatMap(key => this.#rows.get(key) ?? [])
	}

	scan(prefix: string): TableRow[] {
		this.reads++
		return [...this.#rows.values()]
			.filter(({key}) => key.startsWith(prefix))
			.sort((a, b) => (a.key < b.key ? -1 : 1))
	}

	/** Applies all writes or none; a conflict returns the current rows, with version 0 for absent ones. */
	commit(writes: readonly RowWrite[]): CommitAnswer {
		this.commits++
		const conflicts = writes
			.filter(
				({key, ifVersion}) => ifVersion !== ANY_VERSION && this.#findVersion(key) !== ifVersion
			)
			.map(({key}) => this.#rows.get(key) ?? {key, version: 0, value: ""})
		if (conflicts.length > 0) return {committed: false, conflicts}
		return {committed: true, versions: writes.map(write => this.#write(write))}
	}

	putObject(key: string, body: string): void {
		this.#objects.set(key, body)
	}

	getObject(key: string): string | null {
		return this.#objects.get(key) ?? null
	}

	/** Handles a host's heartbeat. */
	registerHost(record: HostRecord, now: number): void {
		this.#putHost(record, now, now)
	}

	/** Lists a host until it is removed, even without heartbeats. */
	pinHost(record: HostRecord, now: number): void {
		this.#putHost(record, undefined, now)
	}

	#putHost(record: HostRecord, lastHeartbeatAt: number | undefined, now: number): void {
		const known = this.#hosts.get(record.id)
		this.#hosts.set(record.id, {record, lastHeartbeatAt})
		if (JSON.stringify(known?.record) !== JSON.stringify(record)) this.#recordChange(now)
	}

	removeHost(id: string, now: number): void {
		if (this.#hosts.delete(id)) this.#recordChange(now)
	}

	/** Sets the addresses at which `viewer` reaches the hosts; a host without one is not on its list. */
	setView(viewer: string, addresses: Readonly<Record<string, HostAddresses>>): void {
		this.#views.set(viewer, addresses)
		this.#listVersion++
	}

	/** The hosts as registered, without lag. */
	readHosts(): readonly HostRecord[] {
		return [...this.#hosts.values()].map(({record}) => record)
	}

	/** Returns the list, or only its version if the caller has that one already. */
	listHosts(now: number, knownVersion = 0, viewer?: string): HostListAnswer {
		const hosts = this.#readVisible(now)
		const version = this.#listVersion
		if (version === knownVersion) return {version}
		return {version, hosts: viewer === undefined ? hosts : this.#applyView(viewer, hosts)}
	}

	#applyView(viewer: string, hosts: readonly HostRecord[]): readonly HostRecord[] {
		const addresses = this.#views.get(viewer) ?? {}
		return hosts.flatMap(record => {
			const ownAddresses = addresses[record.id]
			return ownAddresses === undefined ? [] : [{...record, ...ownAddresses}]
		})
	}

	#readVisible(now: number): readonly HostRecord[] {
		for (const [id, host] of this.#hosts) {
			const {lastHeartbeatAt} = host
			if (lastHeartbeatAt !== undefined && now - lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS)
				this.removeHost(id, now)
		}
		while (this.#changes[0] !== undefined && this.#changes[0].visibleAt <= now) {
			this.#visible = this.#changes.shift()?.hosts ?? []
			this.#listVersion++
		}
		return this.#visible
	}

	#recordChange(now: number): void {
		const hosts = [...this.#hosts.values()].map(({record}) => record)
		this.#changes.push({visibleAt: now + this.listLagMs, hosts})
	}

	#findVersion(key: string): number {
		return this.#rows.get(key)?.version ?? 0
	}

	#write({key, value}: RowWrite): number {
		const version = this.#findVersion(key)
		if (value === undefined) return version
		if (value === null) {
			this.#rows.delete(key)
			return 0
		}
		// Versions never repeat, not even after a row was deleted and written again.
		this.#rows.set(key, {key, version: ++this.#lastVersion, value})
		return this.#lastVersion
	}

	#lastVersion = 0
}
