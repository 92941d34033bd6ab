import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { StreamOrigin, StreamOriginSchema } from "../../src/protocol";
import { createNodeRanking } from "../../src/routing";
import {
    createStreamOrigins,
    createStreamOriginStore,
    StreamOriginClient,
    StreamOriginReply,
} from "../../src/streamOrigins";
import { createManualClock } from "../support/createManualClock";

describe("createStreamOrigins", () => {
    const members = ["member-1", "member-2", "member-3"];

    function createOrigin(requestId: string, softwareVersion = "v1", attemptNumber = 1): StreamOrigin {
        return create(StreamOriginSchema, { requestId, softwareVersion, attemptNumber, lifetimeMilliseconds: 9_000 });
    }

    /** Creates control members, of which some don't respond, and two entry processes. */
    function createTrial() {
        const clock = createManualClock();
        const stores = new Map(members.map(address => [address, createStreamOriginStore(clock)]));
        const silentMembers = new Set<string>();
        const calls: string[] = [];
        let startCount = 1;
        const call = async (
            name: string,
            address: string,
            timeoutMilliseconds: number,
            respond: () => StreamOriginReply,
        ): Promise<StreamOriginReply> => {
            calls.push(`${name} ${address}`);
            await clock.sleep(silentMembers.has(address) ? timeoutMilliseconds : 1);
            return silentMembers.has(address) ? { kind: "failed", reason: "timed out" } : respond();
        };
        const restartMembers = () => {
            startCount += 1;
            members.forEach(address => stores.set(address, createStreamOriginStore(clock)));
        };
        const client: StreamOriginClient = {
            record: (address, origins, timeoutMilliseconds) =>
                call("record", address, timeoutMilliseconds, () => {
                    origins.forEach(origin => stores.get(address)!.add(origin));
                    return { kind: "recorded", memberIncarnation: String(startCount) };
                }),
            find: (address, requestId, timeoutMilliseconds) =>
                call("find", address, timeoutMilliseconds, () => {
                    const origin = stores.get(address)!.get(requestId);
                    return origin ? { kind: "found", origin } : { kind: "notFound" };
                }),
        };
        const createEntry = () =>
            createStreamOrigins({
                client,
                getMemberAddresses: () => members,
                ranking: createNodeRanking(),
                clock,
                logger: createSilentLogger(),
                metrics: createMetrics(),
            });
        return { clock, restartMembers, silentMembers, calls, createEntry };
    }

    type Trial = ReturnType<typeof createTrial>;

    /** Records an origin at one entry process; returns whether and when it was recorded. */
    async function record(
        { clock }: Trial,
        entry: ReturnType<Trial["createEntry"]>,
        origin: StreamOrigin,
        replacesOtherVersion = false,
    ) {
        const startMilliseconds = clock.getMonotonicMilliseconds();
        let result = "";
        void entry.record(origin, replacesOtherVersion).then(isRecorded => {
            result = `${isRecorded} after ${clock.getMonotonicMilliseconds() - startMilliseconds} ms`;
        });
        for (let time = 0; time < 300; time++) {
            await clock.advance(1);
        }
        return result;
    }

    /** Searches at an entry process that has not begun the stream itself; returns the version and the time. */
    async function find({ clock, createEntry }: Trial, requestId: string) {
        const startMilliseconds = clock.getMonotonicMilliseconds();
        let result = "";
        void createEntry().find(requestId).then(origin => {
            result = `${origin?.softwareVersion} after ${clock.getMonotonicMilliseconds() - startMilliseconds} ms`;
        });
        for (let time = 0; time < 300; time++) {
            await clock.advance(1);
        }
        return result;
    }

    it("lets every entry process find an origin", async () => {
        const trial = createTrial();
        expect(await record(trial, trial.createEntry(), createOrigin("request-1"))).to.equal("true after 6 ms");
        expect(await find(trial, "request-1")).to.equal("v1 after 1 ms");
    });
    it("finds an origin that two of three members have lost", async () => {
        const trial = createTrial();
        await record(trial, trial.createEntry(), createOrigin("request-1"));
        members.slice(1).forEach(address => trial.silentMembers.add(address));
        expect(await find(trial, "request-1")).to.equal("v1 after 31 ms");
    });
    it("finds nothing where no member responds, after the timeout of a call", async () => {
        const trial = createTrial();
        await record(trial, trial.createEntry(), createOrigin("request-1"));
        members.forEach(address => trial.silentMembers.add(address));
        expect(await find(trial, "request-1")).to.equal("undefined after 250 ms");
    });
    it("finds the origin that the entry process recorded itself without a call", async () => {
        const trial = createTrial();
        const entry = trial.createEntry();
        members.forEach(address => trial.silentMembers.add(address));
        await record(trial, entry, createOrigin("request-1"));
        expect((await entry.find("request-1"))?.softwareVersion).to.equal("v1");
        expect(trial.calls.filter(call => call.startsWith("find"))).to.deep.equal([]);
    });
    it("finds the origin of the latest attempt where a member missed it", async () => {
        const trial = createTrial();
        const entry = trial.createEntry();
        await record(trial, entry, createOrigin("request-1", "v1", 1));
        trial.silentMembers.add("member-1");
        await record(trial, entry, createOrigin("request-1", "v2", 2));
        trial.silentMembers.clear();
        expect(await find(trial, "request-1")).to.match(/^v2/);
    });
    // Report of another operator: a search found only the member with the origin of the earlier attempt.
    it("is not recorded while a member may hold an earlier origin of another version", async () => {
        const trial = createTrial();
        const entry = trial.createEntry();
        await record(trial, entry, createOrigin("request-1", "v1", 1));
        trial.silentMembers.add("member-1");
        expect(await record(trial, entry, createOrigin("request-1", "v2", 2), true)).to.equal("false after 255 ms");
        trial.silentMembers.clear();
        expect(await record(trial, entry, createOrigin("request-1", "v2", 3), true)).to.equal("true after 6 ms");
    });
    it("waits for the first member only", async () => {
        const trial = createTrial();
        trial.silentMembers.add("member-1");
        expect(await record(trial, trial.createEntry(), createOrigin("request-1"))).to.equal("true after 6 ms");
    });
    it("does not delay streams once no member responds, until one responds again", async () => {
        const trial = createTrial();
        const entry = trial.createEntry();
        members.forEach(address => trial.silentMembers.add(address));
        expect(await record(trial, entry, createOrigin("request-1"))).to.equal("false after 255 ms");
        expect(await record(trial, entry, createOrigin("request-2"))).to.equal("false after 0 ms");
        trial.silentMembers.clear();
        await record(trial, entry, createOrigin("request-3"));
        expect(await record(trial, entry, createOrigin("request-4"))).to.equal("true after 6 ms");
    });
    it("restores the origins of members that have restarted, with the next record", async () => {
        const trial = createTrial();
        const entry = trial.createEntry();
        await record(trial, entry, createOrigin("request-1"));
        trial.restartMembers();
        expect(await find(trial, "request-1")).to.match(/^undefined/);
        await record(trial, entry, createOrigin("request-2"));
        expect(await find(trial, "request-1")).to.match(/^v1/);
    });
    it("sends the origins of one moment in one call to each member", async () => {
        const trial = createTrial();
        const entry = trial.createEntry();
        await record(trial, entry, createOrigin("request-0"));
        trial.calls.length = 0;
        void entry.record(createOrigin("request-1"), false);
        await record(trial, entry, createOrigin("request-2"));
        expect(trial.calls).to.have.members(members.map(address => `record ${address}`));
    });
});
