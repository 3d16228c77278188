/** Checks a bundle beyond the shape of its fields: names must be known or unique. */
import {err, ok, type Result} from "neverthrow"
import {type BundleContent, type Policies, MalformedError} from "../../internal.js"

/** Checks a bundle for contradictions; the error names every invalid path. */
export function checkBundleContent(
	content: BundleContent,
	policies: Policies
): Result<BundleContent, MalformedError> {
	const faults = [
		...findRepeated("workspaces", content.workspaces),
		...findRepeated("zones", content.zones),
		...findUnknownZones(content),
		...findSharedTokens(content),
		...findUnknownPolicies(content, policies)
	]
	return faults.length === 0 ? ok(content) : err(new MalformedError("bundle", faults.join("; ")))
}

function findRepeated(path: string, items: readonly {readonly name: string}[]): string[] {
	const seen = new Set<string>()
	const faults: string[] = []
	for (const [index, {name}] of items.entries()) {
		if (seen.has(name)) faults.push(`${path}.${index}.name: "${name}" occurs more than once`)
		seen.add(name)
	}
	return faults
}

function findUnknownZones({workspaces, zones}: BundleContent): string[] {
	const known = zones.map(({name}) => name)
	return workspaces.flatMap(({guarantees}, at) =>
		guarantees.flatMap(({zone}, index) =>
			known.includes(zone)
				? []
				: [`workspaces.${at}.guarantees.${index}.zone: expected one of ${known.join("|")}`]
		)
	)
}

/** A token identifies one caller of one workspace, so a hash that is listed twice is ambiguous. */
function findSharedTokens({workspaces}: BundleContent): string[] {
	const owners = new Map<string, string>()
	const faults: string[] = []
	for (const [at, {name, callers}] of workspaces.entries())
		for (const [caller, hash] of Object.entries(callers)) {
			const owner = owners.get(hash)
			const path = `workspaces.${at}.callers.${caller}`
			if (owner !== undefined) faults.push(`${path}: has the same token as ${owner}`)
			owners.set(hash, `${name}/${caller}`)
		}
	return faults
}

function findUnknownPolicies({policies}: BundleContent, known: Policies): string[] {
	const faults: string[] = []
	for (const kind of ["queue", "placement", "zoneChoice"] as const) {
		const names = known[kind].listNames()
		if (!names.includes(policies[kind]))
			faults.push(`policies.${kind}: expected one of ${names.join("|")}`)
	}
	return faults
}
