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
        it("sends commands that are executed within a short time in one message", async () => {
            expect(await execute(changeCommand, claimCommand, claimCommand)).to.deep.equal([
                "committed",
                "committed",
                "committed",
            ]);
            expect(calls.length).to.equal(1);
        });

        it("calls the leader that a response named", async () => {
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

        it("retries a claim that was not sent", () => doTest(claimCommand, refusedConnection, "committed", 2));
        it("retries a claim that was certainly not committed", () =>
            doTest(claimCommand, respond(ExecuteOutcome.NO_LEADER)({} as ExecuteRequest), "committed", 2));
        it("does not retry a rollout step whose response was lost", () =>
            doTest(stepCommand, lostResponse, "unknown", 1));
        it("retries a claim whose response was lost, because the state detects a repeated request id", () =>
            doTest(claimCommand, lostResponse, "committed", 2));
        it("retries a configuration change whose response was lost", () =>
            doTest(changeCommand, lostResponse, "committed", 2));

        it("reports that a claim was not committed if no leader is found", async () => {
            respondToExecute = respond(ExecuteOutcome.NO_LEADER);
            expect(await execute(claimCommand)).to.deep.equal(["notCommitted"]);
        });

        it("reports an unknown outcome if no leader is found after a lost response", async () => {
            respondToExecute = (request, count) =>
                count === 1 ? lostResponse : respond(ExecuteOutcome.NO_LEADER)(request);
            expect(await execute(changeCommand)).to.deep.equal(["unknown"]);
        });

        it("reports the outcome of each command of a message", async () => {
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

        it("reports an unknown outcome if the caller stops waiting after the command was sent", async () => {
            const callerController = new AbortController();
            const result = client.execute(claimCommand, callerController.signal);
            await time.advance(5);
            callerController.abort();
            expect((await result).kind).to.equal("unknown");
        });

        it("does not retry a command whose caller stopped waiting between two attempts", async () => {
            const callerController = new AbortController();
            respondToExecute = respond(ExecuteOutcome.NO_LEADER);
            const result = client.execute(claimCommand, callerController.signal);
            await time.advance(12);
            callerController.abort();
            respondToExecute = respond(ExecuteOutcome.COMMITTED);
            await time.advance(1_000);
            expect((await result).kind).to.equal("notCommitted");
            expect(calls.length).to.equal(1);
        });

        it("reports that a command was not committed if the caller stops waiting before it was sent", async () => {
            const callerController = new AbortController();
            const result = client.execute(claimCommand, callerController.signal);
            callerController.abort();
            await time.advance(100);
            expect((await result).kind).to.equal("notCommitted");
            expect(calls.length).to.equal(0);
        });
    });

    describe("query", () => {
        it("returns the decoded value of the response", async () => {
            const result = await client.query(QueryKind.STATUS, "", true);
            expect(result).to.deep.equal({ kind: "answered", index: 0n, value: { a: 1 } });
        });
    });
});
