/*
 * Creates the messages that a process sends to its control member.
 */
import { create } from "@bufbuild/protobuf";
import { SessionUpdate, SessionUpdateSchema } from "../protocol";

/**
 * Creates a message to a control member.
 * @param update - The content of the message.
 */
export function createSessionUpdate(update: SessionUpdate["update"]): SessionUpdate {
    return create(SessionUpdateSchema, { update });
}
