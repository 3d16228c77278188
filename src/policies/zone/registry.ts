/** The policies that a bundle can name; new ones are registered here. */
import {
	type PlacementPolicy,
	type QueuePolicy,
	type ZoneChoicePolicy,
	FairShareQueuePolicy,
	BestFitPlacementPolicy,
	FifoQueuePolicy,
	FirstFitPlacementPolicy,
	LoadAwareZoneChoicePolicy,
	LocalFirstZoneChoicePolicy,
	PriorityQueuePolicy
} from "../../internal.js"

export class PolicyRegistry<P extends {readonly name: string}> {
	readonly #policies = new Map<string, P>()
	readonly #fallback: P

	constructor(fallback: P, ...others: readonly P[]) {
		this.#fallback = fallback
		for (const policy of [fallback, ...others]) this.register(policy)
	}

	register(policy: P): void {
		this.#policies.set(policy.name, policy)
	}

	/** The policy of that name, or the registry's fallback if there is none. */
	find(name: string): P {
		return this.#policies.get(name) ?? this.#fallback
	}

	listNames(): string[] {
		return [...this.#policies.keys()]
	}
}

export interface Policies {
	readonly queue: PolicyRegistry<QueuePolicy>
	readonly placement: PolicyRegistry<PlacementPolicy>
	readonly zoneChoice: PolicyRegistry<ZoneChoicePolicy>
}

export function createPolicies(): Policies {
	return {
		queue: new PolicyRegistry<QueuePolicy>(
			new FifoQueuePolicy(),
			new PriorityQueuePolicy(),
			new FairShareQueuePolicy()
		),
		placement: new PolicyRegistry<PlacementPolicy>(
			new FirstFitPlacementPolicy(),
			new BestFitPlacementPolicy()
		),
		zoneChoice: new PolicyRegistry<ZoneChoicePolicy>(
			new LocalFirstZoneChoicePolicy(),
			new LoadAwareZoneChoicePolicy()
		)
	}
}
