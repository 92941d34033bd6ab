import { create, toBinary } from "@bufbuild/protobuf";
import { ConsensusRole, LogStatus, ReplicatedLog } from "../../src/control/consensus";
import { createSubjectEvidence, runCrashQuarantine } from "../../src/crashQuarantine";
import { createDocumentState, DocumentState, RoutingDocument } from "../../src/documents";
import { createEntryRegistry, createFeedHandler, FeedClient } from "../../src/feed";
import { createFleetTracker } from "../../src/fleet";
import { createSilentLogger } from "../../src/logging";
import { DocumentCommandSchema, FleetInstance } from "../../src/protocol";
import { createTestFactHub, createTestFactStore } from "../facts/createTestFacts";
import { ManualClock } from "../support/createManualClock";

/** The control members of a test, of which only the leader is played. */
export interface TestControl extends FeedClient {
    /** The state that outlives the leaders. */
    readonly documents: DocumentState;
    /** Makes polls fail, or succeed again. */
    setReachable(isReachable: boolean): void;
    /** Replaces the leader by one that has received no reports yet. */
    changeLeader(): void;
    /** Shows the leader the list of backend servers. */
    setInstances(instances: readonly FleetInstance[]): void;
}

/**
 * Creates control members with a routing document.
 * @param clock - The clock.
 * @param document - The routing document; entry processes decode its JSON.
 */
export function createTestControl(clock: ManualClock, document: RoutingDocument): TestControl {
    const documents = createDocumentState();
    let term = 0n;
    let isReachable = true;
    let list: readonly FleetInstance[] = [];
    let leader = createLeader();
    const value = { version: BigInt(document.version), document: Buffer.from(JSON.stringify(document)) };
    apply(toBinary(DocumentCommandSchema, create(DocumentCommandSchema, { command: { case: "putDocument", value } })));
    return {
        documents,
        setReachable: value => isReachable = value,
        changeLeader: () => {
            leader.stop();
            leader = createLeader();
        },
        setInstances: instances => {
            list = instances;
            leader.fleet.setInstances(instances);
        },
        poll: async (...[, request]) => {
            if (!isReachable) {
                return { kind: "failed", reason: "control can't be reached" };
            }
            return { kind: "answered", response: await leader.feed.poll(request) };
        },
    };

    function apply(bytes: Uint8Array): void {
        documents.apply(bytes, { term, index: 1n, timeMilliseconds: clock.getWallMilliseconds() });
    }

    function createLeader() {
        term += 1n;
        const stopController = new AbortController();
        const fleet = createFleetTracker(documents, clock, () => feed.wakePolls());
        const evidence = createSubjectEvidence(clock);
        const entryRegistry = createEntryRegistry(clock);
        const facts = createTestFactStore(clock, `control ${term}`);
        facts.addListener(() => feed.wakePolls());
        const log: Pick<ReplicatedLog, "propose" | "getStatus" | "readBarrier"> = {
            getStatus: () => ({ role: ConsensusRole.Leader, term, members: [] }) as unknown as LogStatus,
            readBarrier: () => Promise.resolve({ kind: "passed", index: 1n }),
            propose: bytes => {
                apply(bytes);
                return Promise.resolve({ kind: "committed", term, index: 1n, result: new Uint8Array() });
            },
        };
        const feed = createFeedHandler({
            log,
            documents,
            fleet,
            entryRegistry,
            factHub: createTestFactHub({
                clock,
                store: facts,
                storeId: String(term),
                getEntryIds: entryRegistry.getIds,
            }),
            clock,
        });
        fleet.reset(term);
        fleet.setInstances(list);
        void runCrashQuarantine({
            log,
            documents,
            facts,
            evidence,
            fleetTracker: fleet,
            clock,
            logger: createSilentLogger(),
            signal: stopController.signal,
        });
        return { fleet, feed, stop: () => stopController.abort() };
    }
}
