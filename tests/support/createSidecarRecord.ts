/*
 * Directory records for tests.
 */
import { create } from "@bufbuild/protobuf";
import { ProcessRecord, ProcessRecordSchema } from "../../src/protocol";

/**
 * Creates the record of a sidecar that serves the model "large".
 * @param instanceId - The sidecar's instance id.
 * @param dataCentre - The data centre that it is in.
 */
export function createSidecarRecord(instanceId: string, dataCentre = "a"): ProcessRecord {
    return create(ProcessRecordSchema, { instanceId, dataCentre, serves: "large", incarnation: "1" });
}
