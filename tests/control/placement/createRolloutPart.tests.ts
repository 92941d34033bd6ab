import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createRolloutPart, RolloutPart } from "../../../src/control/placement";
import { CommandSchema, OrderKind, QueryKind, RolloutState } from "../../../src/protocol";

type CommandContent = NonNullable<Parameters<typeof create<typeof CommandSchema>>[1]>["command"];

describe("createRolloutPart", () => {
    let part: RolloutPart;
    let index: bigint;

    beforeEach(() => {
        part = createRolloutPart();
        index = 0n;
    });

    /** Applies a command; returns why it was refused, or an empty string. */
    function apply(command: CommandContent): string {
        index += 1n;
        const context = { term: 1n, index, timeMilliseconds: Number(index) };
        const result = part.apply(create(CommandSchema, { command }), context);
        if (result?.case !== "rollout") {
            throw new Error("the command belongs to another part");
        }
        return result.value.accepted ? "" : result.value.reason;
    }

    function start(model: string, version: string, configurationRevision: bigint): string {
        return apply({ case: "rolloutStart", value: { model, version, configurationRevision, size: 4 } });
    }

    function open(model: string, sidecar: string, version = "v1", configurationRevision = 1n): string {
        const kind = OrderKind.LOAD_VERSION;
        const value = {
            model,
            version,
            companion: sidecar,
            companionIncarnation: "run-1",
            kind,
            configurationRevision,
        };
        return apply({ case: "rolloutStep", value });
    }

    function end(sidecar: string, content: { succeeded?: boolean; lost?: boolean; observed?: boolean; }): string {
        const number = part.getOpenSteps().find(step => step.companion === sidecar)?.number;
        return apply({
            case: "rolloutStep",
            value: { ...content, companion: sidecar, number, ended: true, reason: "why" },
        });
    }

    /** Lets the canary of a model pass. */
    function passCanary(model: string): void {
        open(model, `${model}-canary`);
        end(`${model}-canary`, { succeeded: true, observed: true });
    }

    function setState(model: string, state: RolloutState): string {
        return apply({ case: "rolloutControl", value: { model, state, author: "anne" } });
    }

    describe("refuses to open", () => {
        function doTest(expected: string, ...opened: readonly [string, string, string?, bigint?][]): void {
            const outcomes = opened.map(step => open(...step));
            expect(outcomes.at(-1)).to.equal(expected);
            expect(outcomes.slice(0, -1).every(outcome => outcome === "")).to.equal(true);
        }

        beforeEach(() => {
            start("large", "v1", 1n);
            start("small", "v1", 1n);
        });

        it("a second step before the canary has passed", () =>
            doTest("the canary has not passed", ["large", "large-0"], ["large", "large-1"]));
        it("a third concurrent load over all models", () => {
            passCanary("large");
            passCanary("small");
            const problem = "as many loads as the weight store takes are open";
            doTest(problem, ["large", "large-0"], ["small", "small-0"], ["small", "small-1"]);
        });
        it("a second step for a sidecar", () => {
            passCanary("large");
            doTest("the companion has an open step", ["large", "large-0"], ["large", "large-0"]);
        });
        it("a step of another target", () => doTest("the step belongs to another target", ["large", "a", "v1", 2n]));
        it("a step of another version", () => doTest("the step is for another version", ["large", "a", "v0"]));
        it("a step of an unknown model", () => doTest("the step belongs to another target", ["tiny", "a"]));
        it("a step while paused", () => {
            setState("large", RolloutState.PAUSED);
            doTest("the rollout takes no steps", ["large", "large-0"]);
        });
    });

    describe("targets", () => {
        it("are never replaced by an older revision", () => {
            start("large", "v2", 5n);
            expect(start("large", "v1", 4n)).to.equal("a newer target is in place");
            expect(part.getRollout("large")!.version).to.equal("v2");
        });

        it("are rolled back by a newer revision", () => {
            start("large", "v2", 5n);
            expect(start("large", "v1", 6n)).to.equal("");
            expect(part.getRollout("large")!.version).to.equal("v1");
        });

        it("keep a rollout paused when they change", () => {
            start("large", "v1", 1n);
            setState("large", RolloutState.PAUSED);
            start("large", "v2", 2n);
            expect(part.getRollout("large")!.state).to.equal(RolloutState.PAUSED);
        });

        it("restart a failed rollout when they change", () => {
            start("large", "v1", 1n);
            open("large", "large-0");
            end("large-0", {});
            expect(part.getRollout("large")!.state).to.equal(RolloutState.FAILED);
            start("large", "v2", 2n);
            expect(part.getRollout("large")!.state).to.equal(RolloutState.RUNNING);
        });
    });

    describe("failures", () => {
        function doTest(ends: readonly { succeeded?: boolean; lost?: boolean; }[], expected: RolloutState): void {
            start("large", "v1", 1n);
            passCanary("large");
            ends.forEach((content, number) => {
                open("large", `large-${number}`);
                end(`large-${number}`, content);
            });
            expect(part.getRollout("large")!.state).to.equal(expected);
        }

        it("fail the rollout at the third consecutive one", () => doTest([{}, {}, {}], RolloutState.FAILED));
        it("are not counted over a success", () => doTest([{}, {}, { succeeded: true }, {}, {}], RolloutState.RUNNING));
        it("are not counted where a sidecar was lost", () =>
            doTest([{ lost: true }, { lost: true }, { lost: true }], RolloutState.RUNNING));
    });

    it("observes the canary without counting it as a load", () => {
        start("large", "v1", 1n);
        start("small", "v1", 1n);
        open("large", "large-0");
        end("large-0", { succeeded: true });
        expect(part.getOpenSteps()[0]!.isObserved).to.equal(true);
        passCanary("small");
        expect(open("small", "small-0")).to.equal("");
        expect(open("small", "small-1")).to.equal("");
    });

    it("ends a step once", () => {
        start("large", "v1", 1n);
        open("large", "large-0");
        expect(end("large-0", { lost: true })).to.equal("");
        expect(end("large-0", { lost: true })).to.equal("the step is not open");
    });

    it("restores a snapshot", () => {
        start("large", "v1", 1n);
        passCanary("large");
        open("large", "large-0");
        const other = createRolloutPart();
        other.restoreSnapshot(part.takeSnapshot());
        expect(other.getRollouts()).to.deep.equal(part.getRollouts());
        expect(other.getOpenSteps()).to.deep.equal(part.getOpenSteps());
        expect(other.getEvents()).to.deep.equal(part.getEvents());
        expect(other.query(QueryKind.ORDERS, "large-0")).to.deep.equal(part.query(QueryKind.ORDERS, "large-0"));
    });
});
