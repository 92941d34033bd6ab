import { expect } from "chai";
import { decodePlatformSettings, getInternalSeedAddresses } from "../../../platform/settings";

describe("decodePlatformSettings", () => {
    const file = {
        node_name: "front-west-1",
        ip: "10.1.0.23",
        zone: "west",
        listen: { front: "10.1.0.23:8782", ready: "10.1.0.23:8789" },
        port_range: [7_340, 7_355],
        seeds: ["10.1.0.25:8783", "10.2.0.42:8783"],
        bootstrap: true,
        data_dir: JSON.parse("null") as unknown,
        fault_tolerance: { machines: 1, zones: 0, regions: 0 },
        limits: { cpu_share: 0.513, memory_mb: 350, max_fds: 4_096 },
        bounds: {
            grace_s: 8,
            revoke_ms: 5_000,
            retry_budget_ratio: 0.2,
            retry_budget_slack: 56,
            budget_window_s: 8,
            lease_ms: 3_000,
            quota_window_s: 4,
            quota_overshoot: 0.1,
            quota_slack: 140_000,
        },
        cloud_api: { address: "10.200.0.117:8784", rate_per_s: 44, duties: [], lag_ms: 800 },
        to_come: true,
    };

    it("decodes the settings and ignores unknown fields", () => {
        const outcome = decodePlatformSettings(JSON.stringify(file));
        expect(outcome.kind === "decoded" && outcome.settings).to.deep.equal({
            instanceId: "front-west-1",
            address: "10.1.0.23",
            dataCentre: "west",
            callerAddress: "10.1.0.23:8782",
            readinessAddress: "10.1.0.23:8789",
            operatorAddress: undefined,
            internalPort: 7_340,
            seedAddresses: ["10.1.0.25:8783", "10.2.0.42:8783"],
            isFirstStart: true,
            toleratedMemberLosses: 1,
            memoryBytes: 350 * 1_048_576,
            maximumDescriptors: 4_096,
            dataFolder: undefined,
            fleetListAddress: "10.200.0.117:8784",
            fleetListCallsPerSecond: 44,
            stopGraceMilliseconds: 8_000,
            keyRevocationMilliseconds: 5_000,
            replacedWeightsMilliseconds: 10_000,
            retryBudgetRatio: 0.2,
            retryBudgetReserve: 56,
            retryBudgetWindowMilliseconds: 8_000,
            orderLeaseMilliseconds: 3_000,
            quotaWindowMilliseconds: 4_000,
            quotaOvershoot: 0.1,
            quotaSlack: 140_000,
        });
        expect(outcome.kind === "decoded" && getInternalSeedAddresses(outcome.settings))
            .to.deep.equal(["10.1.0.25:7340", "10.2.0.42:7340"]);
    });

    function doTest(changed: object, expected: string) {
        const outcome = decodePlatformSettings(JSON.stringify({ ...file, ...changed }));
        expect(outcome.kind === "invalid" && outcome.problem).to.equal(expected);
    }

    it("names a missing property", () => doTest({ seeds: undefined }, "settings must have required property 'seeds'"));
    it("names the path of an invalid value", () =>
        doTest({ seeds: ["here"] }, "settings/seeds/0 must match pattern \"^[0-9.]+:[0-9]+$\""));
    ["quota_window_s", "quota_overshoot", "quota_slack"].forEach(name =>
        it(`refuses an infinite product with ${name}`, () =>
            doTest({ bounds: { grace_s: 1, [name]: 1e308 } }, `settings/bounds/${name} must be <= 1000000000000`))
    );
    it("reports a file that isn't JSON", () => {
        const outcome = decodePlatformSettings("{");
        expect(outcome.kind === "invalid" && outcome.problem).to.match(/^the settings are not JSON/);
    });
});
