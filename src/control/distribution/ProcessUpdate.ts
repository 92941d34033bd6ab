/*
 * An update of a process that a part other than the distribution handles.
 */
import { SessionEvent, SessionUpdate } from "../../protocol";

/** An update of a process, with a function that replies to it. */
export interface ProcessUpdate {
    /** The process's instance id. */
    instanceId: string;
    /** The process's incarnation. */
    incarnation: string;
    /** The update: a quota request or an order report. */
    update: SessionUpdate;
    /** Sends an event to the process through the member that has its session. */
    reply: (event: SessionEvent) => void;
}
