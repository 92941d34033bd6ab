/*
 * The JSON form of a quarantine record in the lists that operators request.
 */

/** The quarantine record of a request as the operator interface returns it. */
export interface QuarantineJson {
    /** The fingerprint of the request: the digest of workspace and body, in hexadecimal. */
    fingerprint: string;
    /** How many crashes count against the request. */
    crashes: number;
    /** Whether the request must run alone on an engine. */
    isSuspect: boolean;
    /** Whether the request is refused. */
    isQuarantined: boolean;
    /** When the quarantine ends, in milliseconds since the epoch; 0 where there is none. */
    expiresMilliseconds: number;
}
