/*
 * The entry process's task that polls the leader of the control members. When a poll fails or the member is not the
 * leader, the task polls another member. Each poll has a timeout of its own, so that an unresponsive connection delays
 * the task by at most one poll. A poll that waits for changes is replaced by one that does not as soon as this process has
 * a fact that the others need at once, or needs to know that its state is current.
 */
import { create } from "@bufbuild/protobuf";
import { readClocks } from "../membership";
import { PollOutcome, PollRequestSchema } from "../protocol";
import { FeedTaskOptions } from "./FeedTaskOptions";

/** How long a poll waits for changes, in milliseconds; without faults, the document's age also grows to this. */
const pollWaitMilliseconds = 400;
/** The timeout of a poll beyond its wait, in milliseconds: a heartbeat round of the control group and some delay. */
const responseTimeoutMilliseconds = 600;
/** How long an urgent fact waits for others before it is sent, in milliseconds, so that many facts share a poll. */
const urgentDelayMilliseconds = 25;
/** The maximum delay after a poll without a current response, in milliseconds; each delay is random up to this. */
const maximumRetryDelayMilliseconds = 150;

/**
 * Polls control members until the signal stops the task. Rejects where the state can't take over a response; the task may
 * then be started again, as the state's age grows until it has taken one over in full.
 * @param options - The client, the state to update and the task's other dependencies.
 */
export async function runFeed(options: FeedTaskOptions): Promise<void> {
    const { entryId, client, state, factSync, extension, clock, random, logger, signal } = options;
    let members: readonly string[] = [];
    let address: string | undefined;
    let isConnected = false;
    let position = random.getInteger(1_024);
    let isUrgent = false;
    let interruptWait: () => void = () => undefined;
    const removeListeners = [factSync.addUrgentListener(pollAtOnce), state.addConfirmationListener(pollAtOnce)];
    if (extension) {
        removeListeners.push(extension.addUrgentListener(pollAtOnce));
    }
    try {
        await pollMembers();
    }
    finally {
        removeListeners.forEach(remove => remove());
    }

    async function pollMembers(): Promise<void> {
        while (!signal.aborted) {
            address ??= getNextAddress();
            if (address === undefined) {
                await clock.sleep(random.getFraction() * maximumRetryDelayMilliseconds, signal);
                continue;
            }
            if (isConnected && isUrgent) {
                await clock.sleep(urgentDelayMilliseconds, signal);
            }
            const waits = isConnected && !isUrgent;
            isUrgent = false;
            options.onBeforePoll?.();
            const request = create(PollRequestSchema, {
                entryId,
                documentVersion: BigInt(state.getRouteTable()?.document.version ?? 0),
                fleetRevision: state.getFleetRevision(),
                ...factSync.createPollFields(),
                ...extension?.createPollFields(),
                waitMilliseconds: waits ? pollWaitMilliseconds : 0,
            });
            const timeoutMilliseconds = responseTimeoutMilliseconds + request.waitMilliseconds;
            const interruption = new AbortController();
            const sendTime = readClocks(clock);
            interruptWait = waits ? () => interruption.abort() : () => undefined;
            const result = await client.poll(address, request, timeoutMilliseconds, interruption.signal);
            if (interruption.signal.aborted) {
                continue;
            }
            if (result.kind === "failed") {
                recordDisconnected(address, result.reason);
                address = undefined;
                await clock.sleep(random.getFraction() * maximumRetryDelayMilliseconds, signal);
                continue;
            }
            const { response } = result;
            members = response.memberAddresses.length > 0 ? response.memberAddresses : members;
            if (response.outcome === PollOutcome.CURRENT) {
                recordConnected(address);
                extension?.prepareResponse();
                state.applyResponse(response, sendTime);
                factSync.readResponse(response);
                extension?.readResponse(response);
                options.onUpdate?.();
                continue;
            }
            recordDisconnected(address, "is not the leader");
            const namesOtherLeader = response.leaderAddress !== "" && response.leaderAddress !== address;
            address = namesOtherLeader ? response.leaderAddress : undefined;
            await clock.sleep(random.getFraction() * maximumRetryDelayMilliseconds, signal);
        }
    }

    function pollAtOnce(): void {
        isUrgent = true;
        interruptWait();
    }

    /** Gets the next address of the known members and seeds, in round-robin order; undefined if there are none. */
    function getNextAddress(): string | undefined {
        const addresses = [...new Set([...members, ...options.getSeedAddresses()])];
        position += 1;
        return addresses[position % addresses.length];
    }

    function recordConnected(member: string): void {
        if (!isConnected) {
            isConnected = true;
            logger.info({ member }, "follows a control member");
        }
    }

    function recordDisconnected(member: string, reason: string): void {
        if (isConnected) {
            isConnected = false;
            logger.warn(
                { member, reason, ageMilliseconds: Math.round(state.getDocumentAgeMilliseconds()) },
                "lost control",
            );
        }
    }
}
