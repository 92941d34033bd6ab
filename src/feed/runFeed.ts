/*
 * The entry's task that follows control: it polls the leader, and turns to another member as soon as one fails or names
 * another leader. Each poll has a deadline of its own, so that a connection that went silent costs no more than one.
 */
import { create } from "@bufbuild/protobuf";
import { readStopwatch } from "../membership";
import { PollOutcome, PollRequestSchema } from "../protocol";
import { FeedTaskOptions } from "./FeedTaskOptions";

/** How long a poll waits for news, in milliseconds: the age that an undisturbed entry's document reaches. */
const pollWaitMilliseconds = 400;
/** How long beyond its wait an answer may take, in milliseconds: a round of the group's heartbeats and some delay. */
const responseTimeoutMilliseconds = 600;
/** The wait after a poll without an answer, in milliseconds; drawn anew each time up to this. */
const maximumRetryDelayMilliseconds = 150;

/**
 * Follows control until the signal ends it.
 * @param options - What the task is made of.
 */
export async function runFeed(options: FeedTaskOptions): Promise<void> {
    const { entryId, client: connection, state, clock, random, logger, signal } = options;
    let members: readonly string[] = [];
    let address: string | undefined;
    let isConnected = false;
    let position = random.getInteger(1_024);
    while (!signal.aborted) {
        address ??= getNextAddress();
        const sent = readStopwatch(clock);
        const request = create(PollRequestSchema, {
            entryId,
            documentVersion: BigInt(state.getTable()?.document.version ?? 0),
            fleetRevision: state.getFleetRevision(),
            waitMilliseconds: isConnected ? pollWaitMilliseconds : 0,
        });
        const timeout = responseTimeoutMilliseconds + request.waitMilliseconds;
        const answer = await connection.poll(address, request, timeout);
        if (answer.kind === "failed") {
            recordDisconnected(address, answer.reason);
            address = undefined;
            await clock.sleep(random.getUnit() * maximumRetryDelayMilliseconds, signal);
            continue;
        }
        const { response } = answer;
        members = response.memberAddresses.length > 0 ? response.memberAddresses : members;
        if (response.outcome === PollOutcome.CURRENT) {
            recordConnected(address);
            state.applyResponse(response, sent);
            options.onUpdate?.();
            continue;
        }
        recordDisconnected(address, "does not lead");
        const isNamed = response.leaderAddress !== "" && response.leaderAddress !== address;
        address = isNamed ? response.leaderAddress : undefined;
        await clock.sleep(random.getUnit() * maximumRetryDelayMilliseconds, signal);
    }

    /** Gets the next of the known members and seeds in turn. */
    function getNextAddress(): string {
        const known = [...new Set([...members, ...options.getSeedAddresses()])];
        position += 1;
        return known[position % known.length]!;
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
