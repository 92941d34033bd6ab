/*
 * Writes the response to one completion request.
 */
import { End } from "../protocol";
import { Refusal } from "./Refusal";

/** Writes the response to one completion request, streamed or as one JSON object. */
export interface CompletionWriter {
    /** Writes a part of the text; resolves when the connection can accept more data. */
    writeText(text: string): Promise<void>;
    /** Ends the response; resolves when its last part has been written to the response stream. */
    end(end: End): Promise<void>;
    /** Sends a refusal, or ends a response that has started to stream with an error event. */
    refuse(refusal: Refusal): void;
}
