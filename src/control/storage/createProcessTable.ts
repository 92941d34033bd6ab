/*
 * Identifies processes by process id, start time and boot id. A lock left by a killed process is thus recognized as stale
 * even if its process id has been reused.
 */
import { readFile } from "node:fs/promises";
import { hasErrorCode } from "../../errors";
import { LockOwner } from "./LockOwner";
import { ProcessTable } from "./ProcessTable";

const bootIdPath = "/proc/sys/kernel/random/boot_id";
/** The index of the start time among the fields of /proc/PID/stat that follow the process's name. */
const startTimeFieldIndex = 19;

/** Creates the identification of processes by the operating system's process table. */
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
        if (owner.startTime === "") {
            return processExists(owner.processId);
        }
        const bootId = (await readFileOrEmpty(bootIdPath)).trim();
        if (owner.bootId !== bootId || !processExists(owner.processId)) {
            return false;
        }
        return owner.startTime === await readStartTime(owner.processId);
    }
}

/** Returns whether a process with the id exists, including processes of other users (EPERM). */
function processExists(processId: number): boolean {
    try {
        process.kill(processId, 0);
        return true;
    }
    catch (thrown) {
        return hasErrorCode(thrown, "EPERM");
    }
}

/** Reads a process's start time, in clock ticks since boot; empty if the system doesn't provide it. */
async function readStartTime(processId: number): Promise<string> {
    const text = await readFileOrEmpty(`/proc/${processId}/stat`);
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return fields[startTimeFieldIndex] ?? "";
}

/** Reads a text file; returns an empty text if it can't be read. */
async function readFileOrEmpty(path: string): Promise<string> {
    try {
        return await readFile(path, "utf8");
    }
    catch {
        return "";
    }
}
