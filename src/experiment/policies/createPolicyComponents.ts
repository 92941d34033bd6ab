/*
 * Puts a policy together. All of them have the product's scheduler, so that they differ by routing alone.
 */
import { assertNever } from "../../errors";
import { createPlacement, Placement } from "../../routing";
import { Clock, createRandomSource } from "../../runtime";
import { createPrefixIndex, createRequestScheduler, PrefixIndex, RequestScheduler } from "../../sidecar";
import { createHashPlacement } from "./createHashPlacement";
import { createLeastLoadedPlacement } from "./createLeastLoadedPlacement";
import { createOraclePlacement } from "./createOraclePlacement";
import { createRoundRobinPlacement } from "./createRoundRobinPlacement";
import { FleetGroundTruth } from "./FleetGroundTruth";
import { PolicyComponents } from "./PolicyComponents";
import { PolicyName } from "./PolicyName";

const maximumRunning = 32;
const maximumQueued = 1_024;

interface PolicyOptions {
    clock: Clock;
    seed: number;
    groundTruth: FleetGroundTruth;
    blockTokens: number;
    prefillTokensPerSecond: number;
}

/** Creates the parts of a policy. */
export function createPolicyComponents(policy: PolicyName, options: PolicyOptions): PolicyComponents {
    const { clock, blockTokens, prefillTokensPerSecond, groundTruth } = options;
    const leastLoaded = createLeastLoadedPlacement(groundTruth);
    const oracle = createOraclePlacement(groundTruth, blockTokens);
    let entryCount = 0;
    return {
        createPlacement: createEntryPlacement,
        mayRedirect: policy === PolicyName.Prefix,
        createScheduler,
        createIndex: () => createPrefixIndex(),
    };

    function createEntryPlacement(): Placement {
        entryCount += 1;
        switch (policy) {
            case PolicyName.Prefix:
                return createPlacement({ clock, random: createRandomSource(options.seed + entryCount) });
            case PolicyName.LeastLoaded:
                return leastLoaded;
            case PolicyName.RoundRobin:
                return createRoundRobinPlacement();
            case PolicyName.Hash:
                return createHashPlacement();
            case PolicyName.Oracle:
                return oracle;
            default:
                return assertNever(policy);
        }
    }

    function createScheduler(prefixIndex: PrefixIndex | undefined): RequestScheduler {
        return createRequestScheduler({
            clock,
            prefixIndex,
            maximumRunning,
            maximumQueued,
            prefillTokensPerSecond,
            blockTokens,
        });
    }
}
