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
import { LoadedWeightsSchema } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("runLoad", () => {
    /** Runs one load against an engine that answers orders as told; an accepted order is done after 800 ms. */
    function createTrial(answers: (WeightsOrderOutcome | "lostButAccepted")[]) {
        const clock = createManualClock();
        const board = createFleetTracker(
            { getNamedWeights: () => [], addListener: () => () => undefined },
            clock,
            () => undefined,
        );
        const instance = createTestInstance();
        board.reset(4n);
        board.setInstances([instance]);
        const engine = { weightsVersion: 1, orderCount: 7, isBusy: false, isDark: false, isMute: false };
        const silentEngines = createUnresponsiveEngines(clock);
        const orders: WeightsOrder[] = [];
        const status = { role: ConsensusRole.Leader, term: 4n } as LogStatus;
        const load = runWeightsLoad({ instance, model: "large", weightsVersion: 2 }, {
            documents: { getNamedWeights: () => [] },
            fleetTracker: board,
            engineClient: {
                readReport: () => {
                    if (engine.isMute) {
                        return new Promise(() => undefined);
                    }
                    if (engine.isDark) {
                        return Promise.resolve(undefined);
                    }
                    const weights = [
                        create(LoadedWeightsSchema, { model: "large", weightsVersion: engine.weightsVersion }),
                    ];
                    return Promise.resolve({ ...engine, weights });
                },
                orderWeights: order => {
                    orders.push(order);
                    const answer = answers[orders.length - 1] ?? { kind: "conflict" };
                    if (answer === "lostButAccepted" || answer.kind === "accepted") {
                        start();
                    }
                    return Promise.resolve(
                        answer === "lostButAccepted" ? { kind: "unknown", reason: "no answer" } : answer,
                    );
                },
            },
            log: { readBarrier: () => Promise.resolve({ kind: "passed", index: 1n }), getStatus: () => status },
            holder: "control-1",
            handoverMilliseconds: 0,
            clock,
            logger: createSilentLogger(),
            signal: new AbortController().signal,
        }, silentEngines);
        return { silentEngines, clock, board, orders, load, engine, status };

        function start() {
            engine.isBusy = true;
            engine.orderCount += 1;
            void clock.sleep(800).then(() => {
                engine.isBusy = false;
                engine.weightsVersion = 2;
            });
        }
    }

    const isLoading = (trial: ReturnType<typeof createTrial>) => trial.board.getInstances()[0]!.isLoading;

    it("takes the engine out of placement before the order, and back with the version", async () => {
        const trial = createTrial([{ kind: "accepted" }]);
        await trial.clock.advance(50);
        expect([isLoading(trial), trial.orders.length]).to.deep.equal([true, 0]);
        await trial.clock.advance(2_000);
        await trial.load;
        expect([isLoading(trial), trial.orders.length]).to.deep.equal([false, 1]);
        expect(trial.board.getInstances()[0]!.weights[0]!.weightsVersion).to.equal(2);
    });

    it("names term and order count, so that a late order is void", async () => {
        const trial = createTrial([{ kind: "accepted" }]);
        await trial.clock.advance(3_000);
        const [order] = trial.orders;
        expect([order!.fencingToken, order!.expectedOrderCount, order!.holder]).to.deep.equal([4n, 7, "control-1"]);
    });

    it("gives an unanswered order again under the same count where it was not taken", async () => {
        const trial = createTrial([{ kind: "unknown", reason: "no answer" }, { kind: "accepted" }]);
        await trial.clock.advance(4_000);
        await trial.load;
        expect(trial.orders.map(order => order.expectedOrderCount)).to.deep.equal([7, 7]);
    });

    it("gives no second order where the first was taken though its answer was lost", async () => {
        const trial = createTrial(["lostButAccepted"]);
        await trial.clock.advance(4_000);
        await trial.load;
        expect([trial.orders.length, isLoading(trial)]).to.deep.equal([1, false]);
    });

    it("gives no order once another process leads", async () => {
        const trial = createTrial([{ kind: "accepted" }]);
        trial.status.term = 5n;
        await trial.clock.advance(4_000);
        await trial.load;
        expect(trial.orders).to.deep.equal([]);
    });

    it("gives an engine up that does not answer, for its place in the rollout", async () => {
        const trial = createTrial([{ kind: "accepted" }]);
        trial.engine.isDark = true;
        await trial.clock.advance(150);
        await trial.load;
        expect([trial.orders.length, isLoading(trial), trial.silentEngines.has("engine-1")])
            .to.deep.equal([0, false, true]);
    });

    it("takes an engine for gone whose address answers for another one, and orders nothing more there", async () => {
        const trial = createTrial([{ kind: "misdirected" }]);
        await trial.clock.advance(4_000);
        await trial.load;
        expect([trial.orders.length, trial.board.getInstances()[0]!.isLeaving]).to.deep.equal([1, true]);
    });

    it("gives an engine up whose report never comes, for its place in the rollout", async () => {
        const trial = createTrial([{ kind: "accepted" }]);
        trial.engine.isMute = true;
        await trial.clock.advance(700);
        expect([trial.orders.length, isLoading(trial)]).to.deep.equal([0, false]);
        await trial.load;
    });

    it("gives up after a time, so that the engine is chosen again", async () => {
        const trial = createTrial([]);
        await trial.clock.advance(8_000);
        await trial.load;
        expect(isLoading(trial)).to.equal(false);
    });
});
