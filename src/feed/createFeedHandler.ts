/*
 * Answers the polls of entry processes at the leader. The read barrier comes last, after the wait: the response
 * includes everything that was committed before the poll was sent, so that an entry process can count the age of its
 * document from the time at which it sent the poll.
 */
import { create } from "@bufbuild/protobuf";
import { ConsensusRole, createSignal, hasPassed } from "../control/consensus";
import { PollOutcome, PollRequest, PollResponse, PollResponseSchema } from "../protocol";
import { FeedHandler } from "./FeedHandler";
import { FeedHandlerOptions } from "./FeedHandlerOptions";

/** The maximum wait that a poll can request, in milliseconds: far below any limit on the age of documents. */
const maximumWaitMilliseconds = 2_000;

/**
 * Creates the feed handler of a control member.
 * @param options - The handler's log, state and clock.
 */
export function createFeedHandler(options: FeedHandlerOptions): FeedHandler {
    const { log, documents, fleet, entryRegistry, factHub, extension, clock } = options;
    const changeSignal = createSignal(clock);
    documents.addListener(wakePolls);
    return { poll, wakePolls };

    function wakePolls(): void {
        changeSignal.notify();
    }

    async function poll(request: PollRequest): Promise<PollResponse> {
        entryRegistry.recordPoll(request.entryId);
        factHub.readPoll(request);
        extension?.readPoll(request);
        const endMilliseconds = clock.getMonotonicMilliseconds()
            + Math.min(request.waitMilliseconds, maximumWaitMilliseconds);
        while (isLeader() && !hasChanges(request) && clock.getMonotonicMilliseconds() < endMilliseconds) {
            await changeSignal.wait(endMilliseconds - clock.getMonotonicMilliseconds());
        }
        const barrier = isLeader() ? await log.readBarrier() : undefined;
        if (!barrier || !hasPassed(barrier) || !isLeader()) {
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
            || request.fleetRevision !== fleet.getRevision()
            || factHub.hasNewFacts(request);
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
            entryCount: entryRegistry.getCount(),
            memberAddresses: getMemberAddresses(),
            ...factHub.createResponseFields(request),
            ...extension?.createResponseFields(request),
        });
    }

    function getMemberAddresses(): string[] {
        return log.getStatus().members.map(member => member.address);
    }
}
