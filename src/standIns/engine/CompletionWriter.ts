/*
 * The writer of one answer.
 */
import { CompletionUsage } from "./CompletionUsage";

/** Writes one answer. */
export interface CompletionWriter {
    /** Sends the head. */
    start(): void;
    /** Sends one token. */
    writeToken(text: string): void;
    /** Sends the usage and the end marker. */
    end(usage: CompletionUsage, finishReason: string): void;
    /** Ends the answer without its end marker, as a fault. */
    truncate(): void;
}
