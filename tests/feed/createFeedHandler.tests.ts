import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { BarrierOutcome, ConsensusRole, LogStatus } from "../../src/control/consensus";
import { createDocumentState } from "../../src/documents";
import { createEntryRegistry, createFeedHandler } from "../../src/feed";
import { DocumentCommandSchema, FleetViewSchema, PollOutcome, PollRequestSchema } from "../../src/protocol";
import { createManualClock } from "../support/createManualClock";

describe("createFeedHandler", () => {
    function createTrial() {
        const clock = createManualClock();
        const documents = createDocumentState();
        const trial = {
            clock,
            role: ConsensusRole.Leader,
            barrier: { kind: "passed", index: 1n } as BarrierOutcome,
            barrierCount: 0,
            fleetRevision: "1.1",
            put,
            poll,
        };
        const handler = createFeedHandler({
            log: {
                readBarrier: () => {
                    trial.barrierCount += 1;
                    return Promise.resolve(trial.barrier);
                },
                getStatus: () =>
                    ({ role: trial.role, leaderAddress: "10.0.0.2:1", members: [] }) as unknown as LogStatus,
            },
            documents,
            fleet: { getRevision: () => trial.fleetRevision, getView: () => create(FleetViewSchema) },
            entryRegistry: createEntryRegistry(clock),
            clock,
        });
        return trial;

        function put(version: number) {
            const value = { version: BigInt(version), document: Buffer.from("text") };
            const command = create(DocumentCommandSchema, { command: { case: "putDocument", value } });
            documents.apply(toBinary(DocumentCommandSchema, command), { term: 1n, index: 1n, timeMilliseconds: 0 });
        }

        function poll(entryId: string, documentVersion: number, fleetRevision: string, waitMilliseconds: number) {
            return handler.poll(create(PollRequestSchema, {
                entryId,
                documentVersion: BigInt(documentVersion),
                fleetRevision,
                waitMilliseconds,
            }));
        }
    }

    it("answers at once with what is newer, and proves it", async () => {
        const trial = createTrial();
        trial.put(3);
        const response = await trial.poll("entry-1", 0, "", 400);
        expect([response.outcome, response.documentVersion, response.fleetRevision, trial.barrierCount])
            .to.deep.equal([PollOutcome.CURRENT, 3n, "1.1", 1]);
        expect(Buffer.from(response.document).toString()).to.equal("text");
        expect(response.fleet).to.not.equal(undefined);
    });

    it("waits for news, and answers without content where none comes", async () => {
        const trial = createTrial();
        trial.put(3);
        const answer = trial.poll("entry-1", 3, "1.1", 400);
        await trial.clock.advance(399);
        expect(trial.barrierCount).to.equal(0);
        await trial.clock.advance(1);
        const response = await answer;
        expect([response.documentVersion, response.document.length, response.fleet]).to.deep.equal([3n, 0, undefined]);
    });

    it("ends the wait with a change", async () => {
        const trial = createTrial();
        trial.put(3);
        const answer = trial.poll("entry-1", 3, "1.1", 400);
        await trial.clock.advance(10);
        trial.put(4);
        expect((await answer).documentVersion).to.equal(4n);
    });

    it("sends entries on where it does not lead", async () => {
        const trial = createTrial();
        trial.role = ConsensusRole.Follower;
        const response = await trial.poll("entry-1", 0, "", 400);
        expect([response.outcome, response.leaderAddress]).to.deep.equal([PollOutcome.NOT_LEADER, "10.0.0.2:1"]);
    });

    it("never says that an answer is current which no majority has proved", async () => {
        const trial = createTrial();
        trial.put(3);
        trial.barrier = { kind: "noLeader", leaderAddress: undefined };
        expect((await trial.poll("entry-1", 0, "", 0)).outcome).to.equal(PollOutcome.NOT_LEADER);
    });

    it("counts the entries that polled lately", async () => {
        const trial = createTrial();
        trial.put(1);
        await trial.poll("entry-1", 0, "", 0);
        expect((await trial.poll("entry-2", 0, "", 0)).entryCount).to.equal(2);
        await trial.clock.advance(10_001);
        expect((await trial.poll("entry-2", 0, "", 0)).entryCount).to.equal(1);
    });
});
