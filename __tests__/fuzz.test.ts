import {expect} from "chai"
import fc from "fast-check"
import {
	type SignedBundle,
	CardamomError,
	bundleContentSchema,
	checkSignedBundle,
	checkValue,
	decodeSignedBundle,
	jobSpecSchema,
	verifyBundle
} from "../src/internal.js"
import {
	callReportSchema,
	commitAnswerSchema,
	endpointStatusSchema,
	hostListSchema,
	tableRowsSchema,
	taskReportSchema,
	workerStatusSchema
} from "../src/adapters/schemas.js"
import {decodeSettings} from "../src/settings.js"

const SEED = 20261204
const RUNS = 1000
const PARAMETERS = {seed: SEED, numRuns: RUNS}

/** Any JSON value, or an object that may have some of the decoder's keys. */
function createJsonArbitrary(keys: readonly string[]): fc.Arbitrary<unknown> {
	const leaf = fc.oneof(fc.jsonValue(), fc.double(), fc.constantFrom(null, "", -1, 1e308, [], {}))
	return fc.oneof(leaf, fc.dictionary(fc.oneof(fc.constantFrom(...keys), fc.string()), leaf))
}

const DECODERS: readonly {
	readonly name: string
	readonly keys: readonly string[]
	readonly decode: (value: unknown) => {isOk(): boolean; isErr(): boolean}
}[] = [
	{
		name: "job",
		keys: ["service", "shape", "priority", "payload", "kind", "declaredRunMs"],
		decode: value => checkValue("job", jobSpecSchema, value)
	},
	{
		name: "bundle content",
		keys: ["workspaces", "zones", "policies"],
		decode: value => checkValue("bundle", bundleContentSchema, value)
	},
	{
		name: "signed bundle",
		keys: ["generation", "content", "keyId", "signature", "note"],
		decode: value => checkSignedBundle(value)
	},
	{
		name: "host list",
		keys: ["id", "role", "zone", "address"],
		decode: value => checkValue("hosts", hostListSchema, [value])
	},
	{
		name: "worker status",
		keys: ["workerId", "incarnation", "epoch", "tasks", "capacity"],
		decode: value => checkValue("worker", workerStatusSchema, value)
	},
	{
		name: "task report",
		keys: ["taskId", "jobId", "state", "started", "accelerators"],
		decode: value => checkValue("task", taskReportSchema, value)
	},
	{
		name: "endpoint status",
		keys: ["endpointId", "slots", "inUse", "leaving"],
		decode: value => checkValue("endpoint", endpointStatusSchema, value)
	},
	{
		name: "call report",
		keys: ["taskId", "state", "answer"],
		decode: value => checkValue("call", callReportSchema, value)
	},
	{
		name: "commit answer",
		keys: ["committed", "versions", "conflicts"],
		decode: value => checkValue("commit", commitAnswerSchema, value)
	},
	{
		name: "table rows",
		keys: ["key", "version", "value"],
		decode: value => checkValue("rows", tableRowsSchema, [value])
	}
]

describe("fuzz: every input from outside gives a value or a typed error", () => {
	for (const {name, keys, decode} of DECODERS) {
		it(`decodes any ${name}`, () => {
			fc.assert(
				fc.property(createJsonArbitrary(keys), value => {
					const result = decode(value)
					expect(result.isOk()).to.equal(!result.isErr())
				}),
				PARAMETERS
			)
		})
	}

	it("decodes any text as a signed bundle or settings", () => {
		fc.assert(
			fc.property(fc.oneof(fc.string(), fc.json()), text => {
				for (const result of [decodeSignedBundle(text), decodeSettings(text)])
					if (result.isErr()) expect(result.error).to.be.instanceOf(CardamomError)
			}),
			PARAMETERS
		)
	})

	it("never verifies a bundle with a made-up signature or key", () => {
		fc.assert(
			fc.property(fc.string(), fc.string(), fc.base64String(), (keyId, key, signature) => {
				const content = bundleContentSchema.parse({
					workspaces: [],
					zones: [{name: "zone-a", region: "region-a"}]
				})
				const bundle: SignedBundle = {generation: 1, content, keyId, signature, note: ""}
				expect(verifyBundle(bundle, {[keyId]: key})).to.equal(false)
			}),
			PARAMETERS
		)
	})
})
