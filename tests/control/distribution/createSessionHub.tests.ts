import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createSidecarSetPart } from "../../../src/control";
import { createConfigurationPart } from "../../../src/control/configuration";
import { createLeaseHolderTable } from "../../../src/control/distribution/createLeaseHolderTable";
import { createSessionHub } from "../../../src/control/distribution/createSessionHub";
import { HostedSession } from "../../../src/control/distribution/HostedSession";
import { SessionHub } from "../../../src/control/distribution/SessionHub";
import { createSilentLogger } from "../../../src/logging";
import { createDirectory, WritableDirectory } from "../../../src/membership";
import { createSessionUpdate } from "../../../src/membership/createSessionUpdate";
import {
    DirectorySummarySchema,
    LeaseRequestSchema,
    ProcessRecord,
    ProcessState,
    SessionEvent,
} from "../../../src/protocol";
import { createAsyncQueue } from "../../../src/runtime";
import { createTestRecord } from "../../membership/createTestRecord";
import { createVirtualTime, VirtualTime } from "../../membership/createVirtualTime";

describe("createSessionHub", () => {
    let time: VirtualTime;
    let directory: WritableDirectory;
    let hub: SessionHub;
    let leaseMilliseconds: number;

    beforeEach(() => {
        time = createVirtualTime();
        const clock = time.createClock();
        directory = createDirectory({ clock });
        leaseMilliseconds = 10_000;
        hub = createSessionHub({
            configuration: createConfigurationPart(),
            sidecarSet: createSidecarSetPart(),
            directory,
            leaseHolders: createLeaseHolderTable(clock),
            memberLease: {
                applyResponse: () => {},
                getRemainingMilliseconds: () => leaseMilliseconds,
                getTerm: () => 1n,
                end: () => {},
            },
            isLeader: () => false,
            getInitialEvents: () => [],
            handleRecord: () => {},
            handleUpdate: () => {},
            clock,
            logger: createSilentLogger(),
        });
    });

    /** Opens a session and collects the events that are sent over it. */
    function open(record: ProcessRecord) {
        const outgoing = createAsyncQueue<SessionEvent>();
        const events: SessionEvent["event"][] = [];
        const session = hub.open(record, outgoing);
        let isClosed = false;
        void collectEvents().then(() => isClosed = true);
        return { session, events, isClosed: () => isClosed };

        async function collectEvents(): Promise<void> {
            for await (const { event } of outgoing) {
                events.push(event);
            }
        }
    }

    function requestLease(session: HostedSession, number: bigint): void {
        const value = create(LeaseRequestSchema, { number });
        hub.receiveUpdate(session, createSessionUpdate({ case: "leaseRequest", value }));
    }

    function getLeases(events: readonly SessionEvent["event"][]): number[] {
        return events.flatMap(event => event.case === "lease" ? [event.value.remainingMilliseconds] : []);
    }

    it("grants no lease before the process is registered with the leader", async () => {
        const { session, events } = open(createTestRecord("a"));
        requestLease(session, 1n);
        await time.advance(100);
        expect(getLeases(events)).to.deep.equal([]);
        session.holder.isRegistered = true;
        hub.grantPendingLeases();
        await time.advance(100);
        expect(getLeases(events)).to.deep.equal([10_000]);
    });

    it("refuses a lease request that has been pending for too long", async () => {
        leaseMilliseconds = 0;
        const { session, events } = open(createTestRecord("a"));
        requestLease(session, 1n);
        await time.advance(1_000);
        hub.enforceTimeouts();
        await time.advance(100);
        expect(getLeases(events)).to.deep.equal([0]);
    });

    it("closes the sessions of unresponsive processes", async () => {
        const { isClosed } = open(createTestRecord("a"));
        await time.advance(10_100);
        hub.enforceTimeouts();
        await time.advance(100);
        expect(isClosed()).to.equal(true);
        expect(hub.getCount()).to.equal(0);
    });

    it("replaces a session with a newer one of the same instance", async () => {
        const former = open(createTestRecord("a"));
        open(createTestRecord("a", { incarnation: "2", recordNumber: 2n }));
        await time.advance(100);
        expect(former.isClosed()).to.equal(true);
        hub.close(former.session);
        expect(hub.getCount()).to.equal(1);
    });

    it("sends directory changes in one batch", async () => {
        const { events } = open(createTestRecord("a"));
        await time.advance(1_000);
        events.length = 0;
        ["b", "c", "d"].forEach(instanceId => directory.mergeRecord(createTestRecord(instanceId)));
        await time.advance(1_000);
        expect(events.map(event => event.case === "directory" && event.value.records.length)).to.deep.equal([3]);
    });

    it("sends only the buckets that differ from those of the process", async () => {
        ["b", "c", "d"].forEach(instanceId => directory.mergeRecord(createTestRecord(instanceId)));
        const { session, events } = open(createTestRecord("a"));
        await time.advance(1_000);
        events.length = 0;
        const other = createDirectory({ clock: time.createClock() });
        ["a", "b", "c"].forEach(instanceId => other.mergeRecord(createTestRecord(instanceId)));
        const value = create(DirectorySummarySchema, { digests: [...other.getDigests()] });
        hub.receiveUpdate(session, createSessionUpdate({ case: "directorySummary", value }));
        await time.advance(100);
        const records = events.flatMap(event => event.case === "directory" ? event.value.records : []);
        expect(records.map(record => record.instanceId)).to.deep.equal(["d"]);
    });

    it("sends a process a newer record of itself than its own", async () => {
        directory.mergeRecord(createTestRecord("a", { state: ProcessState.LOST, recordNumber: 9n }));
        const { events } = open(createTestRecord("a"));
        await time.advance(100);
        const [event] = events;
        expect(event?.case === "directory" && event.value.records[0]?.recordNumber).to.equal(9n);
    });
});
