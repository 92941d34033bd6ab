import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ConsensusRole, LogStatus } from "../../src/control/consensus";
import { createSubjectEvidence, requestSubjectPrefix, runCrashQuarantine } from "../../src/crashQuarantine";
import { createDocumentState } from "../../src/documents";
import { createSilentLogger } from "../../src/logging";
import { DocumentCommandSchema } from "../../src/protocol";
import { createTestFactStore } from "../facts/createTestFacts";
import { createManualClock } from "../support/createManualClock";

describe("runCrashQuarantine", () => {
    function createFixture(role = ConsensusRole.Leader) {
        const clock = createManualClock();
        const documents = createDocumentState();
        const evidence = createSubjectEvidence(clock);
        const commands: (string | undefined)[] = [];
        let suspects: readonly string[] = [];
        void runCrashQuarantine({
            log: {
                getStatus: () => ({ role }) as LogStatus,
                propose: bytes => {
                    commands.push(fromBinary(DocumentCommandSchema, bytes).command.case);
                    const timeMilliseconds = clock.getWallMilliseconds();
                    documents.apply(bytes, { term: 1n, index: 1n, timeMilliseconds });
                    return Promise.resolve({ kind: "committed", term: 1n, index: 1n, result: new Uint8Array() });
                },
            },
            documents,
            facts: createTestFactStore(clock),
            evidence,
            fleetTracker: { setSuspectedSubjects: subjectIds => suspects = subjectIds },
            clock,
            logger: createSilentLogger(),
            signal: new AbortController().signal,
        });
        return { clock, documents, evidence, commands, getSuspects: () => suspects, release, reportCrashes };

        function release() {
            const context = { term: 1n, index: 1n, timeMilliseconds: clock.getWallMilliseconds() };
            const changes = [
                { case: "quarantineSubject" as const, value: { subjectId: "bad", instanceIds: [] } },
                { case: "releaseSubject" as const, value: { subjectId: "bad" } },
            ];
            for (const command of changes) {
                documents.apply(
                    toBinary(DocumentCommandSchema, create(DocumentCommandSchema, { command })),
                    context,
                );
            }
        }

        /** Reports crashes under a part, one each second. */
        async function reportCrashes(first: number, last: number) {
            for (let count = first; count <= last; count++) {
                evidence.addObservation({
                    reportId: `1.${count}`,
                    instanceId: `engine-${count}`,
                    ageMilliseconds: 0,
                    begunSubjectIds: ["bad"],
                    waitingSubjectIds: [],
                });
                await clock.advance(1_000);
            }
        }
    }

    it("decides only once a new leader has heard from all entry processes", async () => {
        const { clock, documents, evidence } = createFixture();
        const guiltyId = `${requestSubjectPrefix}guilty`;
        const getQuarantinedIds = () => documents.getQuarantinedSubjects().map(({ subjectId }) => subjectId);
        const report = (incarnation: string, begunSubjectIds: string[]) =>
            [1, 2, 3, 4].forEach(count =>
                evidence.addObservation({
                    reportId: `${incarnation}.${count}`,
                    instanceId: `engine-${count}`,
                    ageMilliseconds: 5_000 - 1_000 * count,
                    begunSubjectIds,
                    waitingSubjectIds: [],
                })
            );
        report("first", ["sound"]);
        await clock.advance(1_000);
        expect(getQuarantinedIds()).to.deep.equal([]);
        report("second", ["sound", guiltyId]);
        await clock.advance(1_000);
        expect(getQuarantinedIds()).to.deep.equal([guiltyId]);
    });

    it("suspects a part first, and quarantines it once", async () => {
        const { commands, getSuspects, reportCrashes } = createFixture();
        await reportCrashes(1, 3);
        expect([getSuspects(), commands]).to.deep.equal([["bad"], []]);
        await reportCrashes(4, 6);
        expect([getSuspects(), commands]).to.deep.equal([[], ["quarantineSubject"]]);
    });

    it("decides nothing at a member that is not the leader", async () => {
        const { commands, reportCrashes } = createFixture(ConsensusRole.Follower);
        await reportCrashes(1, 6);
        expect(commands).to.deep.equal([]);
    });

    it("does not quarantine a released part again by the crashes before", async () => {
        const { clock, commands, release, reportCrashes } = createFixture();
        release();
        await reportCrashes(1, 5);
        expect(commands).to.deep.equal([]);
        await clock.advance(60_000);
        await reportCrashes(6, 10);
        expect(commands).to.deep.equal(["quarantineSubject"]);
    });
});
