/*
 * How long the platform's list has left out each instance.
 */
import { PlatformInstance } from "../../membership";

/** Tracks which instances the platform's list contains. */
export interface PlatformListTracker {
    /** Records a newly read list. */
    recordList(instances: readonly PlatformInstance[]): void;
    /**
     * Gets for how long lists have been read without the instance, in milliseconds; 0 if the last list contains it or no
     * list has been read.
     */
    getAbsenceMilliseconds(instanceId: string): number;
}
