/*
 * Identifies processes by number, start time and boot of the machine, so that a lock left by a killed process is known as
 * such even where its number is in use again.
 */
import { readFile } from "node:fs/promises";
import { isErrorCode } from "../../errors";
import { LockOwner } from "./LockOwner";
import { ProcessTable } from "./ProcessTable";

const bootIdPath = "/proc/sys/kernel/random/boot_id";
/** The place of the start time among the fields that follow the process's name. */
const startTimeFieldIndex = 19;

/** Creates the identification of processes by the machine's own tables. */
export function createProcessTable(): ProcessTable {
    return { getOwnProcess, isRunning };

    async function getOwnProcess(): Promise<LockOwner> {
        return {
            processId: process.pid,
            startTime: await readStartTime(process.pid),
            bootId: (await readFileOrEmpty(bootIdPath)).trim(),
        };
    }

    async function isRunning(owner: LockOwner): Promise<boolean> {
        const bootId = (await readFileOrEmpty(bootIdPath)).trim();
        if (owner.bootId !== bootId || !processExists(owner.processId)) {
            return false;
        }
        return owner.startTime === await readStartTime(owner.processId);
    }
}

/** Tells whether a process of a number exists. */
function processExists(processId: number): boolean {
    try {
        process.kill(processId, 0);
        return true;
    }
    catch (thrown) {
        return isErrorCode(thrown, "EPERM");
    }
}

/** Reads when a process was started, in ticks since the machine started; empty where the system does not tell. */
async function readStartTime(processId: number): Promise<string> {
    const text = await readFileOrEmpty(`/proc/${processId}/stat`);
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return fields[startTimeFieldIndex] ?? "";
}

/** Reads a file of the system; empty where it is missing. */
async function readFileOrEmpty(path: string): Promise<string> {
    try {
        return await readFile(path, "utf8");
    }
    catch {
        return "";
    }
}
