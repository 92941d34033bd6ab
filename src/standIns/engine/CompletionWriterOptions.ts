/*
 * The options of createCompletionWriter.
 */

/** The options of a completion writer. */
export interface CompletionWriterOptions {
    /** The request id that the response carries. */
    requestId: string;
    /** The model's name. */
    model: string;
    /** Whether the response is a chat completion. */
    isChat: boolean;
    /** Whether the response is streamed. */
    isStreamed: boolean;
    /** The response's headers, in addition to the content type. */
    headers: Readonly<Record<string, string>>;
}
