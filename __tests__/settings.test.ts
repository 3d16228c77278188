import {readdirSync} from "node:fs"
import {fileURLToPath} from "node:url"
import {expect} from "chai"
import {parse, stringify} from "yaml"
import {DEFAULT_LIMITS, checkValue, jobSpecSchema} from "../src/internal.js"
import {loadBundleContent, loadYaml} from "../src/cli/files.js"
import {decodeSettings, loadSettings} from "../src/settings.js"

const EXAMPLES = fileURLToPath(new URL("../examples/", import.meta.url))

function createSettings(change: Readonly<Record<string, unknown>> = {}): string {
	const settings = loadSettings(`${EXAMPLES}settings/nairobi-a-1.yaml`)._unsafeUnwrap()
	return stringify({...settings, ...change})
}

describe("settings", () => {
	it("are read with their defaults", () => {
		const values = parse(createSettings()) as Record<string, unknown>
		delete values.logLevel
		const settings = decodeSettings(stringify(values))._unsafeUnwrap()
		expect(settings.logLevel).to.equal("info")
	})

	it("take the default for a limit without a value", () => {
		const text = createSettings({limits: {descriptors: 8192, memoryMb: null}})
		expect(decodeSettings(text)._unsafeUnwrap().limits).to.deep.equal({
			...DEFAULT_LIMITS,
			descriptors: 8192
		})
	})

	it("take the default for the time to restore a checkpoint without a value", () => {
		const domain = {
			name: "fleet",
			readinessAddress: "127.0.0.1:1",
			metricsAddress: "127.0.0.1:2",
			revokeMs: 5000,
			stopMs: 200,
			stateKeptMs: 180000,
			restoreMs: null,
			remoteFactor: 3
		}
		expect(decodeSettings(createSettings({domain}))._unsafeUnwrap().domain?.restoreMs).to.equal(0)
	})

	const faults: readonly [string, Readonly<Record<string, unknown>>, RegExp][] = [
		["a name", {hostId: "Host 1"}, /hostId: expected 1 to 63 lower-case/],
		["an address", {callerAddress: {host: "x", port: 1}}, /callerAddress\.host: expected an IPv4/],
		["a port", {peerAddress: {host: "::1", port: 70000}}, /peerAddress\.port: .*0 to 65535/],
		["a level", {logLevel: "loud"}, /logLevel: .*"trace"\|"debug"\|"info"/],
		["a key", {bundleKeys: {main: "abcd"}}, /bundleKeys\.main: expected an Ed25519 public key/],
		["a secret", {peerSecrets: ["short"]}, /peerSecrets\.0: expected at least 16/],
		["no secret", {peerSecrets: []}, /peerSecrets: expected at least one/],
		["a URL", {platformUrl: "10.0.0.1"}, /platformUrl: expected an http/],
		["a hash", {operators: {me: "token"}}, /operators\.me: expected a SHA-256/],
		["a limit", {limits: {descriptors: 10}}, /limits\.descriptors: .*>=256/],
		["an unknown field", {hostid: "a"}, /Unrecognized key: "hostid"/]
	]
	for (const [subject, change, message] of faults)
		it(`are refused with the path and the allowed values: ${subject}`, () => {
			expect(decodeSettings(createSettings(change))._unsafeUnwrapErr().message).to.match(message)
		})

	it("are refused if the file is missing, with its name, or is not YAML", () => {
		expect(loadSettings("/none.yaml")._unsafeUnwrapErr().message).to.match(/none\.yaml.*ENOENT/)
		expect(decodeSettings("a: [")._unsafeUnwrapErr().message).to.match(/malformed settings/)
	})
})

describe("examples", () => {
	for (const name of readdirSync(`${EXAMPLES}settings`))
		it(`settings/${name} is valid`, () => {
			expect(loadSettings(`${EXAMPLES}settings/${name}`).isOk()).to.equal(true)
		})

	for (const name of ["posta.yaml", "authority.yaml"])
		it(`${name} is a valid bundle of four workspaces and three zones`, () => {
			const content = loadBundleContent(`${EXAMPLES}${name}`)._unsafeUnwrap()
			expect(content.workspaces).to.have.length(4)
			expect(content.zones).to.have.length(3)
		})

	for (const name of readdirSync(`${EXAMPLES}jobs`))
		it(`jobs/${name} is a valid job`, () => {
			const job = loadYaml("job", `${EXAMPLES}jobs/${name}`)._unsafeUnwrap()
			expect(checkValue("job", jobSpecSchema, job).isOk()).to.equal(true)
		})
})
