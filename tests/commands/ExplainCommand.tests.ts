import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ExitCode } from "../../src/commands";
import { runTestCommand } from "./runTestCommand";

describe("ExplainCommand", () => {
    let folder: string;
    before(async () => folder = await mkdtemp(join(tmpdir(), "basilwing-explain-")));
    after(() => rm(folder, { recursive: true }));

    function createLine(instance: string, second: number, msg: string, fields: object = {}): string {
        const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
        return `stamp ${
            JSON.stringify({ name: "basilwing", instance, pid: 1, level: 30, v: 0, time, msg, ...fields })
        }`;
    }

    const entryLines = [
        createLine("entry-1", 1, "starts"),
        createLine("entry-1", 20, "lost control", { ageMilliseconds: 1_400 }),
        createLine("entry-1", 21, "attempt failed", { requestId: "r-1", instanceId: "engine-1", reason: "linkLost" }),
        createLine("entry-1", 22, "request refused", { requestId: "r-1", refusal: "unknown" }),
        createLine("entry-1", 22, "request answered", { requestId: "r-2", instanceId: "engine-1" }),
        "not a log line of the system",
    ];
    const otherLines = [
        createLine("control-1", 19, "changed role", { role: "leader" }),
        createLine("control-1", 20, "ordered new weights", { instanceId: "engine-1" }),
        createLine("control-1", 20, "ordered new weights", { instanceId: "engine-2" }),
        createLine("entry-2", 21, "lost control"),
    ];

    async function explain(requestId: string) {
        await writeFile(join(folder, "entry.log"), entryLines.join("\n"));
        await writeFile(join(folder, "control.log"), otherLines.join("\n"));
        return runTestCommand(["explain", requestId, join(folder, "entry.log"), join(folder, "control.log")], {});
    }

    it("prints the lines of a request and those of its entry process, backend servers and leadership, in order of time", async () => {
        const { exitCode, output } = await explain("r-1");
        expect(exitCode).to.equal(ExitCode.Success);
        expect(output.trimEnd().split("\n").map(line => line.replace(/ 2026-01-01T00:00:(\d+)\S+/, " $1"))).to.deep
            .equal([
                "  19 control-1  changed role  role=\"leader\"",
                "  20 entry-1  lost control  ageMilliseconds=1400",
                "  20 control-1  ordered new weights  instanceId=\"engine-1\"",
                "* 21 entry-1  attempt failed  instanceId=\"engine-1\" reason=\"linkLost\"",
                "* 22 entry-1  request refused  refusal=\"unknown\"",
            ]);
    });
    it("reports that no line mentions a request", async () => {
        const { exitCode, output } = await explain("r-9");
        expect([exitCode, output]).to.deep.equal([
            ExitCode.Failure,
            "no line in these files mentions the request r-9\n",
        ]);
    });
    it("reports a file that can't be read", async () => {
        const { exitCode, output } = await runTestCommand(["explain", "r-1", join(folder, "missing.log")], {});
        expect(exitCode).to.equal(ExitCode.Invalid);
        expect(output).to.include("missing.log: ENOENT");
    });
});
