/*
 * The options of the polling task of an entry process.
 */
import { FactSync } from "../facts";
import { Logger } from "../logging";
import { Clock, RandomSource } from "../runtime";
import { FeedClient } from "./FeedClient";
import { FeedState } from "./FeedState";
import { PollExtension } from "./PollExtension";

/** The options of the polling task. */
export interface FeedTaskOptions {
    /** The instance id of the entry process. */
    entryId: string;
    /** Gets the internal addresses of control members from a source other than the feed; at least one. */
    getSeedAddresses(): readonly string[];
    /** Sends the polls. */
    client: FeedClient;
    /** The state that the responses update. */
    state: FeedState;
    /** Exchanges facts with the leader. */
    factSync: FactSync;
    /** What else travels with the polls. */
    extension?: PollExtension;
    /** Called before each poll, to publish facts. */
    onBeforePoll?: () => void;
    /** Provides the time and the delays between retries. */
    clock: Clock;
    /** Randomizes the first member and the retry delays, so that entry processes do not poll in step. */
    random: RandomSource;
    /** Logs when the task connects to a member or loses it. */
    logger: Logger;
    /** Stops the task. */
    signal: AbortSignal;
    /** Called after each update of the state. */
    onUpdate?: () => void;
}
