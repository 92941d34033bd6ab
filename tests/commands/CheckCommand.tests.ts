import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ExitCode } from "../../src/commands";
import { runTestCommand } from "./runTestCommand";

describe("CheckCommand", () => {
    let folder: string;
    before(async () => folder = await mkdtemp(join(tmpdir(), "basilwing-check-")));
    after(() => rm(folder, { recursive: true }));

    async function doTest(content: unknown, expectedCode: ExitCode, expectedOutput: string): Promise<void> {
        const path = join(folder, "file.json");
        await writeFile(path, typeof content === "string" ? content : JSON.stringify(content));
        const { exitCode, output, errors } = await runTestCommand(["check", path], {});
        expect(output.replaceAll(`${folder}/`, "")).to.equal(expectedOutput);
        expect([exitCode, errors]).to.deep.equal([expectedCode, ""]);
    }

    const listener = { address: "127.0.0.1", port: 0 };
    const settings = {
        instanceId: "entry-1",
        dataCentre: "rennes",
        region: "brittany",
        roles: ["entry"],
        listeners: { callers: listener, internal: listener },
        control: { group: "brittany", members: ["127.0.0.1:1"], initialConfigurationFile: "configuration.json" },
    };

    it("accepts a valid configuration", () =>
        doTest({ workspaces: { regie: {} } }, ExitCode.Success, "file.json: valid configuration\n"));
    it("reports an unknown key of a configuration", () => {
        const content = { workspaces: { regie: { settings: { prioritty: "deferred" } } } };
        return doTest(
            content,
            ExitCode.Invalid,
            "file.json: workspaces.regie.settings.prioritty: found an unknown key with \"deferred\", expected one of the keys "
                + "models, shareWeight, priority, limits, services; did you mean \"priority\"?\n",
        );
    });
    it("reports an API key that two subscribers share", () => {
        const subscriber = { settings: { keyDigests: ["a".repeat(64)] } };
        const content = {
            workspaces: { regie: { teams: { counter: { subscribers: { anne: subscriber, bran: subscriber } } } } },
        };
        return doTest(
            content,
            ExitCode.Invalid,
            "file.json: (whole): found /regie/counter/bran: keyDigests: one of the keys already names /regie/counter/anne, "
                + "expected a tree that can be accepted as a whole\n",
        );
    });
    it("checks the initial configuration file that the settings name", async () => {
        await writeFile(join(folder, "configuration.json"), "{");
        await doTest(
            settings,
            ExitCode.Invalid,
            "file.json: configuration.json: (whole): found a fault in line 1, column 2, expected JSON\n",
        );
        await writeFile(join(folder, "configuration.json"), "{}");
        await doTest(settings, ExitCode.Success, "file.json: valid settings\n");
    });
    it("reports a file that holds no JSON object", () => {
        return doTest("[]", ExitCode.Invalid, "file.json: (whole): found a list of 0, expected an object\n");
    });
    it("reports a missing file without a stack trace", async () => {
        const { exitCode, output } = await runTestCommand(["check", join(folder, "none.json")], {});
        expect(exitCode).to.equal(ExitCode.Invalid);
        expect(output).to.match(/none\.json: ENOENT: no such file or directory/).and.not.match(/ {4}at /);
    });
    it("prints the JSON schema of instance settings", async () => {
        const { exitCode, output } = await runTestCommand(["settings", "schema"], {});
        expect(exitCode).to.equal(ExitCode.Success);
        expect(JSON.parse(output)).to.have.property("title", "basilwing instance settings");
    });
});
