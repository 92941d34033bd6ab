/*
 * The state that an entry process has received from the control members.
 */
import { RouteTable } from "../documents";
import { ClockReading } from "../membership";
import { FleetView, PollResponse } from "../protocol";
import { DesiredWeights } from "./DesiredWeights";

/** The entry process's copy of the routing document and of the fleet view, with the document's age. */
export interface FeedState {
    /** Gets the newest document's route table; undefined before the first document. */
    getRouteTable(): RouteTable | undefined;
    /** Gets the fleet view; undefined before the first one. */
    getFleet(): FleetView | undefined;
    /** Returns a promise that resolves once both a document and a fleet view have been received. */
    waitForInitialState(): Promise<void>;
    /** Gets the time since the fleet view was received, in milliseconds. */
    getFleetAgeMilliseconds(): number;
    /** Gets the revision of the fleet view; empty before the first one. */
    getFleetRevision(): string;
    /**
     * Gets the software versions of a service's backend servers, also of those that left a short time ago.
     * @param service - The service's name.
     */
    getSoftwareVersions(service: string): readonly string[];
    /**
     * Waits until the leader has confirmed or replaced the fleet view in response to a recent poll.
     * @param timeoutMilliseconds - How long to wait at most, in milliseconds.
     * @param maximumAgeMilliseconds - How long before the call that poll may have been sent, in milliseconds; by default it
     * must be sent after the call.
     * @returns Whether it has.
     */
    confirmFleet(timeoutMilliseconds: number, maximumAgeMilliseconds?: number): Promise<boolean>;
    /** Adds a listener that is called when a confirmation is needed at once; returns a function that removes it. */
    addConfirmationListener(listener: () => void): () => void;
    /** Gets the internal addresses of the control members; empty before the first response. */
    getMemberAddresses(): readonly string[];
    /** Gets the number of entry processes that share the limits of the system; at least 1. */
    getEntryCount(): number;
    /**
     * Gets the time at which the contact with control began, on the monotonic clock, in milliseconds; undefined before the first
     * response, and once the last one is so old that control no longer counts this process.
     */
    getContactStartMilliseconds(): number | undefined;
    /** Gets the time since the document was last confirmed as the newest, in milliseconds; Infinity if it never was. */
    getDocumentAgeMilliseconds(): number;
    /**
     * Gets the versions of a model's weights that operators have named most recently, with their ages.
     * @param model - The model's name.
     */
    getDesiredWeights(model: string): readonly DesiredWeights[];
    /**
     * Updates the state from a response.
     * @param response - A response with the outcome CURRENT.
     * @param sendTime - The time at which the poll was sent; the document's age is counted from it.
     */
    applyResponse(response: PollResponse, sendTime: ClockReading): void;
}
