import { expect } from "chai";
import {
    createReport,
    ExperimentOptions,
    FaultName,
    getTableRows,
    PolicyName,
    runExperiment,
    WorkloadKind,
} from "../../src/experiment";
import { createAutoAdvancingClock } from "../standIns/createAutoAdvancingClock";

const options: ExperimentOptions = {
    workload: WorkloadKind.Regie,
    policies: [PolicyName.Prefix, PolicyName.Oracle],
    seconds: 3,
    warmUpSeconds: 1,
    seed: 5,
    load: 0.5,
    faults: [FaultName.EngineCrash, FaultName.EntryRestart, FaultName.EventLoss],
    clock: createAutoAdvancingClock(),
    onProgress: () => {},
};

describe("runExperiment", () => {
    it("reports each policy, without lost, broken or repeated requests under faults", async () => {
        const result = await runExperiment(options);
        expect(result.policies.map(policy => policy.policy)).to.deep.equal(["prefix", "oracle"]);
        for (const policy of result.policies) {
            expect(policy).to.include({ lostRequests: 0, brokenStreams: 0, doubledRuns: 0, falseRefusals: 0 });
            expect(policy.requests).to.be.above(5);
            expect(policy.timeline).to.have.lengthOf(options.seconds);
        }
        expect(result.policies[0]!.requests).to.equal(result.policies[1]!.requests);
        expect(getTableRows(result)).to.have.lengthOf(3);
        const report = createReport(result);
        expect(report).to.contain("<canvas");
        expect(report).to.not.match(/<(script|link|img)[^>]+(src|href)=/);
    });
});
