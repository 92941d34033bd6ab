/*
 * The result of decoding a file of a log's folder.
 */

/** The outcome of decoding; the reason is a predicate that completes a sentence starting with the file's name. */
export type DecodeOutcome<T> =
    | { kind: "decoded"; value: T; }
    | { kind: "corrupt"; reason: string; };
