/*
 * What placement needs to know of a request.
 */
import { Priority } from "../protocol";

/** A request to be placed. */
export interface PlacementRequest {
    /** The model's or service's name. */
    modelOrService: string;
    /** The hashes of the prompt's pieces, shortest prefix first; empty for plain services and short prompts. */
    hashes: readonly string[];
    /** The prompt's length in tokens, by estimate. */
    promptTokens: number;
    /** A number that spreads requests without a prefix. */
    requestId: string;
    /** How urgent the request is, where that is known. */
    priority?: Priority;
    /** The instances that have failed or refused the request already. */
    excluded: ReadonlySet<string>;
}
