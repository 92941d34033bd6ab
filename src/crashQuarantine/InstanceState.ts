/*
 * Whether an instance still serves.
 */

/** The state of an instance at its address. */
export enum InstanceState {
    /** It responds. */
    Serving = "serving",
    /** Another instance responds at its address. */
    Ended = "ended",
    /** Nothing listens at its address: it has crashed, or takes no new connections while it ends its work. */
    Refusing = "refusing",
    /** It doesn't respond, or its connections fail. */
    Unknown = "unknown",
}
