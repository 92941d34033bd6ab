/*
 * Declares the events of a process's session with the control members that other parts of the process handle.
 */
import { Order, QuarantineUpdate, QuotaGrant } from "../protocol";

/** Callbacks for events from the control members. */
export interface SessionListener {
    /** Called with an order to the backend server. */
    handleOrder?(order: Order): void;
    /** Called with granted quota. */
    handleQuotaGrant?(grant: QuotaGrant): void;
    /** Called with changes of the quarantine. */
    handleQuarantineUpdate?(update: QuarantineUpdate): void;
    /** Called when a control member reports that the platform is removing this instance. */
    handleLeavingRequest?(): void;
}
