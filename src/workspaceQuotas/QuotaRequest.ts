/*
 * A request as the quota of its workspace sees it.
 */
import { Logger } from "../logging";

/** A request that asks to be admitted. */
export interface QuotaRequest {
    /** The name of the workspace. */
    workspace: string;
    /** The tokens that the request states; undefined where it states none. */
    tokens: number | undefined;
    /** How long its caller waits, in milliseconds. */
    remainingMilliseconds: number;
    /** Aborted once the request has ended. */
    signal: AbortSignal;
    /** Logs with the request's id. */
    logger: Logger;
}
