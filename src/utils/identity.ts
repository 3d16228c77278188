import {timingSafeEqual} from "node:crypto"
import {type Board, type Identity, hashText} from "../internal.js"

/**
 * Identifies the bearer of a token. Only hashes of tokens are stored: callers' in the bundle, operators' in the
 * settings.
 */
export function findIdentity(board: Board, token: string): Identity | undefined {
	if (token === "") return undefined
	const hash = hashText(token)
	for (const [caller, known] of Object.entries(board.settings.operators))
		if (isSameHash(hash, known)) return {workspace: "", caller, operator: true}
	const content = board.bundle.get("current")?.bundle.content
	for (const {name, callers} of content?.workspaces ?? [])
		for (const [caller, known] of Object.entries(callers))
			if (isSameHash(hash, known)) return {workspace: name, caller, operator: false}
	return undefined
}

function isSameHash(a: string, b: string): boolean {
	return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b))
}
