import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { Server } from "node:http";
import { request } from "undici";
import { startOperatorServer } from "../../../platform/operators";
import { getFreeAddress } from "../../../scripts/measure/getFreeAddress";
import { ConsensusRole, ProposeOutcome, ReadBarrierOutcome, ReplicatedLog } from "../../../src/control/consensus";
import { createDocumentState } from "../../../src/documents";
import { createMetrics } from "../../../src/metrics";
import { DocumentCommandSchema } from "../../../src/protocol";
import { createSystemClock } from "../../../src/runtime";
import { createRecordingLogger } from "../../support/createRecordingLogger";

describe("startOperatorServer", () => {
    let server: Server | undefined;
    afterEach(() => server?.close());

    interface Fixture {
        barrier: ReadBarrierOutcome;
        /** The outcome of changes; undefined where they are committed. */
        refusal: ProposeOutcome | undefined;
        role: ConsensusRole;
    }

    async function createFixture(partialFixture: Partial<Fixture> = {}, recording = createRecordingLogger()) {
        const fixture = {
            barrier: { kind: "passed", index: 1n },
            refusal: undefined,
            role: ConsensusRole.Follower,
            ...partialFixture,
        };
        const documents = createDocumentState();
        const apply = (bytes: Uint8Array) => documents.apply(bytes, { term: 1n, index: 1n, timeMilliseconds: 500 });
        const log = {
            readBarrier: () => Promise.resolve(fixture.barrier),
            getStatus: () => ({ role: fixture.role, term: 12n }),
            propose: (bytes: Uint8Array) => {
                if (fixture.refusal) {
                    return Promise.resolve(fixture.refusal);
                }
                apply(bytes);
                return Promise.resolve({ kind: "committed", index: 1n, result: new Uint8Array() });
            },
        } as unknown as ReplicatedLog;
        const value = { subjectId: "bad", instanceIds: ["engine-1"] };
        apply(toBinary(
            DocumentCommandSchema,
            create(DocumentCommandSchema, { command: { case: "quarantineSubject", value } }),
        ));
        const address = await getFreeAddress();
        server = await startOperatorServer({
            address,
            log,
            documents,
            quotaBounds: { windowMilliseconds: 8_000, overshoot: 0.1, slack: 0 },
            clock: createSystemClock(),
            metrics: createMetrics(),
            logger: recording.logger,
        });
        return async (method: "GET" | "DELETE" | "POST", path: string, text?: string) => {
            const { statusCode, body } = await request(`http://${address}${path}`, { method, body: text });
            return [statusCode, await body.json()];
        };
    }

    it("shows the quarantined parts of prompts, and releases one", async () => {
        const call = await createFixture();
        const path = "/basilwing/crash-quarantine";
        const part = {
            subject: "bad",
            kind: "promptPart",
            crashed_instances: ["engine-1"],
            since_ms: 500,
            released: false,
        };
        expect(await call("GET", path)).to.deep.equal([200, { subjects: [part] }]);
        expect(await call("DELETE", `${path}/bad`)).to.deep.equal([200, {}]);
        expect(await call("GET", path)).to.deep.equal([200, { subjects: [{ ...part, released: true }] }]);
        expect((await call("DELETE", `${path}/bad`))[0]).to.equal(404);
    });

    // It would occupy many times its size once it is decoded.
    it("refuses a body of more values than any document has", async () => {
        const call = await createFixture();
        const [status] = await call("POST", "/basilwing/version-put", `[${"{},".repeat(250_000)}1]`);
        expect(status).to.equal(413);
    });

    ["4294967296", "1e21", "1e999", "0", "-1", "1.5"].forEach(version => {
        it(`refuses weights of version ${version}, which can't be stored`, async () => {
            const call = await createFixture();
            const [status] = await call("POST", "/basilwing/version-put", `{"model":"large","version":${version}}`);
            expect(status).to.equal(400);
        });
    });

    const noLeader = { kind: "noLeader" as const, leaderAddress: undefined };
    const refusedReads: [string, Partial<Fixture>, string][] = [
        ["without a leader", { barrier: noLeader }, "no leader is known in term 12; this member is a follower"],
        [
            "whose leader does not answer",
            { barrier: { ...noLeader, leaderAddress: "m1:1" } },
            "the leader m1:1 of term 12 did not confirm that it leads; this member is a follower",
        ],
        [
            "at a leader without a majority",
            { barrier: { ...noLeader, leaderAddress: "m0:1" }, role: ConsensusRole.Leader },
            "this member leads term 12, but had no majority that confirms it when it was asked",
        ],
        [
            "whose entries are not applied in time",
            { barrier: { kind: "notApplied", leaderAddress: "m1:1", index: 7n, appliedIndex: 5n } },
            "entry 7 is committed in term 12, but this member has applied only entry 5; the leader is m1:1",
        ],
    ];
    refusedReads.forEach(([name, fixture, problem]) => {
        it(`tells what is missing for a read ${name}`, async () => {
            const recording = createRecordingLogger();
            const call = await createFixture(fixture, recording);
            const message = `the newest document can't be told: ${problem}`;
            const expected = [503, { error: { message } }];
            expect(await call("GET", "/basilwing/config")).to.deep.equal(expected);
            expect(await call("GET", "/basilwing/config")).to.deep.equal(expected);
            expect(recording.getLines("refused a read").map(line => line.problem)).to.deep.equal([problem]);
        });
    });

    const refusedChanges: [ProposeOutcome, string][] = [
        [{ kind: "notLeader", leaderAddress: undefined }, "no leader is known in term 12"],
        [{ kind: "unknown" }, "the change may have been accepted: its commit was not seen in time"],
        [{ kind: "refused", reason: "too many" }, "too many"],
    ];
    refusedChanges.forEach(([refusal, message]) => {
        it(`logs changes with the outcome ${refusal.kind} at most once a second`, async () => {
            const recording = createRecordingLogger();
            const call = await createFixture({ refusal }, recording);
            const body = JSON.stringify({ model: "large", version: 1 });
            const startMilliseconds = Date.now();
            for (let count = 0; count < 10; count += 1) {
                expect(await call("POST", "/basilwing/version-put", body)).to.deep.equal([503, { error: { message } }]);
            }
            const lines = recording.getLines("operator's change");
            expect(lines.length).to.be.within(1, 1 + Math.floor((Date.now() - startMilliseconds) / 1_000));
            expect(lines[0]).to.include({ outcome: refusal.kind, term: "12", suppressedCount: 0 });
        });
    });

    it("logs each committed change", async () => {
        const recording = createRecordingLogger();
        const call = await createFixture({}, recording);
        for (const version of [1, 2, 3]) {
            await call("POST", "/basilwing/version-put", JSON.stringify({ model: "large", version }));
        }
        expect(recording.getLines("operator's change").map(line => line.outcome)).to.deep.equal(
            Array(3).fill("committed"),
        );
    });
});
