/*
 * Directory records for tests.
 */
import { create } from "@bufbuild/protobuf";
import { ProcessRecord, ProcessRecordSchema } from "../../src/protocol";

/** Creates the record of a sidecar in a data centre. */
export function createSidecarRecord(instanceId: string, dataCentre = "a"): ProcessRecord {
    return create(ProcessRecordSchema, { instanceId, dataCentre, serves: "large", incarnation: "1" });
}
