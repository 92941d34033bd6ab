/*
 * Creates the components of a policy. All policies use the product's scheduler, so that they differ only in routing.
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
    /** The clock of placements and schedulers. */
    clock: Clock;
    /** The seed of the placements' random choices. */
    seed: number;
    /** The actual state of all engines. */
    groundTruth: FleetGroundTruth;
    /** The number of tokens in a block. */
    blockTokens: number;
    /** The prefill rate of each engine, in tokens per second. */
    prefillTokensPerSecond: number;
}

/**
 * Creates the components of a policy.
 * @param policy - The policy.
 * @param options - The state and the figures from which the components are created.
 */
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
