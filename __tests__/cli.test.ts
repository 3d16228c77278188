import {mkdtempSync, readFileSync, statSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {expect} from "chai"
import {stringify} from "yaml"
import {
	type BundleContent,
	type ClusterView,
	type JobView,
	type SignedBundle,
	OutcomeKind
} from "../src/internal.js"
import {ExitCode} from "../src/cli/exit-code.js"
import {type ToolResult, runTool} from "../standins/tool.js"
import {
	CALLER_TOKEN,
	type Cluster,
	OPERATOR_TOKEN,
	createBundleContent,
	createCluster,
	waitFor
} from "./fixtures/cluster.js"

const ZONES = ["zone-a", "zone-b"]

function createFolder(files: Readonly<Record<string, string>> = {}): (name: string) => string {
	const folder = mkdtempSync(join(tmpdir(), "cardamomhook-cli-"))
	const locate = (name: string) => join(folder, name)
	for (const [name, text] of Object.entries(files)) writeFileSync(locate(name), text)
	return locate
}

function expectCode(result: ToolResult, code: ExitCode): void {
	expect(result.code, `${result.stdout}${result.stderr}`).to.equal(code)
	expect(result.stderr).not.to.match(/^\s+at /m)
}

describe("the tool without a host", () => {
	const content = stringify(createBundleContent())
	const broken = stringify({...createBundleContent(), zones: [{name: "zone-a", region: 7}]})
	const path = createFolder({
		"good.yaml": content,
		"broken.yaml": broken,
		"not-yaml.yaml": "zones: [",
		"bad.key": "not a key"
	})
	const refusals: readonly [string, string[], RegExp][] = [
		["a missing file", ["bundle", "check", path("none.yaml")], /none\.yaml.*ENOENT/],
		["a file that is not YAML", ["bundle", "check", path("not-yaml.yaml")], /not-yaml\.yaml/],
		["a wrong field, by its path", ["bundle", "check", path("broken.yaml")], /zones\.0\.region/],
		["a file that is not a job", ["job", "submit", path("good.yaml")], /service/],
		["an unknown command", ["zone", "away", "zone-a"], /Command not found/],
		["a missing argument", ["bundle", "check"], /Not enough/],
		[
			"a generation that is not a number",
			["bundle", "rollback", "first", "--key", path("bad.key")],
			/generation/
		],
		[
			"a bad key",
			["bundle", "sign", path("good.yaml"), "--key", path("bad.key"), "--generation", "1"].concat(
				"--out",
				path("signed.json")
			),
			/bad\.key: not an Ed25519/
		]
	]
	for (const [label, args, message] of refusals)
		it(`refuses ${label}`, async () => {
			const result = await runTool(args, [], "")
			expectCode(result, ExitCode.usage)
			expect(result.stderr).to.match(message)
		})

	it("creates a key file that only its owner can read, and never overwrites one", async () => {
		const key = path("new.key")
		const made = await runTool(["key", "generate", "--out", key, "--json"], [], "")
		expectCode(made, ExitCode.ok)
		expect(statSync(key).mode & 0o777).to.equal(0o600)
		const before = readFileSync(key, "utf8")
		expectCode(await runTool(["key", "generate", "--out", key], [], ""), ExitCode.usage)
		expect(readFileSync(key, "utf8")).to.equal(before)
	})

	it("reports that no host answers", async () => {
		const result = await runTool(["zone", "status"], ["http://127.0.0.1:1"], "")
		expectCode(result, ExitCode.unreachable)
	})
})

describe("the tool with hosts in two zones", () => {
	const path = createFolder({
		"bundle.yaml": stringify(createBundleContent({zones: ZONES})),
		"read.yaml": stringify({kind: "call", service: "address-read", repeatable: true}),
		"full.yaml": stringify({
			service: "parcel-sort",
			shape: {members: 1, accelerators: 8},
			payload: JSON.stringify({runMs: 120000})
		})
	})
	let cluster: Cluster
	let key: string

	function runAs(token: string, ...args: string[]): Promise<ToolResult> {
		const hosts = [...cluster.daemons.values()].map(({url}) => url)
		return runTool(args, hosts, token)
	}
	const runAsOperator = (...args: string[]) => runAs(OPERATOR_TOKEN, ...args)
	const runAsCaller = (...args: string[]) => runAs(CALLER_TOKEN, ...args)

	async function readJson<T>(token: string, ...args: string[]): Promise<T> {
		const result = await runAs(token, ...args, "--json")
		expectCode(result, ExitCode.ok)
		return JSON.parse(result.stdout) as T
	}

	async function readHistory(): Promise<readonly SignedBundle[]> {
		const {bundles} = await readJson<{bundles: SignedBundle[]}>(OPERATOR_TOKEN, "bundle", "history")
		return bundles
	}

	async function readZones(): Promise<BundleContent["zones"]> {
		const [current] = await readHistory()
		return current?.content.zones ?? []
	}

	async function sign(out: string, ...args: string[]): Promise<string> {
		const file = path(out)
		const signing = ["bundle", "sign", path("bundle.yaml"), "--key", key, "--out", file, ...args]
		expectCode(await runAsOperator(...signing), ExitCode.ok)
		return file
	}

	before(async () => {
		cluster = await createCluster({zones: ZONES, daemonsPerZone: 1, workersPerZone: 1})
		key = cluster.writeSigningKey()
		expectCode(await runAsOperator("bundle", "rollout", await sign("first.json")), ExitCode.ok)
		await waitFor("the first read completes", async () => {
			const read = await runAsCaller("job", "submit", path("read.yaml"), "--key", "first", "--wait")
			return read.code === ExitCode.ok
		})
	})

	after(async () => {
		await cluster.stopAll()
	})

	it("accepts one of two racing roll-outs and refuses the other with a conflict", async () => {
		const files = [await sign("one.json", "--note", "one"), await sign("two.json", "--note", "two")]
		const before = (await readHistory()).length
		const results = await Promise.all(files.map(file => runAsOperator("bundle", "rollout", file)))
		const codes = results.map(({code}) => code).sort()
		expect(codes).to.deep.equal([ExitCode.ok, ExitCode.conflict])
		expect(results.find(({code}) => code === ExitCode.conflict)?.stderr).to.match(
			/generation-conflict/
		)
		expect(await readHistory()).to.have.length(before + 1)
	})

	it("takes zones out and in, also while operators race with --retry", async () => {
		const out = ZONES.map(zone => runAsOperator("zone", "out", zone, "--key", key, "--retry"))
		for (const result of await Promise.all(out)) expectCode(result, ExitCode.ok)
		expect((await readZones()).map(({inService}) => inService)).to.deep.equal([false, false])
		expectCode(await runAsOperator("zone", "out", "zone-a", "--key", key), ExitCode.usage)
		for (const zone of ZONES)
			expectCode(await runAsOperator("zone", "in", zone, "--key", key), ExitCode.ok)
		const status = await runAsOperator("zone", "status")
		expect(status.stdout).to.match(/zone-a +region-zone-a +in +zone-a-host-1 +1/)
		expect(status.stdout).to.match(/zone-b +region-zone-b +in +zone-b-host-1 +1/)
	})

	it("names the existing zones when asked for an unknown one", async () => {
		const result = await runAsOperator("zone", "out", "zone-z", "--key", key)
		expectCode(result, ExitCode.usage)
		expect(result.stderr).to.match(/expected one of zone-a\|zone-b/)
	})

	it("rolls back to an earlier content as a new generation", async () => {
		const before = await readHistory()
		expectCode(await runAsOperator("bundle", "rollback", "1", "--key", key), ExitCode.ok)
		const [current] = await readHistory()
		expect(current?.generation).to.equal((before[0]?.generation ?? 0) + 1)
		expect(current?.content).to.deep.equal(before.at(-1)?.content)
		expectCode(await runAsOperator("bundle", "rollback", "9999", "--key", key), ExitCode.usage)
		expect((await runAsOperator("bundle", "status")).stdout).to.match(
			/zone-b +zone-b-host-1 +\d+ +\d+/
		)
	})

	it("refuses a bundle signed with a key the hosts do not know, and changes nothing", async () => {
		const other = path("other.key")
		expectCode(await runAsOperator("key", "generate", "--out", other), ExitCode.ok)
		const before = await readHistory()
		const result = await runAsOperator("zone", "out", "zone-a", "--key", other)
		expectCode(result, ExitCode.refused)
		expect(result.stderr).to.match(/bad-signature/)
		expect(await readHistory()).to.deep.equal(before)
	})

	it("lists a caller's jobs of every zone at every host", async () => {
		for (const [at, {url}] of [...cluster.daemons.values()].entries()) {
			const args = ["job", "submit", path("read.yaml"), "--key", `read-${at}`, "--wait"]
			expectCode(await runTool(args, [url], CALLER_TOKEN), ExitCode.ok)
		}
		for (const {url} of cluster.daemons.values()) {
			const list = await runTool(["job", "list", "--json"], [url], CALLER_TOKEN)
			const {jobs} = JSON.parse(list.stdout) as {jobs: JobView[]}
			expect(jobs.map(job => job.key)).to.include.members(["first", "read-0", "read-1"])
			const zones = new Set(jobs.map(({zone}) => zone))
			expect([...zones].sort()).to.deep.equal(ZONES)
		}
	})

	it("cancels a queued job, which ends as not run and with the exit code for it", async () => {
		const submit = (serial: string) =>
			readJson<JobView>(CALLER_TOKEN, "job", "submit", path("full.yaml"), "--key", serial)
		const blockers: JobView[] = []
		for (const {url} of cluster.daemons.values()) {
			const args = ["job", "submit", path("full.yaml"), "--key", url, "--json"]
			const accepted = await runTool(args, [url], CALLER_TOKEN)
			blockers.push(JSON.parse(accepted.stdout) as JobView)
		}
		await waitFor("both workers are full", async () => {
			const {workers} = await readJson<ClusterView>(OPERATOR_TOKEN, "worker", "list")
			return workers.length === ZONES.length && workers.every(({inUse}) => inUse === 8)
		})
		const {id} = await submit("queued")
		expectCode(await runAsCaller("job", "cancel", id), ExitCode.ok)
		const waited = await runAsCaller("job", "wait", id, "--json")
		expectCode(waited, ExitCode.notCompleted)
		expect((JSON.parse(waited.stdout) as JobView).outcome?.kind).to.equal(OutcomeKind.notRun)
		expect((await runAsCaller("job", "show", id)).stdout).to.match(/not-run \(cancelled\)/)
		for (const blocker of blockers)
			expectCode(await runAsCaller("job", "cancel", blocker.id), ExitCode.ok)
	})

	it("refuses the same key with another job as a conflict", async () => {
		const result = await runAsCaller("job", "submit", path("full.yaml"), "--key", "first")
		expectCode(result, ExitCode.conflict)
	})

	it("shows workers, endpoints and hosts", async () => {
		const workers = await runAsOperator("worker", "list")
		expect(workers.stdout).to.match(/zone-a-worker-1 +zone-a +8/)
		expect(workers.stdout).to.match(/zone-b-endpoint-1 +zone-b +8/)
		const hosts = await runAsOperator("host", "list")
		expect(hosts.stdout).to.match(/zone-a-host-1 +daemon +zone-a/)
		expect(hosts.stdout).to.match(/zone-b-worker-1 +worker +zone-b/)
	})

	it("is refused without the right token", async () => {
		expectCode(await runAs("wrong", "bundle", "history"), ExitCode.refused)
		expectCode(await runAsCaller("bundle", "history"), ExitCode.refused)
		expectCode(await runAsOperator("job", "list"), ExitCode.refused)
	})

	it("reports a change as in force in an unreachable zone once all earlier permits have expired", async () => {
		const silent = cluster.daemons.get("zone-b-host-1")!
		await cluster.launcher.stop(silent, "SIGKILL")
		cluster.daemons.delete("zone-b-host-1")
		const result = await runAsOperator("zone", "out", "zone-b", "--key", key)
		expectCode(result, ExitCode.ok)
		expect(result.stdout).to.match(/zone-b: in force: all earlier permits have expired/)
		expect(result.stdout).to.match(/zone-a: in force \(adopted by 1 of 1 hosts\)/)
	})
})
