import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createEventsPart } from "../../src/control";
import { OperatorServer, startOperatorServer } from "../../src/control/operators";
import { createSilentLogger } from "../../src/logging";
import { CommandSchema, QueryKind } from "../../src/protocol";
import { createRandomSource, createSystemClock } from "../../src/runtime";
import { createKeyDigest } from "../../src/security";
import { createTestControl, TestControl } from "../control/placement/createTestControl";
import { CommandResult, runTestCommand } from "./runTestCommand";

describe("rollout commands", () => {
    const clock = createSystemClock();
    let control: TestControl;
    let server: OperatorServer;

    beforeEach(async () => {
        control = createTestControl(clock, createRandomSource(1), () => ({ loss: 0, delayMilliseconds: 0 }));
        const client = control.createClient(() => false);
        const events = createEventsPart([control.part]);
        const tokenDigest = createKeyDigest("old-token");
        const nextTokenDigest = createKeyDigest("new-token");
        server = await startOperatorServer({
            listener: { address: "127.0.0.1", port: 0 },
            operators: [{ name: "anne", tokenDigest, nextTokenDigest, role: "change" }],
            client: {
                execute: client.execute,
                query: async (kind, argument, isLinearizable) =>
                    kind === QueryKind.EVENTS
                        ? { kind: "answered", index: 1n, value: events.query(kind, argument) }
                        : client.query(kind, argument, isLinearizable),
            },
            operations: { waitInForce: async () => ({ kind: "inForce" }) },
            clock,
            logger: createSilentLogger(),
        });
        const value = { model: "large", version: "v2", configurationRevision: 3n, size: 8 };
        await client.execute(create(CommandSchema, { command: { case: "rolloutStart", value } }));
    });
    afterEach(() => server.stop());

    function run(commandLine: readonly string[], token = "old-token"): Promise<CommandResult> {
        const connection = { BASILWING_OPERATOR_ADDRESS: server.address, BASILWING_OPERATOR_TOKEN: token };
        return runTestCommand(commandLine, connection);
    }

    /** Gets the table cells of the model's line. */
    function getCells({ output }: CommandResult): readonly string[] {
        return output.split("\n").find(line => line.includes("large"))!.split(/ {2,}/);
    }

    it("show, pause and resume a rollout", async () => {
        expect(getCells(await run(["rollout", "status"])).slice(0, 3)).to.deep.equal(["large", "v2", "running"]);
        expect((await run(["rollout", "pause", "large"])).output).to.equal("large: paused\n");
        const paused = getCells(await run(["rollout", "status", "large"]));
        expect(paused.slice(2, 4)).to.deep.equal(["paused", "anne"]);
        expect((await run(["rollout", "resume", "large"])).output).to.equal("large: resumed\n");
        expect(getCells(await run(["rollout", "status"]))[2]).to.equal("running");
    });

    it("refuse a model without a rollout", async () => {
        expect((await run(["rollout", "status", "small"])).exitCode).to.equal(2);
        const { exitCode, errors } = await run(["rollout", "pause", "small"]);
        expect({ exitCode, errors }).to.deep.equal({ exitCode: 2, errors: "small: the model has no rollout\n" });
    });

    it("show the events of a rollout", async () => {
        await run(["rollout", "pause", "large"]);
        const { output } = await run(["events", "--hours", "1"]);
        expect(output).to.match(/rolloutStarted +large +version v2 is wanted at 8 backend servers, as of revision 3/);
        expect(output).to.match(/rolloutPaused +large +paused by anne/);
    });

    describe("accept both tokens during a token rotation", () => {
        async function doTest(token: string, isAccepted: boolean): Promise<void> {
            const { exitCode } = await run(["rollout", "status"], token);
            expect(exitCode === 0).to.equal(isAccepted);
        }

        it("the old token", () => doTest("old-token", true));
        it("the new token", () => doTest("new-token", true));
        it("no other token", () => doTest("other-token", false));
    });
});
