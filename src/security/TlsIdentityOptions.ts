/*
 * The options of a TLS identity: its files and how changes of them are detected.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { TlsSettings } from "../settings";

/** The options of a TLS identity. */
export interface TlsIdentityOptions {
    /** The paths of the certificate, key and authority files. */
    settings: TlsSettings;
    /** The clock for certificate validity and for the interval between checks. */
    clock: Clock;
    /** The logger for successful and failed reloads. */
    logger: Logger;
    /** The interval between checks for changed files, in milliseconds; 5 000 if absent. */
    pollIntervalMilliseconds?: number;
}
