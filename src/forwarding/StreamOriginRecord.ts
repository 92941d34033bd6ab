/*
 * The record of where a stream began, as the forwarder tracks it.
 */

/** The origin of the last attempt of a new stream. */
export interface StreamOriginRecord {
    /** The software version of the attempt's backend server. */
    softwareVersion: string;
    /** Whether an earlier attempt was recorded with another version, so that this record must replace it. */
    replacesOtherVersion: boolean;
    /** Resolved with whether a control member holds the origin. */
    recorded: Promise<boolean>;
}
