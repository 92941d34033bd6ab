import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { CallOutcome, ControlClient, createControlClient, ExecuteResult } from "../../src/control";
import {
    Command,
    CommandResultSchema,
    CommandSchema,
    ExecuteOutcome,
    ExecuteRequest,
    ExecuteResponse,
    ExecuteResponseSchema,
    QueryKind,
    QueryResponseSchema,
} from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createVirtualTime, VirtualTime } from "../membership/createVirtualTime";

describe("createControlClient", () => {
    const changeCommand = create(CommandSchema, { command: { case: "configuration", value: { changeId: "x" } } });
    const claimCommand = create(CommandSchema, { command: { case: "openClaim", value: {} } });
    const stepCommand = create(CommandSchema, { command: { case: "rolloutStep", value: {} } });
    const lostResponse: CallOutcome<ExecuteResponse> = { kind: "unknown", reason: "lost" };
    const refusedConnection: CallOutcome<ExecuteResponse> = { kind: "notSent", reason: "refused" };
    let time: VirtualTime;
    let calls: { address: string; request: ExecuteRequest; }[];
    let respondToExecute: (request: ExecuteRequest, count: number) => CallOutcome<ExecuteResponse>;
    let client: ControlClient;

    beforeEach(() => {
        time = createVirtualTime();
        calls = [];
        respondToExecute = respond(ExecuteOutcome.COMMITTED);
        const clock = time.createClock();
        client = createControlClient({
            members: ["m0", "m1"],
            clock,
            random: createRandomSource(1),
            peers: {
                execute: async (address, request) => {
                    calls.push({ address, request });
                    await clock.sleep(10);
                    return respondToExecute(request, calls.length);
                },
                query: async () => ({
                    kind: "answered",
                    response: create(QueryResponseSchema, {
                        outcome: ExecuteOutcome.COMMITTED,
                        json: new TextEncoder().encode("{\"a\":1}"),
                    }),
                }),
            },
        });
    });

    function respond(outcome: ExecuteOutcome, leaderAddress = "") {
        return (request: ExecuteRequest): CallOutcome<ExecuteResponse> => ({
            kind: "answered",
            response: create(ExecuteResponseSchema, {
                outcome,
                leaderAddress,
                results: outcome === ExecuteOutcome.COMMITTED
                    ? request.commands.map(() => create(CommandResultSchema))
                    : [],
            }),
        });
    }

    async function execute(...commands: Command[]): Promise<ExecuteResult["kind"][]> {
        const results: ExecuteResult["kind"][] = [];
        commands.forEach((command, position) =>
            void client.execute(command).then(result => results[position] = result.kind)
        );
        while (results.filter(Boolean).length < commands.length) {
            await time.advance(100);
        }
        return results;
    }

    describe("execute", () => {
        it("sends commands executed close together in one message", async () => {
            expect(await execute(changeCommand, claimCommand, claimCommand)).to.deep.equal([
                "committed",
                "committed",
                "committed",
            ]);
            expect(calls.length).to.equal(1);
        });

        it("turns to the leader that was named", async () => {
            respondToExecute = respond(ExecuteOutcome.COMMITTED, "m9");
            await execute(claimCommand);
            await execute(claimCommand);
            expect(calls.at(-1)!.address).to.equal("m9");
        });

        async function doTest(
            command: Command,
            first: CallOutcome<ExecuteResponse>,
            expected: string,
            callCount: number,
        ) {
            respondToExecute = (request, count) => count === 1 ? first : respond(ExecuteOutcome.COMMITTED)(request);
            expect(await execute(command)).to.deep.equal([expected]);
            expect(calls.length).to.equal(callCount);
        }

        it("sends a claim again that never left", () => doTest(claimCommand, refusedConnection, "committed", 2));
        it("sends a claim again that is certain not to be committed", () =>
            doTest(claimCommand, respond(ExecuteOutcome.NO_LEADER)({} as ExecuteRequest), "committed", 2));
        it("sends no step again whose answer was lost", () => doTest(stepCommand, lostResponse, "unknown", 1));
        it("sends a claim again whose answer was lost, since its request is known again", () =>
            doTest(claimCommand, lostResponse, "committed", 2));
        it("sends a change again whose answer was lost", () => doTest(changeCommand, lostResponse, "committed", 2));

        it("says that a claim was not committed, where no leader is found", async () => {
            respondToExecute = respond(ExecuteOutcome.NO_LEADER);
            expect(await execute(claimCommand)).to.deep.equal(["notCommitted"]);
        });

        it("does not say so of a change that was sent and lost before", async () => {
            respondToExecute = (request, count) =>
                count === 1 ? lostResponse : respond(ExecuteOutcome.NO_LEADER)(request);
            expect(await execute(changeCommand)).to.deep.equal(["unknown"]);
        });

        it("knows the outcome of each command of a message", async () => {
            respondToExecute = () => ({
                kind: "answered",
                response: create(ExecuteResponseSchema, {
                    outcome: ExecuteOutcome.UNKNOWN,
                    outcomes: [ExecuteOutcome.COMMITTED, ExecuteOutcome.UNKNOWN],
                    results: [create(CommandResultSchema), create(CommandResultSchema)],
                }),
            });
            expect(await execute(stepCommand, stepCommand)).to.deep.equal(["committed", "unknown"]);
        });

        it("says unknown when the caller gives up on a command that was sent", async () => {
            const caller = new AbortController();
            const result = client.execute(claimCommand, caller.signal);
            await time.advance(5);
            caller.abort();
            expect((await result).kind).to.equal("unknown");
        });

        it("sends nothing again that was given up between two sendings", async () => {
            const caller = new AbortController();
            respondToExecute = respond(ExecuteOutcome.NO_LEADER);
            const result = client.execute(claimCommand, caller.signal);
            await time.advance(12);
            caller.abort();
            respondToExecute = respond(ExecuteOutcome.COMMITTED);
            await time.advance(1_000);
            expect((await result).kind).to.equal("notCommitted");
            expect(calls.length).to.equal(1);
        });

        it("says not committed when the caller gives up before it was sent", async () => {
            const caller = new AbortController();
            const result = client.execute(claimCommand, caller.signal);
            caller.abort();
            await time.advance(100);
            expect((await result).kind).to.equal("notCommitted");
            expect(calls.length).to.equal(0);
        });
    });

    describe("query", () => {
        it("gives the answer's value", async () => {
            const result = await client.query(QueryKind.STATUS, "", true);
            expect(result).to.deep.equal({ kind: "answered", index: 0n, value: { a: 1 } });
        });
    });
});
