/*
 * The construction of the messages that a control member sends to a process.
 */
import { create } from "@bufbuild/protobuf";
import { SessionEvent, SessionEventSchema } from "../../protocol";

/**
 * Creates a message to a process.
 * @param event - The content of the message.
 */
export function createSessionEvent(event: SessionEvent["event"]): SessionEvent {
    return create(SessionEventSchema, { event });
}
