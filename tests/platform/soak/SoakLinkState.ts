/*
 * How a proxy treats the connections that pass through it.
 */

/** The states of a proxy's link. */
export enum SoakLinkState {
    /** Forwards everything at once. */
    Open = "open",
    /** Forwards everything with a delay. */
    Delayed = "delayed",
    /** Drops what comes from the server; the other direction works. */
    CutOneWay = "cutOneWay",
    /** Drops everything, and closes no connection. */
    Silent = "silent",
}
