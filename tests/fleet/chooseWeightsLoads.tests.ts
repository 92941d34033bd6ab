import { expect } from "chai";
import { chooseWeightsLoads } from "../../src/fleet";
import { FleetInstance } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";

describe("chooseWeightsLoads", () => {
    function createEngines(count: number, changes: Partial<Pick<FleetInstance, "isLeaving" | "weights">> = {}) {
        return Array.from(
            { length: count },
            (...[, index]) => createTestInstance({ instanceId: `engine-${index}`, ...changes }),
        );
    }

    const noUnresponsiveEngines = { has: () => false };

    function doTest(engines: readonly FleetInstance[], weightsVersion: number, expected: readonly string[]) {
        const targets = [{ model: "large", weightsVersion, timeMilliseconds: 0 }];
        expect(
            chooseWeightsLoads(engines, targets, noUnresponsiveEngines).map(load => load.instance.instanceId),
        ).to.deep.equal(expected);
    }

    it("chooses a quarter of the engines", () => doTest(createEngines(8), 2, ["engine-0", "engine-1"]));
    it("chooses at least one engine of a small service", () => doTest(createEngines(2), 2, ["engine-0"]));
    it("chooses no engine that already serves the version", () => doTest(createEngines(8), 1, []));
    it("counts engines that are already loading", () => {
        const [first, ...others] = createEngines(8);
        doTest([{ ...first!, isLoading: true }, ...others], 2, ["engine-1"]);
    });
    it("excludes leaving engines", () => doTest(createEngines(4, { isLeaving: true }), 2, []));
    it("chooses the engines with the oldest weights first", () => {
        const engines = createEngines(4, { weights: createTestInstance().weights });
        const old = createTestInstance({ instanceId: "old" });
        old.weights = [{ ...old.weights[0]!, weightsVersion: 0 }];
        doTest([...engines, old], 2, ["old", "engine-0"]);
    });
    it("chooses the newest of several named versions", () => {
        const targets = [2, 4, 3].map(weightsVersion => ({ model: "large", weightsVersion, timeMilliseconds: 0 }));
        expect(chooseWeightsLoads(createEngines(1), targets, noUnresponsiveEngines)[0]?.weightsVersion).to.equal(4);
    });
    it("excludes unresponsive engines", () => {
        const engines = createEngines(4);
        const targets = [{ model: "large", weightsVersion: 2, timeMilliseconds: 0 }];
        expect(
            chooseWeightsLoads(engines, targets, { has: instanceId => instanceId === "engine-0" })[0]?.instance
                .instanceId,
        )
            .to.equal("engine-1");
    });
    it("excludes engines of other models", () => {
        const other = createTestInstance({ instanceId: "other" });
        other.weights = [{ ...other.weights[0]!, model: "small" }];
        doTest([other], 2, []);
    });
});
