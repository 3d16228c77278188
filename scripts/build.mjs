// Bundles the daemon, the tool, and the stand-ins that tests and the demo start, into dist/. With the
// argument `platform`, bundles the daemon of the users' platform into target/ instead.
import {build} from "esbuild"

const REQUIRE_SHIM =
	"import {createRequire as __createRequire} from 'node:module'; const require = __createRequire(import.meta.url);"

const PLATFORM = "platform"

const ENTRY_POINTS = {
	dist: {
		cardamomhookd: "src/daemon.ts",
		cardamomhook: "src/cli/main.ts",
		"standin-platform": "standins/platform/main.ts",
		"standin-worker": "standins/worker/main.ts",
		"standin-endpoint": "standins/endpoint/main.ts",
		"standin-store": "standins/fleet/store-main.ts",
		"standin-fleet": "standins/fleet/workers-main.ts"
	},
	target: {"cardamomhook-platform": "platform/daemon.ts"}
}

const outdir = process.argv[2] === PLATFORM ? "target" : "dist"

await build({
	entryPoints: ENTRY_POINTS[outdir],
	outdir,
	outExtension: {".js": ".mjs"},
	bundle: true,
	platform: "node",
	target: "node20",
	format: "esm",
	minifySyntax: true,
	minifyWhitespace: true,
	banner: {js: REQUIRE_SHIM},
	logLevel: "warning"
})
