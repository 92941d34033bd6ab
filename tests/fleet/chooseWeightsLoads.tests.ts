import { expect } from "chai";
import { chooseWeightsLoads } from "../../src/fleet";
import { FleetInstance } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";

describe("chooseLoads", () => {
    function createEngines(count: number, changes: Partial<Pick<FleetInstance, "isLeaving" | "weights">> = {}) {
        return Array.from(
            { length: count },
            (...[, place]) => createTestInstance({ instanceId: `engine-${place}`, ...changes }),
        );
    }

    const none = { has: () => false };

    function doTest(engines: readonly FleetInstance[], weightsVersion: number, expected: readonly string[]) {
        const targets = [{ model: "large", weightsVersion, timeMilliseconds: 0 }];
        expect(
            chooseWeightsLoads(engines, targets, none).map(choice => choice.instance.instanceId),
        ).to.deep.equal(expected);
    }

    it("chooses a quarter of the engines", () => doTest(createEngines(8), 2, ["engine-0", "engine-1"]));
    it("chooses one of a few", () => doTest(createEngines(2), 2, ["engine-0"]));
    it("chooses none that serves the version", () => doTest(createEngines(8), 1, []));
    it("counts those that load already", () => {
        const [first, ...others] = createEngines(8);
        doTest([{ ...first!, isLoading: true }, ...others], 2, ["engine-1"]);
    });
    it("leaves out those that leave", () => doTest(createEngines(4, { isLeaving: true }), 2, []));
    it("begins with the oldest weights", () => {
        const engines = createEngines(4, { weights: createTestInstance().weights });
        const old = createTestInstance({ instanceId: "old" });
        old.weights = [{ ...old.weights[0]!, weightsVersion: 0 }];
        doTest([...engines, old], 2, ["old", "engine-0"]);
    });
    it("goes straight to the newest of several versions", () => {
        const targets = [2, 4, 3].map(weightsVersion => ({ model: "large", weightsVersion, timeMilliseconds: 0 }));
        expect(chooseWeightsLoads(createEngines(1), targets, none)[0]?.weightsVersion).to.equal(4);
    });
    it("goes round engines that don't answer", () => {
        const engines = createEngines(4);
        const targets = [{ model: "large", weightsVersion: 2, timeMilliseconds: 0 }];
        expect(
            chooseWeightsLoads(engines, targets, { has: instanceId => instanceId === "engine-0" })[0]?.instance
                .instanceId,
        )
            .to.equal("engine-1");
    });
    it("leaves engines of other models alone", () => {
        const other = createTestInstance({ instanceId: "other" });
        other.weights = [{ ...other.weights[0]!, model: "small" }];
        doTest([other], 2, []);
    });
});
