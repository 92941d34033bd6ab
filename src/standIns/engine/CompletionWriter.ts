/*
 * The writer of a completion response.
 */
import { CompletionUsage } from "./CompletionUsage";

/** Writes one completion response. */
export interface CompletionWriter {
    /** Sends the headers. */
    start(): void;
    /** Writes one token. */
    writeToken(text: string): void;
    /** Sends the usage and the end marker. */
    end(usage: CompletionUsage, finishReason: string): void;
    /** Ends the response without its end marker, as an injected fault. */
    truncate(): void;
}
