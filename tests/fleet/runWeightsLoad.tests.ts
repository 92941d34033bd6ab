import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ConsensusRole, LogStatus } from "../../src/control/consensus";
import {
    createFleetTracker,
    createUnresponsiveEngines,
    runWeightsLoad,
    WeightsOrder,
    WeightsOrderOutcome,
} from "../../src/fleet";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { LoadedWeightsSchema } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("runWeightsLoad", () => {
    /**
     * Runs one load against an engine whose accepted orders take 800 ms.
     * @param responses - The responses to orders, in their order; further orders get a conflict.
     */
    function createFixture(responses: (WeightsOrderOutcome | "lostButAccepted" | "withheld")[]) {
        const clock = createManualClock();
        const fleetTracker = createFleetTracker(
            { getNamedWeights: () => [], getQuarantinedSubjects: () => [], addListener: () => () => undefined },
            clock,
            () => undefined,
        );
        const instance = createTestInstance();
        fleetTracker.reset(4n);
        fleetTracker.setInstances([instance]);
        const engine = {
            weightsVersion: 1,
            orderCount: 7,
            isBusy: false,
            failsReports: false,
            withholdsReports: false,
        };
        const unresponsiveEngines = createUnresponsiveEngines(clock, () => false);
        const orders: WeightsOrder[] = [];
        const status = { role: ConsensusRole.Leader, term: 4n } as LogStatus;
        const load = runWeightsLoad({ instance, model: "large", weightsVersion: 2 }, {
            documents: { getNamedWeights: () => [] },
            fleetTracker,
            engineClient: {
                readReport: (...[, signal]) => {
                    if (engine.withholdsReports) {
                        return new Promise(resolve => signal.addEventListener("abort", () => resolve(undefined)));
                    }
                    if (engine.failsReports) {
                        return Promise.resolve(undefined);
                    }
                    const weights = [
                        create(LoadedWeightsSchema, { model: "large", weightsVersion: engine.weightsVersion }),
                    ];
                    return Promise.resolve({ ...engine, weights });
                },
                orderWeights: (order, signal) => {
                    orders.push(order);
                    const response = responses[orders.length - 1] ?? { kind: "conflict" };
                    if (response === "withheld") {
                        return new Promise(resolve =>
                            signal.addEventListener("abort", () => resolve({ kind: "unknown", reason: "aborted" }))
                        );
                    }
                    if (response === "lostButAccepted" || response.kind === "accepted") {
                        startLoading();
                    }
                    return Promise.resolve(
                        response === "lostButAccepted" ? { kind: "unknown", reason: "no answer" } : response,
                    );
                },
            },
            log: { readBarrier: () => Promise.resolve({ kind: "passed", index: 1n }), getStatus: () => status },
            holder: "control-1",
            isReportedUnresponsive: () => false,
            handoverMilliseconds: 0,
            clock,
            logger: createSilentLogger(),
            metrics: createMetrics(),
            signal: new AbortController().signal,
        }, unresponsiveEngines);
        return { unresponsiveEngines, clock, fleetTracker, orders, load, engine, status };

        function startLoading() {
            engine.isBusy = true;
            engine.orderCount += 1;
            void clock.sleep(800).then(() => {
                engine.isBusy = false;
                engine.weightsVersion = 2;
            });
        }
    }

    const isLoading = (fixture: ReturnType<typeof createFixture>) => fixture.fleetTracker.getInstances()[0]!.isLoading;

    it("marks the engine as loading before the order, until it serves the version", async () => {
        const fixture = createFixture([{ kind: "accepted" }]);
        await fixture.clock.advance(50);
        expect([isLoading(fixture), fixture.orders.length]).to.deep.equal([true, 0]);
        await fixture.clock.advance(2_000);
        await fixture.load;
        expect([isLoading(fixture), fixture.orders.length]).to.deep.equal([false, 1]);
        expect(fixture.fleetTracker.getInstances()[0]!.weights[0]!.weightsVersion).to.equal(2);
    });

    it("sends the term as fencing token, and the order count by which the engine refuses a late order", async () => {
        const fixture = createFixture([{ kind: "accepted" }]);
        await fixture.clock.advance(3_000);
        const [order] = fixture.orders;
        expect([order!.fencingToken, order!.expectedOrderCount, order!.holder]).to.deep.equal([4n, 7, "control-1"]);
    });

    it("sends an order again with the same count if it got no response and was not accepted", async () => {
        const fixture = createFixture([{ kind: "unknown", reason: "no answer" }, { kind: "accepted" }]);
        await fixture.clock.advance(4_000);
        await fixture.load;
        expect(fixture.orders.map(order => order.expectedOrderCount)).to.deep.equal([7, 7]);
    });

    it("sends no second order if the first was accepted but its response was lost", async () => {
        const fixture = createFixture(["lostButAccepted"]);
        await fixture.clock.advance(4_000);
        await fixture.load;
        expect([fixture.orders.length, isLoading(fixture)]).to.deep.equal([1, false]);
    });

    it("sends no order once another process is the leader", async () => {
        const fixture = createFixture([{ kind: "accepted" }]);
        fixture.status.term = 5n;
        await fixture.clock.advance(4_000);
        await fixture.load;
        expect(fixture.orders).to.deep.equal([]);
    });

    it("abandons the load if reports fail, so that another engine can load", async () => {
        const fixture = createFixture([{ kind: "accepted" }]);
        fixture.engine.failsReports = true;
        await fixture.clock.advance(150);
        await fixture.load;
        expect([fixture.orders.length, isLoading(fixture), fixture.unresponsiveEngines.has("engine-1")])
            .to.deep.equal([0, false, true]);
    });

    it("marks the engine as leaving if another one responds at its address, and sends it no more orders", async () => {
        const fixture = createFixture([{ kind: "misdirected" }]);
        await fixture.clock.advance(4_000);
        await fixture.load;
        expect([fixture.orders.length, fixture.fleetTracker.getInstances()[0]!.isLeaving]).to.deep.equal([1, true]);
    });

    it("abandons the load if a report never arrives, so that another engine can load", async () => {
        const fixture = createFixture([{ kind: "accepted" }]);
        fixture.engine.withholdsReports = true;
        await fixture.clock.advance(700);
        expect([fixture.orders.length, isLoading(fixture)]).to.deep.equal([0, false]);
        await fixture.load;
    });

    it("abandons a load whose order gets no response, so that the engine is not excluded for good", async () => {
        const fixture = createFixture(["withheld", { kind: "accepted" }]);
        await fixture.clock.advance(1_500);
        expect(fixture.orders.length).to.equal(2);
        await fixture.clock.advance(3_000);
        await fixture.load;
        expect(isLoading(fixture)).to.equal(false);
    });

    it("abandons the load after its timeout, so that the engine can be chosen again", async () => {
        const fixture = createFixture([]);
        await fixture.clock.advance(8_000);
        await fixture.load;
        expect(isLoading(fixture)).to.equal(false);
    });
});
