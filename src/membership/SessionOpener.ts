/*
 * Declares how a process opens its stream to a control member, so that tests can substitute the network.
 */
import { SessionEvent, SessionUpdate } from "../protocol";

/**
 * Opens a stream to a control member.
 * @param address - The member's internal address.
 * @param updates - The messages that the process sends.
 * @param signal - Ends the stream.
 * @returns The events that the member sends; iterating throws if the stream breaks.
 */
export type SessionOpener = (
    address: string,
    updates: AsyncIterable<SessionUpdate>,
    signal: AbortSignal,
) => AsyncIterable<SessionEvent>;
