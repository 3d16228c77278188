/**
 * Keeps V8's young generation at its initial size. A burst of submissions would grow it to 32 MB, and V8 does not
 * shrink it while renewals continue. Imported first, because loading the other modules would also grow it.
 */
import {setFlagsFromString} from "node:v8"

setFlagsFromString("--semi-space-growth-factor=1")
