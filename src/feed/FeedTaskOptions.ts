/*
 * What the task that follows control is made of.
 */
import { Logger } from "../logging";
import { Clock, RandomSource } from "../runtime";
import { FeedClient } from "./FeedClient";
import { FeedState } from "./FeedState";

/** The options of the task. */
export interface FeedTaskOptions {
    /** The entry's id. */
    entryId: string;
    /** Gets the internal addresses of members that are known without control's help. */
    getSeedAddresses(): readonly string[];
    /** The way to the members. */
    client: FeedClient;
    /** What the answers update. */
    state: FeedState;
    /** The passing of time. */
    clock: Clock;
    /** Spreads the polls of a herd. */
    random: RandomSource;
    /** Where gained and lost members are logged. */
    logger: Logger;
    /** Ends the task. */
    signal: AbortSignal;
    /** Called after each update. */
    onUpdate?: () => void;
}
