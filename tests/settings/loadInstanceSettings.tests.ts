import { expect } from "chai";
import fc from "fast-check";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    checkInstanceSettings,
    Environment,
    formatValueProblem,
    getEnvironmentOverrides,
    InstanceSettings,
    loadInstanceSettings,
} from "../../src/settings";

const digest = "0".repeat(64);

/** Creates valid settings with all roles. */
function createSettings(): Record<string, never> {
    const listener = { address: "127.0.0.1", port: 0 };
    return {
        instanceId: "i-1",
        dataCentre: "rennes",
        region: "brittany",
        roles: ["entry", "companion", "control"],
        dataFolder: "data",
        listeners: { callers: listener, internal: { ...listener }, operators: { ...listener } },
        control: {
            group: "brittany",
            members: ["127.0.0.1:7000", "[::1]:7000"],
            operators: [{ name: "anne", tokenDigest: digest, role: "change" }],
        },
        companion: { backendKind: "engine", serves: "large", backendAddress: "http://127.0.0.1:8000" },
    } as never;
}

/** Replaces or removes the value at a path of settings. */
function setAt(settings: Record<string, unknown>, path: string, value: unknown): void {
    const names = path.split(".");
    const parent = names.slice(0, -1).reduce((inner, name) => inner[name] as Record<string, unknown>, settings);
    if (value === undefined) {
        delete parent[names.at(-1)!];
    }
    else {
        parent[names.at(-1)!] = value;
    }
}

describe("checkInstanceSettings", () => {
    it("fills in defaults", () => {
        const outcome = checkInstanceSettings(createSettings(), {});
        const settings = (outcome as { settings: InstanceSettings; }).settings;
        expect(settings.entry.maximumBodyBytes).to.equal(8_388_608);
        expect(settings.routing.pieceTokens).to.equal(4_096);
        expect(settings.companion?.maximumRunning).to.equal(32);
        expect(settings.logging.level).to.equal("info");
    });

    describe("problems", () => {
        function doTest(path: string, value: unknown, expected: string): void {
            const settings = createSettings();
            setAt(settings, path, value);
            const outcome = checkInstanceSettings(settings, {});
            const problems = outcome.kind === "invalid" ? outcome.problems.map(formatValueProblem) : [];
            expect(problems).to.deep.equal([expected]);
        }

        it("name a wrong type", () =>
            doTest(
                "listeners.callers.port",
                "80",
                "listeners.callers.port: found \"80\", expected a whole number from 0 to 65535",
            ));
        it("name a number out of range", () =>
            doTest(
                "entry",
                { retryBudgetShare: -1 },
                "entry.retryBudgetShare: found -1, expected a number from 0 to 10",
            ));
        it("name a missing value", () =>
            doTest(
                "instanceId",
                undefined,
                "instanceId: found nothing, expected a text that matches ^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$",
            ));
        it("name a host name instead of an IP address", () =>
            doTest(
                "listeners.internal.address",
                "localhost",
                "listeners.internal.address: found \"localhost\", expected an IP address",
            ));
        it("name an address without a port", () =>
            doTest(
                "control.members",
                ["127.0.0.1"],
                "control.members[0]: found \"127.0.0.1\", expected an address as ip:port",
            ));
        it("name an address that is not an HTTP address", () =>
            doTest(
                "companion.backendAddress",
                "127.0.0.1:1",
                "companion.backendAddress: found \"127.0.0.1:1\", expected an address as http://ip:port",
            ));
        it("name a misspelt key and the most similar known key", () => {
            doTest(
                "companion.maximumRuning",
                3,
                "companion.maximumRuning: found an unknown key with 3, expected one of the keys "
                    + "backendKind, serves, backendAddress, maximumRunning, maximumQueued, prefillTokensPerSecond, keptCacheAddress, "
                    + "drainDeadlineMilliseconds; did you mean \"maximumRunning\"?",
            );
        });
        it("name a misspelt enum value", () =>
            doTest(
                "roles",
                ["entri"],
                "roles[0]: found \"entri\", expected \"entry\" or \"companion\" or \"control\"; did you mean \"entry\"?",
            ));
        it("hide a possible secret", () => {
            const operators = [{ name: "anne", tokenDigest: "sk-very-secret", role: "read" }];
            doTest(
                "control.operators",
                operators,
                "control.operators[0].tokenDigest: found a text (hidden), expected a text that matches ^[0-9a-f]{64}$",
            );
        });
        it("name an empty list", () =>
            doTest(
                "roles",
                [],
                "roles: found a list of 0, expected a list of at least 1 without repetition, each \"entry\" or \"companion\" or \"control\"",
            ));
        it("name a control member without a data folder", () =>
            doTest(
                "dataFolder",
                undefined,
                "dataFolder: found nothing, expected a folder, since the role control keeps durable state",
            ));
        it("name an entry without a listener", () =>
            doTest(
                "listeners.callers",
                undefined,
                "listeners.callers: found nothing, expected a listener, since the role entry answers callers",
            ));
        it("name a sidecar without a backend server", () =>
            doTest(
                "companion",
                undefined,
                "companion: found nothing, expected an object, since the role companion has a backend server",
            ));
        it("name an unencrypted listener on an address other than loopback", () => {
            doTest(
                "listeners.internal.address",
                "10.1.2.3",
                "listeners.internal.address: found \"10.1.2.3\", expected a loopback address, or tls, or else allowPlain: true",
            );
        });
        it("name missing control members", () => {
            doTest("control", undefined, "control: found nothing, expected an object");
        });
        it("name duplicate operators", () => {
            const operators = [digest, "1".repeat(64)].map(tokenDigest => ({
                name: "anne",
                tokenDigest,
                role: "read",
            }));
            doTest(
                "control.operators",
                operators,
                "control.operators[1]: found a repetition, expected names that differ",
            );
        });
    });

    describe("environment variables", () => {
        function doTest(
            environment: Environment,
            expected: (settings: InstanceSettings) => unknown,
            value: unknown,
        ): void {
            const outcome = checkInstanceSettings(createSettings(), environment);
            expect(expected((outcome as { settings: InstanceSettings; }).settings)).to.deep.equal(value);
        }

        it("override numbers", () =>
            doTest({ BASILWING_LISTENERS_INTERNAL_PORT: "7001" }, settings => settings.listeners.internal.port, 7_001));
        it("override strings", () => doTest({ BASILWING_INSTANCE_ID: "i-2" }, settings => settings.instanceId, "i-2"));
        it("override lists", () =>
            doTest({ BASILWING_CONTROL_MEMBERS: "127.0.0.1:1, 127.0.0.1:2" }, settings => settings.control?.members, [
                "127.0.0.1:1",
                "127.0.0.1:2",
            ]));
        it("override booleans", () =>
            doTest({ BASILWING_CONTROL_BOOTSTRAP: "true" }, settings => settings.control?.bootstrap, true));
        it("add absent settings", () =>
            doTest({ BASILWING_LOGGING_FILE: "log" }, settings => settings.logging.file, "log"));
        it("are ignored where they belong to other programs or commands", () =>
            doTest({ PATH: "x", BASILWING_OPERATOR_TOKEN: "t" }, settings => settings.instanceId, "i-1"));

        function doProblemTest(environment: Environment, expected: string): void {
            const outcome = checkInstanceSettings(createSettings(), environment);
            expect(outcome.kind === "invalid" && outcome.problems.map(formatValueProblem)).to.deep.equal([expected]);
        }

        it("are named where their value is invalid", () => {
            doProblemTest(
                { BASILWING_LISTENERS_INTERNAL_PORT: "many" },
                "listeners.internal.port (from BASILWING_LISTENERS_INTERNAL_PORT): found \"many\", expected a whole number from 0 to 65535",
            );
        });
        it("are named where they are unknown", () => {
            doProblemTest(
                { BASILWING_LISTENERS_INTERNAL_PROT: "1" },
                "environment variable BASILWING_LISTENERS_INTERNAL_PROT: found an unknown variable, expected BASILWING_ with a "
                    + "setting's name; did you mean \"BASILWING_LISTENERS_INTERNAL_PORT\"?",
            );
        });
        it("have unique names", () => {
            const names = getEnvironmentOverrides().map(override => override.variable);
            expect(new Set(names).size).to.equal(names.length);
        });
    });

    it("never throws, whatever the JSON contains", () => {
        const paths = [
            "",
            "roles",
            "listeners",
            "listeners.internal",
            "control",
            "control.members",
            "companion",
            "tls",
            "logging",
        ];
        fc.assert(
            fc.property(fc.constantFrom(...paths), fc.jsonValue(), fc.string(), (path, value, port) => {
                const settings = createSettings();
                const content = path === "" ? value : settings;
                if (path !== "") {
                    setAt(settings, path, value);
                }
                const outcome = checkInstanceSettings(content, { BASILWING_LISTENERS_CALLERS_PORT: port });
                expect(outcome.kind).to.be.oneOf(["invalid", "loaded"]);
            }),
            { seed: 3, numRuns: 300 },
        );
    });
});

describe("loadInstanceSettings", () => {
    let folder: string;
    before(async () => folder = await mkdtemp(join(tmpdir(), "basilwing-settings-")));
    after(() => rm(folder, { recursive: true }));

    async function load(text: string): ReturnType<typeof loadInstanceSettings> {
        const path = join(folder, "instance.json");
        await writeFile(path, text);
        return loadInstanceSettings(path, {});
    }

    it("resolves relative paths against the folder of the file", async () => {
        const outcome = await load(JSON.stringify(createSettings()));
        expect(outcome.kind === "loaded" && outcome.settings.dataFolder).to.equal(join(folder, "data"));
    });

    it("reports the line and column of invalid JSON", async () => {
        const outcome = await load("{\n  \"a\": 1,\n}");
        expect(outcome.kind === "invalid" && outcome.problems.map(formatValueProblem)).to.deep.equal([
            "(whole): found a fault in line 3, column 1, expected JSON",
        ]);
    });

    it("reports an empty file", async () => {
        const outcome = await load("");
        expect(outcome.kind === "invalid" && outcome.problems[0]?.found).to.equal("an empty text");
    });

    it("reports a missing file", async () => {
        expect((await loadInstanceSettings(join(folder, "none"), {})).kind).to.equal("unreadable");
    });
});
