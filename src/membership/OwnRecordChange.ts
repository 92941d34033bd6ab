/*
 * Declares what a process may change in its own record.
 */
import { ProcessRecord } from "../protocol";

/** The fields of a process's own record that change while it runs. */
export type OwnRecordChange = Partial<
    Pick<
        ProcessRecord,
        "state" | "address" | "backendIncarnation" | "version" | "adapters" | "engineRole" | "fencingNumber"
    >
>;
