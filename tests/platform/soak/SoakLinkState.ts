/*
 * What a proxy does to the connections that pass it.
 */

/** The states of a proxied link. */
export enum SoakLinkState {
    /** Passes everything on. */
    Open = "open",
    /** Passes everything on late. */
    Delayed = "delayed",
    /** Passes nothing on from the server's side; the other way works. */
    CutOneWay = "cutOneWay",
    /** Passes nothing on, without closing anything. */
    Silent = "silent",
}
