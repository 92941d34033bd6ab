/*
 * The properties of a request that decide its placement.
 */
import { Priority } from "../protocol";

/** A request to place. */
export interface PlacementRequest {
    /** The name of the model or plain service that the request is for. */
    modelOrService: string;
    /** The chained hashes of the prompt's blocks, shortest prefix first; empty for plain services and short prompts. */
    hashes: readonly string[];
    /** The prompt's estimated length in tokens. */
    promptTokens: number;
    /** The request's id, by which a placement may distribute requests without a prefix. */
    requestId: string;
    /** The request's priority, where it is known. */
    priority?: Priority;
    /** The ids of instances that have already failed or refused the request. */
    excluded: ReadonlySet<string>;
}
