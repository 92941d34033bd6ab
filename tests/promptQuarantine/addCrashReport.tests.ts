import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { addCrashReport, createPartEvidence } from "../../src/promptQuarantine";
import { PollRequestSchema } from "../../src/protocol";
import { createManualClock } from "../support/createManualClock";

describe("addCrashReport", () => {
    async function createFixture() {
        const clock = createManualClock();
        const evidence = createPartEvidence(clock);
        for (let count = 0; count < 4; count++) {
            const observation = { instanceId: `engine-${count}`, reportId: `1.${count}`, ageMilliseconds: 0 };
            evidence.addObservation({ ...observation, begunPartIds: ["a"], waitingPartIds: [] });
            await clock.advance(1_000);
        }
        return { evidence, report };

        function report(entryIncarnation: string, completions: Record<string, number[]>) {
            const partCompletions = Object.entries(completions).map(([partId, agesMilliseconds]) => ({
                partId,
                agesMilliseconds,
            }));
            const request = create(PollRequestSchema, { entryId: "entry-1", entryIncarnation, partCompletions });
            addCrashReport(evidence, request);
        }
    }

    it("does not quarantine a sound part whose completions a restarted entry process has forgotten", async () => {
        const { evidence, report } = await createFixture();
        report("first", { a: [100, 200, 300, 400] });
        report("second", {});
        expect(evidence.getGuiltyParts()).to.deep.equal([]);
    });

    it("keeps the completions of a part that a later report does not name", async () => {
        const { evidence, report } = await createFixture();
        report("first", { a: [100, 200, 300, 400] });
        report("first", { b: [100] });
        expect(evidence.getGuiltyParts()).to.deep.equal([]);
    });
});
