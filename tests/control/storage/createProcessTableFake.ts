import { ProcessTable } from "../../../src/control/storage";

/** Processes that a test starts and ends. */
export interface ProcessTableFake extends ProcessTable {
    /** Ends the current process, and lets the next one begin. */
    endProcess(): void;
}

/** Creates a machine on which one process runs at a time. */
export function createProcessTableFake(): ProcessTableFake {
    let processId = 1;
    return {
        getOwnProcess: async () => ({ processId, startTime: "", bootId: "" }),
        isRunning: async owner => owner.processId === processId,
        endProcess: () => {
            processId += 1;
        },
    };
}
