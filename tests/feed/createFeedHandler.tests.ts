import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ConsensusRole, LogStatus, ReadBarrierOutcome } from "../../src/control/consensus";
import { createDocumentState } from "../../src/documents";
import { createEntryRegistry, createFeedHandler } from "../../src/feed";
import { DocumentCommandSchema, FleetViewSchema, PollOutcome, PollRequestSchema } from "../../src/protocol";
import { createTestFactHub, createTestFactStore } from "../facts/createTestFacts";
import { createManualClock } from "../support/createManualClock";

describe("createFeedHandler", () => {
    function createFixture() {
        const clock = createManualClock();
        const documents = createDocumentState();
        const fixture = {
            clock,
            role: ConsensusRole.Leader,
            barrier: { kind: "passed", index: 1n } as ReadBarrierOutcome,
            barrierCount: 0,
            fleetRevision: "1.1",
            /** The polls that were read, and those for which grants were created, each behind the number of barriers before. */
            quotaSteps: [] as string[],
            putDocument,
            poll,
        };
        const handler = createFeedHandler({
            log: {
                readBarrier: () => {
                    fixture.barrierCount += 1;
                    return Promise.resolve(fixture.barrier);
                },
                getStatus: () =>
                    ({ role: fixture.role, leaderAddress: "10.0.0.2:1", members: [] }) as unknown as LogStatus,
            },
            documents,
            fleet: { getRevision: () => fixture.fleetRevision, getView: () => create(FleetViewSchema) },
            entryRegistry: createEntryRegistry(clock),
            factHub: createTestFactHub({ clock, store: createTestFactStore(clock) }),
            extension: {
                readPoll: ({ entryId }) => void fixture.quotaSteps.push(`${fixture.barrierCount} read ${entryId}`),
                createResponseFields: ({ entryId }) => {
                    fixture.quotaSteps.push(`${fixture.barrierCount} grant ${entryId}`);
                    return { workspaceGrants: [] };
                },
            },
            clock,
        });
        return fixture;

        function putDocument(version: number) {
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

    it("responds at once with a newer state, after one read barrier", async () => {
        const fixture = createFixture();
        fixture.putDocument(3);
        const response = await fixture.poll("entry-1", 0, "", 400);
        expect([response.outcome, response.documentVersion, response.fleetRevision, fixture.barrierCount])
            .to.deep.equal([PollOutcome.CURRENT, 3n, "1.1", 1]);
        expect(Buffer.from(response.document).toString()).to.equal("text");
        expect(response.fleet).to.not.equal(undefined);
    });

    it("waits for changes, and responds without content if there are none", async () => {
        const fixture = createFixture();
        fixture.putDocument(3);
        const pending = fixture.poll("entry-1", 3, "1.1", 400);
        await fixture.clock.advance(399);
        expect(fixture.barrierCount).to.equal(0);
        await fixture.clock.advance(1);
        const response = await pending;
        expect([response.documentVersion, response.document.length, response.fleet]).to.deep.equal([3n, 0, undefined]);
    });

    it("ends the wait when the document changes", async () => {
        const fixture = createFixture();
        fixture.putDocument(3);
        const pending = fixture.poll("entry-1", 3, "1.1", 400);
        await fixture.clock.advance(10);
        fixture.putDocument(4);
        expect((await pending).documentVersion).to.equal(4n);
    });

    it("responds with the leader's address if it is not the leader", async () => {
        const fixture = createFixture();
        fixture.role = ConsensusRole.Follower;
        const response = await fixture.poll("entry-1", 0, "", 400);
        expect([response.outcome, response.leaderAddress]).to.deep.equal([PollOutcome.NOT_LEADER, "10.0.0.2:1"]);
    });

    it("does not respond with CURRENT if the read barrier fails", async () => {
        const fixture = createFixture();
        fixture.putDocument(3);
        fixture.barrier = { kind: "noLeader", leaderAddress: undefined };
        expect((await fixture.poll("entry-1", 0, "", 0)).outcome).to.equal(PollOutcome.NOT_LEADER);
    });

    it("grants quotas only behind the read barrier, as a former leader's grants would add to those of the new one", async () => {
        const fixture = createFixture();
        await fixture.poll("entry-1", 0, "", 0);
        fixture.barrier = { kind: "noLeader", leaderAddress: undefined };
        await fixture.poll("entry-2", 0, "", 0);
        expect(fixture.quotaSteps).to.deep.equal(["0 read entry-1", "1 grant entry-1", "1 read entry-2"]);
    });

    it("counts the entry processes that polled within the last 10 s", async () => {
        const fixture = createFixture();
        fixture.putDocument(1);
        await fixture.poll("entry-1", 0, "", 0);
        expect((await fixture.poll("entry-2", 0, "", 0)).entryCount).to.equal(2);
        await fixture.clock.advance(10_001);
        expect((await fixture.poll("entry-2", 0, "", 0)).entryCount).to.equal(1);
    });
});
