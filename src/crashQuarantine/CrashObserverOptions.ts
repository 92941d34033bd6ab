/*
 * The options of a crash observer.
 */
import { BackendService } from "../documents";
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { FleetInstance } from "../protocol";
import { Clock } from "../runtime";
import { InstanceState } from "./InstanceState";

/** The options of the crash observer of an entry process. */
export interface CrashObserverOptions {
    /** Differs after each start of the entry process; part of the ids of its reports. */
    incarnation: string;
    /**
     * Asks whether an instance still serves at its address.
     * @param instance - The instance.
     * @param service - The service that it belongs to.
     * @param signal - Ends the call.
     */
    checkInstance(instance: FleetInstance, service: BackendService, signal: AbortSignal): Promise<InstanceState>;
    /** Gets an instance as the list shows it now; undefined where it does not. */
    getListedInstance(instanceId: string): FleetInstance | undefined;
    /** Gets the requests that control suspects, whose completions the observer records. */
    getSuspectedRequestIds(): ReadonlySet<string>;
    /** The clock. */
    clock: Clock;
    /** Logs crashes with the subjects that may have caused them. */
    logger: Logger;
    /** Counts crashes. */
    metrics: Metrics;
    /** Ends the background checks. */
    signal: AbortSignal;
}
