import { ProcessTable } from "../../../src/control/storage";

/** A fake process table, whose processes a test starts and ends. */
export interface ProcessTableFake extends ProcessTable {
    /** Ends the current process, and starts the next one. */
    endProcess(): void;
}

/** Creates the process table of a machine on which one process runs at a time. */
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
