/*
 * Locks a folder against a second process. Each opening takes the next number with a file of its own, made whole before
 * it gets its name; the highest number holds the lock, unless its process has ended. Nothing has to be removed after a
 * process was killed, and two processes that find the same dead owner can't both win.
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
 * @param folder - The folder.
 * @param fileSystem - Where the folder is.
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

    /** Reads who took a number; undefined where the lock was released. */
    async function readOwner(lockNumber: number): Promise<LockOwner | undefined> {
        const content = await fileSystem.readFile(join(folder, lockFileNames.getFileName(lockNumber)));
        const text = content ? Buffer.from(content).toString("utf8") : "";
        return text === "" ? undefined : parseOwner(text);
    }

    /** Takes a number, unless another process took it first. */
    async function createLock(lockNumber: number): Promise<boolean> {
        const path = join(folder, lockFileNames.getFileName(lockNumber));
        const temporaryPath = `${path}.${ownProcess.processId}${temporaryFileSuffix}`;
        await writeOwner(temporaryPath, ownProcess);
        const isLinked = await fileSystem.link(temporaryPath, path);
        await fileSystem.remove(temporaryPath);
        return isLinked;
    }

    /** Writes who holds a lock; nothing where it is released. */
    async function writeOwner(path: string, owner: LockOwner | undefined): Promise<void> {
        const file = await fileSystem.openFile(path);
        await file.truncate(0);
        if (owner) {
            await file.append(Buffer.from(JSON.stringify(owner)));
        }
        await file.sync();
        await file.close();
    }

    /** Removes the locks of ended processes. */
    async function removeOlderLocks(ownNumber: number): Promise<void> {
        const numbers = lockFileNames.getFileNumbers(await fileSystem.listFolder(folder));
        for (const lockNumber of numbers.filter(candidate => candidate < ownNumber)) {
            await fileSystem.remove(join(folder, lockFileNames.getFileName(lockNumber)));
        }
    }
}

/** Parses the owner of a lock; undefined where the file is damaged, since a living owner's file never is. */
function parseOwner(text: string): LockOwner | undefined {
    try {
        const { processId, startTime, bootId } = JSON.parse(text) as LockOwner;
        return { processId, startTime, bootId };
    }
    catch {
        return undefined;
    }
}
