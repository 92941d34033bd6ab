/*
 * Records the origins of an entry process's streams at several control members, chosen by rendezvous hashing, and in its
 * own memory; so an origin survives the loss of the entry process and of any one member. Origins are sent in batches
 * while the engine prefills the prompt, which takes longer than the call. A member that has joined or restarted gets the
 * origins that the entry process still holds. A search asks all members, since not every member has every origin.
 */
import { CounterName, TaskName } from "../metrics";
import { StreamOrigin } from "../protocol";
import { detach, runAfter, waitWithTimeout } from "../runtime";
import { startTask } from "../supervision";
import { createStreamOriginStore } from "./createStreamOriginStore";
import { StreamOriginReply } from "./StreamOriginReply";
import { StreamOrigins } from "./StreamOrigins";
import { StreamOriginsOptions } from "./StreamOriginsOptions";

/** The members that hold each origin. */
const membersPerOrigin = 3;
/** How long an origin waits for others that are sent with it, in milliseconds: a fraction of a prefill. */
const batchMilliseconds = 5;
/** The timeout of a call, in milliseconds: several round trips within a region. */
const callTimeoutMilliseconds = 250;
/** How long a search waits for the origin of a later attempt once it has found one, in milliseconds. */
const laterAttemptMilliseconds = 30;

/** The maximum number of origins in one call, far below the limit on the size of a message. */
const maximumOriginsPerCall = 4_096;

/** An origin that waits to be sent. */
interface PendingOrigin {
    origin: StreamOrigin;
    /** The number of members that have yet to record it before it counts as recorded. */
    missingCount: number;
    resolve: (isRecorded: boolean) => void;
}

/**
 * Creates the stream origins of an entry process.
 * @param options - The client of the control members and other dependencies.
 */
export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
    const { client, getMemberAddresses, ranking, clock, logger, metrics } = options;
    const ownStore = createStreamOriginStore(clock);
    const memberIncarnations = new Map<string, string>();
    let pendingOrigins: PendingOrigin[] = [];
    let isReachable = true;
    return { record, find };

    function record(origin: StreamOrigin, replacesOtherVersion: boolean): Promise<boolean> {
        ownStore.add(origin);
        const isFirstOfBatch = pendingOrigins.length === 0;
        const missingCount = replacesOtherVersion ? getHolders(origin.requestId).length : 1;
        const recorded = new Promise<boolean>(resolve => pendingOrigins.push({ origin, missingCount, resolve }));
        detach(recorded.then(isRecorded => {
            if (!isRecorded) {
                metrics.addCount(CounterName.StreamOriginsUnrecorded);
            }
        }));
        if (isFirstOfBatch) {
            runAfter(clock, batchMilliseconds, () => startTask(TaskName.StreamOriginBatch, sendBatch, options));
        }
        // Where no member responds, waiting for them would delay each stream by the timeout.
        return isReachable ? recorded : Promise.resolve(false);
    }

    async function sendBatch(): Promise<void> {
        const batch = pendingOrigins;
        pendingOrigins = [];
        try {
            updateReachability(await sendToHolders(batch));
        }
        finally {
            // Only those that too few members have recorded are still unresolved.
            batch.forEach(({ resolve }) => resolve(false));
        }
    }

    function sendToHolders(batch: readonly PendingOrigin[]): Promise<readonly StreamOriginReply[]> {
        const batchByAddress = new Map<string, PendingOrigin[]>();
        for (const pending of batch) {
            for (const address of getHolders(pending.origin.requestId)) {
                batchByAddress.set(address, [...batchByAddress.get(address) ?? [], pending]);
            }
        }
        return Promise.all([...batchByAddress].map(([address, pendings]) => sendTo(address, pendings)));
    }

    /** Sends origins to one member; each is resolved as soon as enough of its holders have responded. */
    async function sendTo(address: string, pendings: readonly PendingOrigin[]): Promise<StreamOriginReply> {
        const origins = pendings.map(({ origin }) => origin);
        const reply = await client.record(address, origins, callTimeoutMilliseconds);
        if (reply.kind === "recorded") {
            pendings.forEach(pending => {
                pending.missingCount -= 1;
                if (pending.missingCount <= 0) {
                    pending.resolve(true);
                }
            });
            const { memberIncarnation } = reply;
            startTask(TaskName.StreamOriginRestoration, () => restoreMember(address, memberIncarnation), options);
        }
        return reply;
    }

    /** Records all origins that the entry process holds at a member that has joined or restarted. */
    async function restoreMember(address: string, memberIncarnation: string): Promise<void> {
        if (memberIncarnations.get(address) === memberIncarnation) {
            return;
        }
        memberIncarnations.set(address, memberIncarnation);
        let isRestored = false;
        try {
            isRestored = await recordAll(address);
        }
        finally {
            if (!isRestored) {
                memberIncarnations.delete(address);
            }
        }
    }

    /** Records all origins at a member that is to hold them; returns whether it has recorded them. */
    async function recordAll(address: string): Promise<boolean> {
        const origins = ownStore.getAll().filter(({ requestId }) => getHolders(requestId).includes(address));
        for (let start = 0; start < origins.length; start += maximumOriginsPerCall) {
            const part = origins.slice(start, start + maximumOriginsPerCall);
            const reply = await client.record(address, part, callTimeoutMilliseconds);
            if (reply.kind === "failed") {
                logger.debug({ address, reason: reply.reason }, "can't record stream origins at a new member");
                return false;
            }
        }
        logger.info({ address, count: origins.length }, "recorded stream origins at a new member");
        return true;
    }

    function updateReachability(replies: readonly StreamOriginReply[]): void {
        const wasReachable = isReachable;
        isReachable = replies.some(reply => reply.kind === "recorded");
        if (isReachable === wasReachable) {
            return;
        }
        if (isReachable) {
            logger.info({}, "records stream origins again");
            return;
        }
        const reasons = replies.map(reply => reply.kind === "failed" ? reply.reason : "");
        logger.warn({ reasons }, "can't record stream origins");
    }

    function getHolders(requestId: string): readonly string[] {
        return ranking.getHighest(requestId, getMemberAddresses(), address => address, membersPerOrigin);
    }

    async function find(requestId: string): Promise<StreamOrigin | undefined> {
        const origin = ownStore.get(requestId) ?? await findAtMembers(requestId);
        metrics.addCount(origin ? CounterName.StreamOriginsFound : CounterName.StreamOriginsNotFound);
        return origin;
    }

    /** Finds the origin of the latest attempt among the replies that arrive soon after the first origin. */
    async function findAtMembers(requestId: string): Promise<StreamOrigin | undefined> {
        const found: StreamOrigin[] = [];
        let resolveFirst: () => void = () => undefined;
        const first = new Promise<void>(resolve => resolveFirst = resolve);
        const all = Promise.all(
            getMemberAddresses().map(async address => {
                const reply = await client.find(address, requestId, callTimeoutMilliseconds);
                if (reply.kind === "failed") {
                    logger.debug({ address, reason: reply.reason }, "can't search for a stream origin");
                }
                else if (reply.kind === "found") {
                    found.push(reply.origin);
                    resolveFirst();
                }
            }),
        );
        await Promise.race([all, first]);
        await waitWithTimeout(clock, all, laterAttemptMilliseconds);
        return found.sort((left, right) => right.attemptNumber - left.attemptNumber)[0];
    }
}
