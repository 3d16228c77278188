/** Runs the command-line tool as a process. */
import {execFile} from "node:child_process"
import {fileURLToPath} from "node:url"

const TOOL = fileURLToPath(new URL("../dist/cardamomhook.mjs", import.meta.url))

export interface ToolResult {
	readonly code: number
	readonly stdout: string
	readonly stderr: string
}

/** Runs the tool until it exits, with the hosts and the token in its environment. */
export function runTool(
	args: readonly string[],
	hosts: readonly string[],
	token: string
): Promise<ToolResult> {
	const env = {
		...process.env,
		CARDAMOMHOOK_HOSTS: hosts.join(","),
		CARDAMOMHOOK_TOKEN: token
	}
	return new Promise(resolve => {
		const child = execFile(process.execPath, [TOOL, ...args], {env}, (_, stdout, stderr) => {
			resolve({code: child.exitCode ?? -1, stdout, stderr})
		})
	})
}
