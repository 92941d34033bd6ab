import { create, MessageInitShape } from "@bufbuild/protobuf";
import { ProcessRecord, ProcessRecordSchema, ProcessRole, ProcessState } from "../../src/protocol";

/**
 * Creates the record of a sidecar that is ready to serve the model `large`.
 * @param instanceId - The sidecar's instance id.
 * @param values - Fields that differ from the defaults.
 */
export function createTestRecord(
    instanceId: string,
    values: MessageInitShape<typeof ProcessRecordSchema> = {},
): ProcessRecord {
    return create(ProcessRecordSchema, {
        instanceId,
        incarnation: "1",
        role: ProcessRole.COMPANION,
        state: ProcessState.READY,
        address: `${instanceId}:1`,
        serves: "large",
        recordNumber: 1n,
        ...values,
    });
}
