/*
 * The resources of which a role uses a part.
 */

/** The resources. The value of each is its unit on the page; us/s are microseconds of processor time a second. */
export enum Resource {
    Processor = "us/s",
    Memory = "bytes",
    Traffic = "bytes/s",
    Messages = "messages/s",
    Time = "ms",
}
