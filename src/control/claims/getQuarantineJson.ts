/*
 * Converts a quarantine record to the JSON form that operators get.
 */
import { QuarantineRecord } from "../../protocol";
import { QuarantineJson } from "./QuarantineJson";

/** Gets the JSON form of a quarantine record. */
export function getQuarantineJson(record: QuarantineRecord): QuarantineJson {
    return {
        fingerprint: Buffer.from(record.fingerprint).toString("hex"),
        crashes: record.crashes,
        isSuspect: record.suspect,
        isQuarantined: record.quarantined,
        expiresMilliseconds: Number(record.expiresMilliseconds),
    };
}
