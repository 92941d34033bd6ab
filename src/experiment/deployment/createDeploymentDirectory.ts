/*
 * Creates the directory of one entry of an experiment. It is the product's own directory, updated directly whenever a
 * sidecar's state changes, since an experiment has no control members that distribute the states.
 */
import { create } from "@bufbuild/protobuf";
import { createDirectory, Directory } from "../../membership";
import { ProcessRecord, ProcessRecordSchema, ProcessRole, ProcessState } from "../../protocol";
import { Clock } from "../../runtime";
import { SidecarProcess } from "./SidecarProcess";

/**
 * Creates the directory of one entry.
 * @param sidecars - The sidecars to list.
 * @param clock - The clock of the directory.
 */
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
