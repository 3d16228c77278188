/** Stand-in for the platform's metadata store: tables of rows, transactions with preconditions, and change feeds. */
import {type Clock} from "../../src/internal.js"

export interface RowName {
	readonly table: string
	readonly part: string
	readonly key: string
}

/** One row as the store returns it; `value` is base64, and absent if the row was deleted. */
export interface StoredRow extends RowName {
	readonly value?: string
	readonly schema_version: number
	readonly deleted?: boolean
}

export interface Transaction {
	readonly precondition: readonly (RowName & {readonly schema_version: number})[]
	readonly put: readonly (RowName & {readonly value: string})[]
	readonly delete: readonly RowName[]
}

export type TransactionAnswer =
	| {readonly status: 200; readonly schema_version: number}
	| {readonly status: 412; readonly rows: readonly StoredRow[]}

const PAGE_ROWS = 500
/** Limits of one transaction. */
const ENTRIES_MAX = 100
const CALL_BYTES_MAX = 1_000_000
const ROW_BYTES_MAX = 65536

/** Changed rows, and the version up to which they are complete. */
export interface StoredChanges {
	readonly rows: readonly StoredRow[]
	readonly schema_version: number
}

interface Waiter {
	readonly table: string
	readonly after: number
	readonly resolve: (changes: StoredChanges) => void
}

export class StoreCore {
	readonly #clock: Clock
	readonly #rows = new Map<string, StoredRow>()
	/** Changes of each table, oldest first. */
	readonly #history = new Map<string, StoredRow[]>()
	/** Changes up to this version are no longer kept. */
	#clearedVersion = 0
	#version = 1
	readonly #waiters = new Set<Waiter>()

	constructor(clock: Clock) {
		this.#clock = clock
	}

	get version(): number {
		return this.#version
	}

	transact({precondition, put, delete: deletions}: Transaction): TransactionAnswer {
		const current = precondition.map(name => this.#rows.get(formatName(name)))
		const holds = precondition.every(
			(condition, index) => (current[index]?.schema_version ?? 0) === condition.schema_version
		)
		if (!holds) return {status: 412, rows: current.filter(row => row !== undefined)}
		this.#version++
		for (const row of put) this.#write({...row, schema_version: this.#version})
		for (const {table, part, key} of deletions)
			this.#write({table, part, key, schema_version: this.#version, deleted: true})
		this.#wakeWaiters(new Set([...put, ...deletions].map(({table}) => table)))
		return {status: 200, schema_version: this.#version}
	}

	/** What makes the store refuse the transaction, of which it then applies nothing; undefined if there is nothing. */
	findExcess(transaction: Transaction): string | undefined {
		const {precondition, put, delete: deletions} = transaction
		const entries = precondition.length + put.length + deletions.length
		if (entries > ENTRIES_MAX) return `${entries} entries, at most ${ENTRIES_MAX}`
		const bytes = Buffer.byteLength(JSON.stringify(transaction))
		if (bytes > CALL_BYTES_MAX) return `${bytes} bytes, at most ${CALL_BYTES_MAX}`
		const large = put.find(({value}) => Buffer.from(value, "base64").length > ROW_BYTES_MAX)
		return large === undefined ? undefined : `${large.key} has over ${ROW_BYTES_MAX} bytes`
	}

	/** Writes a row as JSON, as operators and workers do. */
	putRow(table: string, key: string, value: unknown): void {
		const encoded = Buffer.from(JSON.stringify(value)).toString("base64")
		this.transact({precondition: [], put: [{table, part: "", key, value: encoded}], delete: []})
	}

	deleteRow(table: string, key: string): void {
		this.transact({precondition: [], put: [], delete: [{table, part: "", key}]})
	}

	readRange(table: string, part: string, from: string, end: string | undefined, limit: number) {
		const found = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from)
			.filter(row => end === undefined || row.key < end)
			.sort((a, b) => (a.key < b.key ? -1 : 1))
		const rows = found.slice(0, Math.min(limit, PAGE_ROWS))
		return {rows, has_more: found.length > rows.length, schema_version: this.#version}
	}

	/** Returns a table's changes after a version, waiting for the first; undefined if they are no longer kept. */
	async pollChanges(
		table: string,
		after: number,
		waitMs: number
	): Promise<StoredChanges | undefined> {
		if (after < this.#clearedVersion) return undefined
		const changes = this.#listChanges(table, after)
		if (changes.rows.length > 0 || waitMs === 0) return changes
		return new Promise(resolve => {
			const waiter = {table, after, resolve}
			this.#waiters.add(waiter)
			this.#clock.schedule(waitMs, () => {
				if (this.#waiters.delete(waiter)) resolve(this.#listChanges(table, after))
			})
		})
	}

	clearHistory(): void {
		this.#clearedVersion = this.#version
		this.#history.clear()
	}

	#listChanges(table: string, after: number): StoredChanges {
		const history = this.#history.get(table) ?? []
		const first = history.findLastIndex(row => row.schema_version <= after) + 1
		return {rows: history.slice(first), schema_version: this.#version}
	}

	#write(row: StoredRow): void {
		const history = this.#history.get(row.table) ?? []
		this.#history.set(row.table, history)
		history.push(row)
		if (row.deleted === true) this.#rows.delete(formatName(row))
		else this.#rows.set(formatName(row), row)
	}

	#wakeWaiters(tables: ReadonlySet<string>): void {
		for (const waiter of [...this.#waiters]) {
			if (!tables.has(waiter.table)) continue
			const changes = this.#listChanges(waiter.table, waiter.after)
			if (changes.rows.length === 0) continue
			this.#waiters.delete(waiter)
			waiter.resolve(changes)
		}
	}
}

function formatName({table, part, key}: RowName): string {
	return JSON.stringify([table, part, key])
}
