/*
 * How the end of a response is marked.
 */

/** What tells the receiver of a response where its body ends. */
export enum ResponseFraming {
    ContentLength = "contentLength",
    Chunks = "chunks",
    /** Neither a length nor chunks: the body ends when the connection is closed. */
    ConnectionEnd = "connectionEnd",
}
