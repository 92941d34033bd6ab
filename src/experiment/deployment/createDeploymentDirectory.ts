/*
 * The directory of one entry of an experiment: the product's own, fed with the sidecars' states as they change, since
 * there are no control members to hand them on.
 */
import { create } from "@bufbuild/protobuf";
import { createDirectory, Directory } from "../../membership";
import { ProcessRecord, ProcessRecordSchema, ProcessRole, ProcessState } from "../../protocol";
import { Clock } from "../../runtime";
import { SidecarProcess } from "./SidecarProcess";

/** Creates the directory of one entry. */
export function createDeploymentDirectory(sidecars: readonly SidecarProcess[], clock: Clock): Directory {
    const directory = createDirectory({ clock });
    let recordNumber = 0n;
    for (const process of sidecars) {
        update(process);
        process.sidecar.addStateListener(() => update(process));
    }
    return directory;

    function update(process: SidecarProcess): void {
        recordNumber += 1n;
        directory.mergeRecord(createRecord(process, recordNumber));
    }
}

function createRecord(process: SidecarProcess, recordNumber: bigint): ProcessRecord {
    const state = process.sidecar.getBackendState();
    return create(ProcessRecordSchema, {
        instanceId: process.instanceId,
        incarnation: process.incarnation,
        role: ProcessRole.COMPANION,
        state: state.isReady ? ProcessState.READY : ProcessState.STARTING,
        address: process.address,
        backendKind: process.backendKind,
        backendIncarnation: state.incarnation,
        serves: process.serves,
        version: state.version,
        recordNumber,
    });
}
