/*
 * Answers the polls of entries at the leader. The read barrier comes last, after the wait: whatever was committed before
 * the poll was sent stands in the answer, so that an entry may count its freshness from the moment at which it sent the
 * poll.
 */
import { create } from "@bufbuild/protobuf";
import { ConsensusRole, createSignal } from "../control/consensus";
import { PollOutcome, PollRequest, PollResponse, PollResponseSchema } from "../protocol";
import { FeedHandler } from "./FeedHandler";
import { FeedHandlerOptions } from "./FeedHandlerOptions";

/** The longest wait that a poll may ask for, in milliseconds: far below any bound on freshness. */
const maximumWaitMilliseconds = 2_000;

/**
 * Creates the handler of a member.
 * @param options - What the handler is made of.
 */
export function createFeedHandler(options: FeedHandlerOptions): FeedHandler {
    const { log, documents, fleet, entryRegistry: entries, clock } = options;
    const signal = createSignal(clock);
    documents.addListener(wakePolls);
    return { poll, wakePolls };

    function wakePolls(): void {
        signal.notify();
    }

    async function poll(request: PollRequest): Promise<PollResponse> {
        entries.recordPoll(request.entryId);
        const end = clock.getMonotonicMilliseconds() + Math.min(request.waitMilliseconds, maximumWaitMilliseconds);
        while (isLeader() && !hasChanges(request) && clock.getMonotonicMilliseconds() < end) {
            await signal.wait(end - clock.getMonotonicMilliseconds());
        }
        const barrier = isLeader() ? await log.readBarrier() : undefined;
        if (barrier?.kind !== "passed" || !isLeader()) {
            return create(PollResponseSchema, {
                outcome: PollOutcome.NOT_LEADER,
                leaderAddress: log.getStatus().leaderAddress ?? "",
                memberAddresses: getMemberAddresses(),
            });
        }
        return createCurrentResponse(request);
    }

    function isLeader(): boolean {
        return log.getStatus().role === ConsensusRole.Leader;
    }

    function hasChanges(request: PollRequest): boolean {
        return Number(request.documentVersion) !== documents.getVersion()
            || request.fleetRevision !== fleet.getRevision();
    }

    function createCurrentResponse(request: PollRequest): PollResponse {
        const version = documents.getVersion();
        const revision = fleet.getRevision();
        const hasNewDocument = version > Number(request.documentVersion);
        const hasNewFleet = revision !== "" && revision !== request.fleetRevision;
        return create(PollResponseSchema, {
            outcome: PollOutcome.CURRENT,
            documentVersion: BigInt(version),
            document: hasNewDocument ? documents.getText() : new Uint8Array(),
            fleetRevision: revision,
            fleet: hasNewFleet ? fleet.getView() : undefined,
            entryCount: entries.getCount(),
            memberAddresses: getMemberAddresses(),
        });
    }

    function getMemberAddresses(): string[] {
        return log.getStatus().members.map(member => member.address);
    }
}
