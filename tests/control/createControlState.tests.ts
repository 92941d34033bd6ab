import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createControlState, StateMachinePart } from "../../src/control";
import { createConfigurationPart } from "../../src/control/configuration";
import { Command, CommandResult, CommandResultSchema, CommandSchema, QueryKind } from "../../src/protocol";
import { createTestCommand } from "./configuration/createTestCommand";

describe("createControlState", () => {
    const context = { term: 3n, index: 9n, timeMilliseconds: 0 };
    const configurationChange = {
        changeId: "c",
        expectedRevision: 0n,
        operations: [{ level: "/a", setting: "", value: {} }],
    };

    /** Creates a part that counts opened claims, as a second part of the state. */
    function createClaimCounter(name = "claims"): StateMachinePart {
        let count = 0;
        return {
            name,
            apply: command => {
                if (command.command.case !== "openClaim") {
                    return undefined;
                }
                count++;
                return { case: "claim", value: create(CommandResultSchema, {}) as never };
            },
            query: kind => kind === QueryKind.CLAIMS ? count : undefined,
            takeSnapshot: () => Uint8Array.of(count),
            restoreSnapshot: snapshot => count = snapshot[0]!,
        };
    }

    function createState(): ReturnType<typeof createControlState> {
        return createControlState([createConfigurationPart(), createClaimCounter()]);
    }

    function apply(state: ReturnType<typeof createControlState>, command: Command): CommandResult {
        return fromBinary(CommandResultSchema, state.apply(toBinary(CommandSchema, command), context));
    }

    const claimCommand = create(CommandSchema, { command: { case: "openClaim", value: {} } });

    describe("apply", () => {
        it("applies a command to the part that handles it and returns the log position", () => {
            const result = apply(createState(), createTestCommand(configurationChange));
            expect(result.result.case).to.equal("configuration");
            expect([result.number?.term, result.number?.index]).to.deep.equal([3n, 9n]);
        });

        function doTest(bytes: Uint8Array): void {
            const result = fromBinary(CommandResultSchema, createState().apply(bytes, context));
            expect(result.result.case).to.equal(undefined);
            expect(result.number?.index).to.equal(9n);
        }

        it("returns no result for a command that no part handles", () => {
            const command = create(CommandSchema, { command: { case: "rolloutStep", value: {} } });
            doTest(toBinary(CommandSchema, command));
        });
        it("returns no result for an empty command", () => doTest(new Uint8Array()));
        it("returns no result for bytes that can't be decoded as a command", () => doTest(Uint8Array.of(255, 1, 2)));
    });

    describe("query", () => {
        it("returns the value of the part that handles the query", () => {
            const state = createState();
            apply(state, claimCommand);
            expect(state.query(QueryKind.CLAIMS, "")).to.equal(1);
        });
        it("returns undefined if no part handles the query", () =>
            expect(createState().query(QueryKind.EVENTS, "")).to.equal(undefined));
    });

    describe("snapshots", () => {
        function createUsedState(): ReturnType<typeof createControlState> {
            const state = createState();
            apply(state, createTestCommand(configurationChange));
            apply(state, claimCommand);
            return state;
        }

        it("contain the state of every part", () => {
            const state = createState();
            state.restoreSnapshot(createUsedState().takeSnapshot());
            expect(state.query(QueryKind.CLAIMS, "")).to.equal(1);
            expect(state.query(QueryKind.CONFIGURATION, "/a")).to.deep.include({ revision: 1, exists: true });
        });

        it("reset a part that they don't contain to its initial state", () => {
            const state = createUsedState();
            state.restoreSnapshot(createControlState([createConfigurationPart()]).takeSnapshot());
            expect(state.query(QueryKind.CLAIMS, "")).to.equal(0);
        });

        it("retain the state of parts that this version doesn't have", () => {
            const olderVersionState = createControlState([createConfigurationPart()]);
            olderVersionState.restoreSnapshot(createUsedState().takeSnapshot());
            const newerVersionState = createState();
            newerVersionState.restoreSnapshot(olderVersionState.takeSnapshot());
            expect(newerVersionState.query(QueryKind.CLAIMS, "")).to.equal(1);
        });

        function doTest(corrupt: (snapshot: Uint8Array) => Uint8Array): void {
            const state = createUsedState();
            const snapshot = corrupt(state.takeSnapshot());
            expect(() => state.restoreSnapshot(snapshot)).to.throw(/snapshot/);
            expect(state.query(QueryKind.CLAIMS, "")).to.equal(1);
        }

        it("are rejected if they are truncated", () => doTest(snapshot => snapshot.subarray(0, snapshot.length - 1)));
        it("are rejected if the format is unknown", () => doTest(snapshot => snapshot.map(byte => byte ^ 1)));
        it("are rejected if they are empty", () => doTest(() => new Uint8Array()));
    });
});
