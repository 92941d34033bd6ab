/*
 * One incarnation of an engine, from a start to the next crash or stop.
 */
import { IncomingMessage, ServerResponse } from "node:http";

/** One incarnation of an engine. */
export interface EngineIncarnation {
    /** The incarnation's name. */
    readonly incarnation: string;
    /** Handles an HTTP request. */
    handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
    /** Gets the hashes of the cached blocks. */
    getCachedHashes(): readonly string[];
    /** Gets the weights version served. */
    getVersion(): string;
    /** Ends the incarnation; runs in progress are lost. */
    end(): void;
}
