/*
 * What makes two requests the same one, although each has an id of its own.
 */

/** The fields of a request that a caller repeats when it sends the request again. */
export interface RequestIdentity {
    /** The HTTP method. */
    method: string;
    /** The host that the caller addressed. */
    host: string;
    /** The path with its query, as the caller sent it. */
    target: string;
    /** The workspace that holds the caller's key; undefined for a request without a known key. */
    workspaceName: string | undefined;
    /** The whole body. */
    body: Uint8Array;
}
