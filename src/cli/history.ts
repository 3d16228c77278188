/** Reads the current and earlier generations from the platform's table, through a host. */
import {err, ok, type Result} from "neverthrow"
import {type SignedBundle, MalformedError} from "../internal.js"
import {type ApiClient, type ApiError} from "./client.js"

export interface HistoryAnswer {
	readonly bundles: readonly SignedBundle[]
}

/** The current generation in the table, even if the asked host has not adopted it yet. */
export async function getCurrentBundle(
	client: ApiClient
): Promise<Result<SignedBundle | undefined, ApiError>> {
	const path = "/v1/bundle/history?limit=1"
	const answer = await client.call<HistoryAnswer>({method: "GET", path})
	return answer.map(({bundles}) => bundles[0])
}

export async function getGeneration(
	client: ApiClient,
	generation: number
): Promise<Result<SignedBundle, ApiError | MalformedError>> {
	const path = `/v1/bundle/history?newest=${generation}&limit=1`
	const answer = await client.call<HistoryAnswer>({method: "GET", path})
	return answer.andThen(({bundles: [bundle]}) =>
		bundle === undefined
			? err(new MalformedError(`generation ${generation}`, "no such generation"))
			: ok(bundle)
	)
}
