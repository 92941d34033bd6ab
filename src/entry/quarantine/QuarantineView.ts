/*
 * The quarantine records of requests that may crash engines.
 */
import { QuarantineRecord, QuarantineUpdate } from "../../protocol";

/** An entry's copy of the quarantine records that the control members hold. */
export interface QuarantineView {
    /** Gets the record of a request by its fingerprint; undefined where there is none. */
    getRecord(fingerprint: Uint8Array): QuarantineRecord | undefined;
    /** Applies an update that the control members sent. */
    applyUpdate(update: QuarantineUpdate): void;
}
