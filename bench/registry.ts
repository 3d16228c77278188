/** All benches; each is selected by its name. */
import {type Bench} from "./bench.js"
import {BundleSpreadBench} from "./bundle-spread.js"
import {CompletionBench} from "./completion.js"
import {FragmentationBench} from "./fragmentation.js"
import {HostCostBench} from "./host-cost.js"
import {PlacementScaleBench} from "./placement-scale.js"
import {ReclaimBench} from "./reclaim.js"
import {RecoveryBench} from "./recovery.js"
import {SiteOutageBench} from "./site-outage.js"
import {ZoneChangeBench} from "./zone-change.js"

export const BENCHES: readonly Bench[] = [
	new PlacementScaleBench(),
	new CompletionBench(),
	new ZoneChangeBench(),
	new FragmentationBench(),
	new ReclaimBench(),
	new HostCostBench(),
	new RecoveryBench(),
	new BundleSpreadBench(),
	new SiteOutageBench()
]
