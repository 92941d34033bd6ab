/*
 * Locks a folder against use by a second process. Each process that opens the folder creates the lock file with the next
 * number, which is written completely before it gets its name. The process of the highest number holds the lock, unless
 * that process has ended. A killed process thus leaves nothing that has to be removed, and of several processes that find
 * the same dead owner only one obtains the lock.
 */
import { join } from "node:path";
import { lockFileNames } from "./lockFileNames";
import { LockOutcome } from "./LockOutcome";
import { LockOwner } from "./LockOwner";
import { ProcessTable } from "./ProcessTable";
import { StorageFileSystem } from "./StorageFileSystem";
import { temporaryFileSuffix } from "./temporaryFileSuffix";

/**
 * Locks a folder.
 * @param folder - The path of the folder.
 * @param fileSystem - The file system that contains the folder.
 * @param processTable - The identification of processes.
 */
export async function lockFolder(
    folder: string,
    fileSystem: StorageFileSystem,
    processTable: ProcessTable,
): Promise<LockOutcome> {
    const ownProcess = await processTable.getOwnProcess();
    const previousNumber = await getHighestNumber();
    const previousOwner = previousNumber === 0 ? undefined : await readOwner(previousNumber);
    if (previousOwner && await processTable.isRunning(previousOwner)) {
        return { kind: "taken", processId: previousOwner.processId };
    }
    const ownNumber = previousNumber + 1;
    const isCreated = await createLock(ownNumber);
    const highestNumber = await getHighestNumber();
    if (!isCreated || highestNumber !== ownNumber) {
        const otherOwner = await readOwner(highestNumber);
        return { kind: "taken", processId: otherOwner?.processId ?? ownProcess.processId };
    }
    await removeOlderLocks(ownNumber);
    return { kind: "locked", release: () => writeOwner(join(folder, lockFileNames.getFileName(ownNumber)), undefined) };

    async function getHighestNumber(): Promise<number> {
        return lockFileNames.getFileNumbers(await fileSystem.listFolder(folder)).at(-1) ?? 0;
    }

    /** Reads the owner of the lock with a number; undefined if the lock has been released. */
    async function readOwner(lockNumber: number): Promise<LockOwner | undefined> {
        const content = await fileSystem.readFile(join(folder, lockFileNames.getFileName(lockNumber)));
        const text = content ? Buffer.from(content).toString("utf8") : "";
        return text === "" ? undefined : parseOwner(text);
    }

    /** Creates the lock with a number; returns false if another process created it first. */
    async function createLock(lockNumber: number): Promise<boolean> {
        const path = join(folder, lockFileNames.getFileName(lockNumber));
        const temporaryPath = `${path}.${ownProcess.processId}${temporaryFileSuffix}`;
        await writeOwner(temporaryPath, ownProcess);
        const isLinked = await fileSystem.link(temporaryPath, path);
        await fileSystem.remove(temporaryPath);
        return isLinked;
    }

    /** Writes the owner to a lock file; an empty file is a released lock. */
    async function writeOwner(path: string, owner: LockOwner | undefined): Promise<void> {
        const file = await fileSystem.openFile(path);
        try {
            await file.truncate(0);
            if (owner) {
                await file.append(Buffer.from(JSON.stringify(owner)));
            }
            await file.sync();
        }
        finally {
            await file.close();
        }
    }

    /** Removes the locks with lower numbers, whose processes have ended or released them. */
    async function removeOlderLocks(ownNumber: number): Promise<void> {
        const numbers = lockFileNames.getFileNumbers(await fileSystem.listFolder(folder));
        for (const lockNumber of numbers.filter(candidate => candidate < ownNumber)) {
            await fileSystem.remove(join(folder, lockFileNames.getFileName(lockNumber)));
        }
    }
}

/** Parses the owner of a lock; undefined if the file is damaged, which the file of a running owner never is. */
function parseOwner(text: string): LockOwner | undefined {
    try {
        const { processId, startTime, bootId } = JSON.parse(text) as LockOwner;
        return { processId, startTime, bootId };
    }
    catch {
        return undefined;
    }
}
