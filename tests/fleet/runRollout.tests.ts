import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ConsensusRole, LogStatus } from "../../src/control/consensus";
import { createFleetTracker, runRollout } from "../../src/fleet";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { LoadedWeightsSchema } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("runRollout", () => {
    /** Rolls out weights to eight engines, two of which entry processes report as unresponsive; returns how long it takes. */
    async function getRolloutMilliseconds(): Promise<number> {
        const clock = createManualClock();
        const namedWeights = [{ model: "large", weightsVersion: 2, timeMilliseconds: 0 }];
        const documents = {
            getNamedWeights: () => namedWeights,
            getQuarantinedSubjects: () => [],
            addListener: () => () => undefined,
        };
        const fleetTracker = createFleetTracker(documents, clock, () => undefined);
        const ids = Array.from({ length: 8 }, (...[, index]) => `engine-${index}`);
        const darkIds = new Set(ids.slice(0, 2));
        const versions = new Map(ids.map(id => [id, 1]));
        const orderCounts = new Map(ids.map(id => [id, 0]));
        fleetTracker.reset(1n);
        fleetTracker.setInstances(ids.map(instanceId => createTestInstance({ instanceId })));
        void runRollout({
            documents,
            fleetTracker,
            engineClient: {
                readReport: ({ instanceId }, signal) =>
                    darkIds.has(instanceId)
                        ? new Promise(resolve => signal.addEventListener("abort", () => resolve(undefined)))
                        : Promise.resolve({
                            orderCount: orderCounts.get(instanceId)!,
                            isBusy: orderCounts.get(instanceId)! > versions.get(instanceId)! - 1,
                            weights: [
                                create(LoadedWeightsSchema, {
                                    model: "large",
                                    weightsVersion: versions.get(instanceId)!,
                                }),
                            ],
                        }),
                orderWeights: ({ instance: { instanceId } }) => {
                    orderCounts.set(instanceId, orderCounts.get(instanceId)! + 1);
                    void clock.sleep(1_300).then(() => versions.set(instanceId, 2));
                    return Promise.resolve({ kind: "accepted" });
                },
            },
            log: {
                readBarrier: () => Promise.resolve({ kind: "passed", index: 1n }),
                getStatus: () => ({ role: ConsensusRole.Leader, term: 1n }) as LogStatus,
            },
            isReportedUnresponsive: id => darkIds.has(id),
            holder: "control-1",
            handoverMilliseconds: 0,
            clock,
            logger: createSilentLogger(),
            metrics: createMetrics(),
            signal: new AbortController().signal,
        });
        while ([...versions.values()].filter(version => version === 2).length < 6) {
            await clock.advance(50);
        }
        return clock.getMonotonicMilliseconds();
    }

    it("loads a quarter of the engines at a time, also while others are reported as unresponsive", async () => {
        expect(await getRolloutMilliseconds()).to.be.at.most(3 * 1_700);
    });
});
