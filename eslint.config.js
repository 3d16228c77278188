import eslint from "@eslint/js"
import tseslint from "typescript-eslint"

// The layering of docs/DESIGN.md: decision modules import no adapter, wire type or socket library.
const ADAPTER_LIBRARIES = [
	"undici",
	"hono",
	"hono/*",
	"@hono/*",
	"@connectrpc/*",
	"@bufbuild/*",
	"node:http",
	"node:http2",
	"node:net",
	"pino",
	"prom-client"
]
const OUTER_MODULES = [
	"**/adapters/**",
	"**/gen/**",
	"**/standins/**",
	"**/cli/**",
	"**/daemon*",
	"**/platform/**"
]

/** Folders of decisions that are no controllers. */
const DECISION_FOLDERS = [
	"core",
	"headroom",
	"intake",
	"losses",
	"placement",
	"policies",
	"run-times",
	"shares",
	"types",
	"utils"
]

function forbidImports(...patterns) {
	return {"no-restricted-imports": ["error", {patterns}]}
}

export default tseslint.config(
	{
		ignores: [
			"scripts/build.mjs",
			"dist/",
			"target/",
			"src/gen/",
			"node_modules/",
			"bench-results/",
			"eslint.config.js"
		]
	},
	eslint.configs.recommended,
	...tseslint.configs.strictTypeChecked,
	...tseslint.configs.stylisticTypeChecked,
	{
		languageOptions: {parserOptions: {projectService: true, tsconfigRootDir: import.meta.dirname}},
		rules: {
			"@typescript-eslint/restrict-template-expressions": ["error", {allowNumber: true}],
			"no-console": "error"
		}
	},
	{
		files: ["src/controllers/**/*.ts"],
		rules: forbidImports({
			group: [...ADAPTER_LIBRARIES, ...OUTER_MODULES],
			message: "Controllers may use only the board, not adapters or socket libraries."
		})
	},
	{
		files: DECISION_FOLDERS.map(folder => `src/${folder}/**/*.ts`),
		rules: forbidImports(
			{
				group: [...ADAPTER_LIBRARIES, ...OUTER_MODULES],
				message: "Decision modules must not import adapters or socket libraries."
			},
			{
				group: ["**/internal.js"],
				importNamePattern: "[a-z]Controller$",
				message: "Only wiring modules may import controllers."
			}
		)
	},
	{
		files: ["src/adapters/**/*.ts"],
		rules: forbidImports(
			{
				group: ["**/standins/**", "**/cli/**", "**/daemon*", "**/platform/**"],
				message:
					"Adapters must not import stand-ins, the command-line tool, the daemon or platform/."
			},
			{
				group: ["**/internal.js"],
				importNamePattern: "(Controller|Policy)$",
				message: "Adapters must not import controllers or policies."
			}
		)
	},
	{
		files: ["platform/**/*.ts"],
		rules: forbidImports({
			group: ["**/internal.js"],
			importNamePattern: "[a-z](Controller|Policy|Placement)$",
			message: "platform/ must not import controllers or policies; it only translates."
		})
	},
	{
		files: ["src/cli/**/*.ts", "bench/**/*.ts", "scripts/**/*.ts", "standins/**/*.ts"],
		rules: {"no-console": "off"}
	},
	{
		files: ["__tests__/**/*.ts"],
		rules: {
			"@typescript-eslint/no-unused-expressions": "off",
			"@typescript-eslint/no-non-null-assertion": "off"
		}
	}
)
