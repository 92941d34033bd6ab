/*
 * Since when the platform's list has left out an instance.
 */
import { PlatformInstance } from "../../membership";

/** What the platform's list leaves out. */
export interface PlatformListTracker {
    /** Takes in a list. */
    recordList(instances: readonly PlatformInstance[]): void;
    /** Gets how long lists have come without the instance, in milliseconds; 0 where it is listed or no list has come. */
    getAbsenceMilliseconds(instanceId: string): number;
}
