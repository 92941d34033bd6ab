import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { AddressInfo, createServer, Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ExitCode } from "../../src/commands";
import { OperatorServer } from "../../src/control/operators";
import { createTestControl, TestControl } from "../control/operators/createTestControl";
import { CommandResult, runTestCommand } from "./runTestCommand";

describe("config commands", () => {
    let control: TestControl;
    let server: OperatorServer;
    let folder: string;

    beforeEach(async () => {
        control = createTestControl();
        server = await control.startServer();
        folder = await mkdtemp(join(tmpdir(), "basilwing-commands-"));
    });
    afterEach(async () => {
        await server.stop();
        await rm(folder, { recursive: true });
    });

    function run(commandLine: readonly string[], environment: Record<string, string> = {}): Promise<CommandResult> {
        const connection = { BASILWING_OPERATOR_ADDRESS: server.address, BASILWING_OPERATOR_TOKEN: "change-token" };
        return runTestCommand(commandLine, { ...connection, ...environment });
    }

    async function writeJson(value: unknown): Promise<string> {
        const path = join(folder, "file.json");
        await writeFile(path, JSON.stringify(value));
        return path;
    }

    it("set, show and unset values", async () => {
        const set = await run(["config", "set", "/regie", "priority", "deferred", "limits.requestsPerSecond", "5"]);
        expect(set).to.deep.equal({ exitCode: ExitCode.Success, output: "accepted as revision 1\n", errors: "" });
        expect((await run(["config", "get", "/regie", "limits.requestsPerSecond"])).output).to.equal("5\n");
        const shown = await run(["config", "get", "/regie/counter/anne"]);
        expect(shown.exitCode).to.equal(ExitCode.Invalid);
        await run(["config", "set", "/regie/counter/anne", "shareWeight", "2"]);
        expect(
            (await run(["config", "get", "/regie/counter/anne"])).output.split("\n").map(line =>
                line.replace(/ +/g, " ")
            ),
        ).to.deep.equal([
            "/regie/counter/anne at revision 2",
            "setting value from",
            "limits.requestsPerSecond 5 /regie",
            "priority \"deferred\" /regie",
            "shareWeight 2 /regie/counter/anne",
            "",
        ]);
        expect((await run(["config", "unset", "/regie", "priority"])).exitCode).to.equal(ExitCode.Success);
        expect((await run(["config", "get", "/regie", "priority"])).exitCode).to.equal(ExitCode.Invalid);
    });

    it("remove the levels below a level only with --below", async () => {
        await run(["config", "set", "/regie/counter/anne", "shareWeight", "2"]);
        const refused = await run(["config", "unset", "/regie"]);
        expect(refused.exitCode).to.equal(ExitCode.Invalid);
        expect(refused.errors).to.contain("/regie/counter");
        expect((await run(["config", "unset", "/regie", "--below"])).exitCode).to.equal(ExitCode.Success);
        expect(Object.keys(control.part.getSnapshot().levels)).to.deep.equal(["/"]);
    });

    it("apply a file after showing the differences, and print the configuration as the same file", async () => {
        const file = {
            settings: { shareWeight: 2 },
            workspaces: { regie: { teams: { counter: { subscribers: { anne: {} } } } } },
        };
        const path = await writeJson(file);
        const refused = await run(["config", "apply", path]);
        expect([refused.exitCode, control.part.getRevision()]).to.deep.equal([ExitCode.Failure, 0n]);
        expect(refused.output).to.contain("+ / shareWeight = 2\n+ /regie = {}\n");
        const applied = await run(["config", "apply", path, "--yes"]);
        expect(applied.exitCode).to.equal(ExitCode.Success);
        expect(JSON.parse((await run(["config", "get", "--file"])).output)).to.deep.equal(file);
        expect((await run(["config", "apply", path, "--yes"])).output).to.equal("nothing to change at revision 1\n");
        expect((await run(["config", "diff", path])).output).to.equal("");
        const subtree = await writeJson({ settings: { priority: "deferred" } });
        expect((await run(["config", "diff", subtree, "--level", "/regie"])).output).to.equal(
            "+ /regie priority = \"deferred\"\n- /regie/counter = {}\n- /regie/counter/anne = {}\n",
        );
    });

    it("show the history, the differences between revisions, and the status", async () => {
        await run(["config", "set", "/a", "shareWeight", "1"]);
        await run(["config", "set", "/a", "shareWeight", "2"]);
        const history = await run(["config", "history", "--limit", "1"]);
        expect(history.output).to.match(
            /^revision 2 {2}1970-01-01T00:00:01.000Z {2}carl {2}\S+\n {2}- \/a shareWeight = 1\n {2}\+ \/a shareWeight = 2\n$/,
        );
        expect((await run(["config", "diff", "--from", "2", "--to", "1"])).output).to.equal(
            "- /a shareWeight = 2\n+ /a shareWeight = 1\n",
        );
        expect((await run(["config", "diff", "--from", "9"])).exitCode).to.equal(ExitCode.Invalid);
        expect((await run(["config", "status"])).output).to.contain("entry-1");
    });

    describe("exit codes", () => {
        async function doTest(
            commandLine: readonly string[],
            expected: ExitCode,
            environment?: Record<string, string>,
        ): Promise<CommandResult> {
            const result = await run(commandLine, environment);
            expect(result.exitCode).to.equal(expected);
            expect(result.errors).to.not.contain("    at ");
            return result;
        }
        const set = ["config", "set", "/a", "shareWeight", "1"];

        it("report a conflict", async () => {
            await run(set);
            const result = await doTest([...set, "--revision", "0"], ExitCode.Conflict);
            expect(result.errors).to.equal(
                "conflict; the revision is 1\n  revision 1 by carl changed /a\n  /a: shareWeight: now 1\n",
            );
        });
        it("report an invalid value", () => doTest(["config", "set", "/a", "shareWeight", "none"], ExitCode.Invalid));
        it("report an invalid file", async () => {
            const path = await writeJson({ workspace: {} });
            const result = await doTest(["config", "apply", path, "--yes"], ExitCode.Invalid);
            expect(result.errors).to.contain("did you mean \"workspaces\"?");
        });
        it("report a missing value", () =>
            doTest(["config", "set", "/a", "shareWeight", "1", "priority"], ExitCode.Invalid));
        it("report a missing token", () => doTest(set, ExitCode.Invalid, { BASILWING_OPERATOR_TOKEN: "" }));
        it("report a wrong token", () => doTest(set, ExitCode.Failure, { BASILWING_OPERATOR_TOKEN: "wrong" }));
        it("report a change by an operator with read access", () =>
            doTest(set, ExitCode.Failure, { BASILWING_OPERATOR_TOKEN: "read-token" }));
        it("refuse a plain HTTP address of another machine", () =>
            doTest(set, ExitCode.Invalid, { BASILWING_OPERATOR_ADDRESS: "10.0.0.1:1" }));
        it("report a change that is not yet in force", async () => {
            control.reports.push({ kind: "pending", waitingFor: ["entry-1"] });
            const result = await doTest([...set, "--wait", "--wait-seconds", "0"], ExitCode.Pending);
            expect(result.errors).to.equal(
                "revision 1 is accepted, but not known to be in force: waiting for entry-1\n",
            );
        });
        it("report a change that is in force", async () => {
            expect((await doTest([...set, "--wait"], ExitCode.Success)).output).to.contain(
                "revision 1 is in force everywhere",
            );
        });
    });

    it("make a change once when its response is lost", async () => {
        control.failures.push("lostAnswer", "noLeader", "lostCommand");
        const result = await run(["config", "set", "/a", "shareWeight", "1", "--revision", "0"]);
        expect(result).to.deep.equal({ exitCode: ExitCode.Success, output: "accepted as revision 1\n", errors: "" });
        expect(control.part.getRevision()).to.equal(1n);
        expect(control.commands).to.have.length(2);
    });

    describe("addresses", () => {
        let resettingServer: Server;
        let resettingAddress: string;
        beforeEach(async () => {
            resettingServer = createServer(socket => socket.once("data", () => socket.destroy()));
            await new Promise<void>(resolve => resettingServer.listen(0, "127.0.0.1", resolve));
            resettingAddress = `127.0.0.1:${(resettingServer.address() as AddressInfo).port}`;
        });
        afterEach(() => new Promise(resolve => resettingServer.close(resolve)));

        it("are tried in order", async () => {
            const result = await run([
                "config",
                "set",
                "/a",
                "shareWeight",
                "1",
                "--address",
                resettingAddress,
                "--address",
                server.address,
            ]);
            expect([result.exitCode, control.part.getRevision()]).to.deep.equal([ExitCode.Success, 1n]);
        });
        it("are named in the error when none responds", async () => {
            resettingServer.close();
            const result = await run(["config", "get", "--address", resettingAddress, "--timeout", "0"]);
            expect(result.exitCode).to.equal(ExitCode.Unreachable);
            expect(result.errors).to.contain(resettingAddress);
        });
    });
});
