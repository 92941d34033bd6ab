/*
 * Stores the quarantine records that the control members send over the session.
 */
import { QuarantineRecord, QuarantineUpdate } from "../../protocol";
import { QuarantineView } from "./QuarantineView";

/** Creates a view without records. */
export function createQuarantineView(): QuarantineView {
    const records = new Map<string, QuarantineRecord>();
    return { getRecord: fingerprint => records.get(getRecordKey(fingerprint)), applyUpdate };

    function applyUpdate(update: QuarantineUpdate): void {
        if (update.complete) {
            records.clear();
        }
        for (const record of update.records) {
            const isActive = record.crashes > 0 || record.suspect || record.quarantined;
            if (isActive) {
                records.set(getRecordKey(record.fingerprint), record);
            }
            else {
                records.delete(getRecordKey(record.fingerprint));
            }
        }
    }
}

function getRecordKey(fingerprint: Uint8Array): string {
    return Buffer.from(fingerprint).toString("hex");
}
