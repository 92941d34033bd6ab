/*
 * The limit on its requests that a backend server names with a response.
 */

/** How many requests a backend server takes from all entry processes together, while it says so. */
export type RequestLimit =
    | { kind: "none"; }
    | { kind: "limited"; requestsPerSecond: number; }
    /** The response names something that is no limit; the limit named before stays in force. */
    | { kind: "malformed"; text: string; };
