import {RETRY_BASE_MS, RETRY_MAX_MS, hashText} from "../internal.js"

/** Exponential backoff with full jitter, derived from `seed` so that a run is reproducible. */
export function computeRetryDelay(attempt: number, seed: string): number {
	const ceiling = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** attempt)
	return ceiling * computeFraction(`${seed}:${attempt}`)
}

/** A number from 0 up to 1 that depends only on `seed` and is spread evenly over seeds. */
export function computeFraction(seed: string): number {
	return parseInt(hashText(seed).slice(0, 8), 16) / 0x100000000
}
