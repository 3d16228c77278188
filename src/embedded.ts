/**
 * Runs a complete system in one process for a first try: one host, and stand-ins for the platform, workers and
 * endpoint, which it reaches over loopback HTTP like real ones. Only a folder of example files outlasts the process.
 */
import {generateKeyPairSync, randomBytes, randomUUID} from "node:crypto"
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {request} from "undici"
import {stringify} from "yaml"
import {EndpointCore} from "../standins/endpoint/core.js"
import {createEndpointApp} from "../standins/endpoint/app.js"
import {FaultSwitch} from "../standins/faults.js"
import {createPlatformApp} from "../standins/platform/app.js"
import {PlatformCore} from "../standins/platform/core.js"
import {listen} from "../standins/serve.js"
import {createWorkerApp} from "../standins/worker/app.js"
import {WorkerCore} from "../standins/worker/core.js"
import {
	type BundleContent,
	type Clock,
	type HostSettings,
	HostRole,
	SystemClock,
	bundleContentSchema,
	hashText,
	signBundle
} from "./internal.js"
import {Host} from "./host.js"

const LOOPBACK = "127.0.0.1"
const ZONE = "zone-a"
const RACK = "rack-1"
const WORKSPACE = "try"
const KEY_ID = "main"
const WORKER_IDS = ["worker-1", "worker-2"]
const ENDPOINT_ID = "endpoint-1"
const ENDPOINT_SLOTS = 8
const WORKER_CAPACITY = {accelerators: 8, cpus: 30, memoryMb: 128000}
const TOKEN_BYTES = 24
const SHUTDOWN_TIMEOUT_MS = 20000
const SECRET_FILE_MODE = 0o600

const EXAMPLE_JOB = {
	service: "letter-match",
	repeatable: true,
	shape: {members: 2, accelerators: 4, adjacency: "rack"},
	payload: JSON.stringify({runMs: 1000, answer: "sender found"})
}

export class EmbeddedSystem {
	readonly operatorToken = randomBytes(TOKEN_BYTES).toString("base64url")
	readonly callerToken = randomBytes(TOKEN_BYTES).toString("base64url")
	/** Contains the signing key, the bundle and an example job. */
	readonly folder = mkdtempSync(join(tmpdir(), "cardamomhook-embedded-"))
	readonly #clock: Clock = new SystemClock()
	readonly #platform = new PlatformCore()
	readonly #keys = generateKeyPairSync("ed25519")
	readonly #port: number

	constructor(port: number) {
		this.#port = port
	}

	/** Starts the stand-ins and the host, rolls out the first bundle and resolves with the host and its port. */
	async start(): Promise<{readonly host: Host; readonly port: number}> {
		const platformUrl = buildUrl(
			await listen(createPlatformApp(this.#platform, new FaultSwitch()), 0)
		)
		for (const id of WORKER_IDS) await this.#startWorker(id)
		await this.#startEndpoint()
		const host = new Host(this.#buildSettings(platformUrl), this.#clock)
		const {port} = await host.start()
		host.telemetry.log.info({port}, "listening")
		const content = this.#buildContent()
		this.#writeFiles(content)
		await this.#rollOut(buildUrl(port), content)
		return {host, port}
	}

	/** Instructions for a first try, with the commands and tokens to use. */
	formatInstructions(port: number): string {
		const {folder, operatorToken, callerToken} = this
		return [
			`cardamomhook runs at ${buildUrl(port)}: workspace "${WORKSPACE}", zone "${ZONE}",`,
			`${WORKER_IDS.length} workers of ${WORKER_CAPACITY.accelerators} accelerators and an endpoint, all in this process.`,
			`Signing key, bundle and a job are in ${folder}. In another terminal:`,
			"",
			`  export CARDAMOMHOOK_HOSTS=${buildUrl(port)}`,
			`  export CARDAMOMHOOK_TOKEN=${callerToken}      # a caller of the workspace`,
			`  cardamomhook job submit ${folder}/job.yaml --wait`,
			"  cardamomhook job list",
			"",
			`  export CARDAMOMHOOK_TOKEN=${operatorToken}      # an operator`,
			"  cardamomhook bundle status",
			`  cardamomhook zone out ${ZONE} --key ${folder}/signing.key`,
			`  cardamomhook zone in ${ZONE} --key ${folder}/signing.key`,
			"",
			"Stop with Ctrl-C. Only that folder is kept.",
			""
		].join("\n")
	}

	async #startWorker(id: string): Promise<void> {
		const core = new WorkerCore(
			{workerId: id, incarnation: "1", capacity: WORKER_CAPACITY},
			this.#clock
		)
		const port = await listen(createWorkerApp(core, new FaultSwitch()), 0)
		this.#registerHost(id, HostRole.worker, port)
	}

	async #startEndpoint(): Promise<void> {
		const core = new EndpointCore(ENDPOINT_ID, randomUUID(), ENDPOINT_SLOTS, this.#clock)
		const port = await listen(createEndpointApp(core, new FaultSwitch()), 0)
		this.#registerHost(ENDPOINT_ID, HostRole.endpoint, port)
	}

	#registerHost(id: string, role: HostRole, port: number): void {
		const rack = role === HostRole.worker ? RACK : ""
		const address = buildUrl(port)
		const record = {id, role, zone: ZONE, rack, address, peerAddress: "", leaving: false}
		this.#platform.pinHost(record, this.#clock.now())
	}

	#buildSettings(platformUrl: string): HostSettings {
		const publicKey = this.#keys.publicKey.export({format: "der", type: "spki"})
		return {
			hostId: "host-1",
			zone: ZONE,
			region: "region-1",
			callerAddress: {host: LOOPBACK, port: this.#port},
			peerAddress: {host: LOOPBACK, port: 0},
			platformUrl,
			bundleKeys: {[KEY_ID]: publicKey.toString("base64")},
			peerSecrets: [randomBytes(TOKEN_BYTES).toString("base64url")],
			operators: {operator: hashText(this.operatorToken)},
			logLevel: "info",
			shutdownTimeoutMs: SHUTDOWN_TIMEOUT_MS
		}
	}

	#buildContent(): BundleContent {
		return bundleContentSchema.parse({
			zones: [{name: ZONE, region: "region-1"}],
			workspaces: [{name: WORKSPACE, callers: {me: hashText(this.callerToken)}}]
		})
	}

	#encodePrivateKey(): string {
		return this.#keys.privateKey.export({format: "der", type: "pkcs8"}).toString("base64")
	}

	#writeFiles(content: BundleContent): void {
		const key = `${this.#encodePrivateKey()}\n`
		writeFileSync(join(this.folder, "signing.key"), key, {mode: SECRET_FILE_MODE})
		writeFileSync(join(this.folder, "bundle.yaml"), stringify(content))
		writeFileSync(join(this.folder, "job.yaml"), stringify(EXAMPLE_JOB))
	}

	async #rollOut(url: string, content: BundleContent): Promise<void> {
		const bundle = signBundle(1, content, KEY_ID, this.#encodePrivateKey(), "embedded")
		const {body} = await request(`${url}/v1/bundle`, {
			method: "PUT",
			headers: {
				authorization: `Bearer ${this.operatorToken}`,
				"content-type": "application/json"
			},
			body: JSON.stringify(bundle)
		})
		await body.dump()
	}
}

function buildUrl(port: number): string {
	return `http://${LOOPBACK}:${port}`
}
