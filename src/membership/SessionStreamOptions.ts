/*
 * Declares what one stream to a control member depends on.
 */
import { ProcessRecord, SessionEvent } from "../protocol";
import { SessionUpdate } from "../protocol";
import { AsyncQueue } from "../runtime";
import { ControlSessionOptions } from "./ControlSessionOptions";

/** The options of one stream. */
export interface SessionStreamOptions {
    /** The options of the session that the stream belongs to. */
    session: ControlSessionOptions;
    /** The control member's address. */
    address: string;
    /** Ends the stream. */
    signal: AbortSignal;
    /** The messages to send; closed when the stream ends. */
    outgoingUpdates: AsyncQueue<SessionUpdate>;
    /** Gets the process's own record. */
    getOwnRecord: () => ProcessRecord;
    /** Called with each event that the stream doesn't handle itself. */
    handleEvent: (event: SessionEvent["event"]) => void;
    /** Called with the record that the control member holds of this instance. */
    handleOwnRecordReceived: (record: ProcessRecord) => void;
    /** Called whenever an event has arrived from the control member. */
    handleEventReceived: () => void;
}
