import eslint from "@eslint/js"
import tseslint from "typescript-eslint"

// The layering arrows of docs/DESIGN.md: decisions never load an adapter, a wire type or a socket library.
const WIRE = [
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
const OUTER = [
	"**/adapters/**",
	"**/gen/**",
	"**/standins/**",
	"**/cli/**",
	"**/daemon*",
	"../../platform/**"
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
			group: [...WIRE, ...OUTER],
			message: "Controllers decide from the board alone."
		})
	},
	{
		files: ["src/core/**/*.ts", "src/policies/**/*.ts", "src/types/**/*.ts", "src/utils/**/*.ts"],
		rules: forbidImports(
			{group: [...WIRE, ...OUTER], message: "Decisions never load an adapter."},
			{
				group: ["**/internal.js"],
				importNamePattern: "[a-z]Controller$",
				message: "Only wiring names a controller."
			}
		)
	},
	{
		files: ["src/adapters/**/*.ts"],
		rules: forbidImports(
			{
				group: ["**/standins/**", "**/cli/**", "**/daemon*", "../../platform/**"],
				message: "Adapters only translate."
			},
			{
				group: ["**/internal.js"],
				importNamePattern: "(Controller|Policy)$",
				message: "Adapters never decide."
			}
		)
	},
	{
		files: ["platform/**/*.ts"],
		rules: forbidImports({
			group: ["**/internal.js"],
			importNamePattern: "[a-z](Controller|Policy|Placement)$",
			message: "The platform's folder translates and decides nothing."
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
