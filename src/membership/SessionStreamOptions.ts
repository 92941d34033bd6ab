/*
 * What one stream to a control member is made of.
 */
import { ProcessRecord, SessionEvent } from "../protocol";
import { SessionUpdate } from "../protocol";
import { AsyncQueue } from "../runtime";
import { ControlSessionOptions } from "./ControlSessionOptions";

/** The options of one stream. */
export interface SessionStreamOptions {
    /** What the session is made of. */
    session: ControlSessionOptions;
    /** The control member's address. */
    address: string;
    /** Ends the stream. */
    signal: AbortSignal;
    /** What goes out. */
    outgoingUpdates: AsyncQueue<SessionUpdate>;
    /** Gets the process's own record. */
    getOwnRecord: () => ProcessRecord;
    /** Called with each event that the session itself does not handle. */
    handleEvent: (event: SessionEvent["event"]) => void;
    /** Called with what the control member holds of this instance. */
    handleOwnRecordReceived: (record: ProcessRecord) => void;
    /** Called whenever the control member has been heard of. */
    handleEventReceived: () => void;
}
