/*
 * Informs entry processes which requests are suspected of crashing engines.
 */
import { create } from "@bufbuild/protobuf";
import { QuarantinePart } from "../control/claims";
import { QuarantineUpdateSchema, SessionEvent, SessionEventSchema } from "../protocol";

/**
 * Creates a session event with all quarantine records.
 * @param quarantine - The quarantine of the replicated state.
 * @param isComplete - Whether the records replace all records of former events.
 */
export function createQuarantineEvent(quarantine: QuarantinePart, isComplete: boolean): SessionEvent {
    const value = create(QuarantineUpdateSchema, { complete: isComplete, records: [...quarantine.getRecords()] });
    return create(SessionEventSchema, { event: { case: "quarantine", value } });
}
