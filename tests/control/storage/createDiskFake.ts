import { basename, dirname } from "node:path";
import { StorageFile, StorageFileSystem } from "../../../src/control/storage";
import { RandomSource } from "../../../src/runtime";
import { loseUnsyncedWrites } from "./loseUnsyncedWrites";
import { UnsyncedWrite } from "./UnsyncedWrite";

/**
 * A fake disk with one folder, which loses unsynced data when its machine crashes. A sync of a file covers its bytes
 * only; its name, and that of the folder in its parent, survive a crash for certain once the folder above is synced.
 */
export interface DiskFake {
    /** The file system for the current process; it fails once that process has crashed. */
    readonly fileSystem: StorageFileSystem;
    /**
     * Crashes the machine and loses unsynced data at random: each unsynced write may survive, be missing, torn or
     * overwritten with zeros, and each unsynced creation, rename and removal of a file or the folder may survive or not.
     */
    crash(): void;
    /** Crashes the machine, or ends only its process, after a number of operations of any kind. */
    stopAfter(operationCount: number, stop: "crash" | "endProcess"): void;
    /** Makes a write, sync or rename fail with a system error code, after a number of successful ones. */
    failAfter(operationCount: number, code: "ENOSPC" | "EIO"): void;
    /** Limits the bytes that can still be appended; a write beyond them stores what fits and fails with ENOSPC. */
    setFreeBytes(byteCount: number): void;
    /** Ends the current process; its files remain as they are. */
    endProcess(): void;
    /** Gets the number of files that the current process holds open. */
    getOpenFileCount(): number;
    /** Removes all files, and ends the current process. */
    clear(): void;
    /** Inverts the byte at an offset of a file, durably. */
    corruptByte(name: string, offset: number): void;
    /** Gets the names of the files. */
    getNames(): readonly string[];
    /** Gets a file's size in bytes. */
    getSize(name: string): number;
}

/** A file of the fake disk. */
interface FakeFile {
    /** The content that the current process sees. */
    content: Buffer;
    /** The content as of the last sync. */
    synced: Buffer;
    /** The writes since then, in order. */
    unsyncedWrites: readonly UnsyncedWrite[];
}

/** The options of a fake disk. */
interface DiskFakeOptions {
    /** The random source that decides what a crash loses. */
    random: RandomSource;
    /** Waits for the duration of a sync; none by default. */
    waitForSync?: () => Promise<void>;
}

/** Creates an empty fake disk. */
export function createDiskFake({ random, waitForSync }: DiskFakeOptions): DiskFake {
    let names = new Map<string, FakeFile>();
    let syncedNames = new Map<string, FakeFile>();
    let operationsToFailure = Infinity;
    let failureCode = "EIO";
    let freeBytes = Infinity;
    let openFileCount = 0;
    let generation = 0;
    let operationsToStop = Infinity;
    let stopProcess = endProcess;
    let folder = { path: "", exists: false, isSynced: false };
    return {
        get fileSystem() {
            return createFileSystem();
        },
        crash,
        stopAfter,
        failAfter,
        setFreeBytes: byteCount => {
            freeBytes = byteCount;
        },
        endProcess,
        getOpenFileCount: () => openFileCount,
        clear,
        corruptByte,
        getNames: () => [...names.keys()],
        getSize,
    };

    /** Creates the file system for the current process; after that process has crashed, all its operations fail. */
    function createFileSystem(): StorageFileSystem {
        const ownGeneration = generation;
        return {
            createFolder: async path => runIfAlive(() => createFolder(path)),
            listFolder: async () => runIfAlive(() => [...names.keys()].sort()),
            syncFolder,
            readFile: async path => runIfAlive(() => names.get(basename(path))?.content),
            openFile: async path => runIfAlive(() => openFile(path, checkProcess)),
            rename: async (fromPath, toPath) => runIfAlive(() => rename(fromPath, toPath)),
            link: async (fromPath, toPath) => runIfAlive(() => link(fromPath, toPath)),
            remove: async path => runIfAlive(() => void names.delete(basename(path))),
        };

        function runIfAlive<T>(operation: () => T): T {
            checkProcess();
            return operation();
        }

        /** Counts an operation, and fails if the process has ended or ends with it. */
        function checkProcess(): void {
            if (ownGeneration === generation) {
                countOperation();
            }
            if (ownGeneration !== generation) {
                throw Object.assign(new Error("The process has crashed"), { code: "EBADF" });
            }
        }

        async function syncFolder(path: string): Promise<void> {
            checkProcess();
            checkFailure();
            await waitForSync?.();
            checkProcess();
            if (path === dirname(folder.path)) {
                folder.isSynced = true;
            }
            else {
                syncedNames = new Map(names);
            }
        }
    }

    function createFolder(path: string): void {
        if (!folder.exists) {
            folder = { path, exists: true, isSynced: false };
        }
    }

    function countOperation(): void {
        operationsToStop -= 1;
        if (operationsToStop < 0) {
            stopProcess();
        }
    }

    function stopAfter(operationCount: number, stop: "crash" | "endProcess"): void {
        operationsToStop = operationCount;
        stopProcess = stop === "crash" ? crash : endProcess;
    }

    function openFile(path: string, checkProcess: () => void): StorageFile {
        const name = basename(path);
        const file = names.get(name) ?? createFile();
        names.set(name, file);
        openFileCount += 1;
        const ownGeneration = generation;
        return { append, sync, truncate, close };

        async function close(): Promise<void> {
            openFileCount -= ownGeneration === generation ? 1 : 0;
        }

        async function append(data: Uint8Array): Promise<void> {
            checkProcess();
            if (data.length > freeBytes) {
                addBytes(data.subarray(0, freeBytes));
                freeBytes = 0;
                throw Object.assign(new Error("ENOSPC: the disk fake is full"), { code: "ENOSPC" });
            }
            freeBytes -= data.length;
            const isFull = isFailing() && failureCode === "ENOSPC";
            const written = isFull ? data.subarray(0, random.getInteger(data.length)) : data;
            addBytes(written);
            checkFailure();
        }

        function addBytes(data: Uint8Array): void {
            const write = { kind: "append" as const, offset: file.content.length, data };
            file.unsyncedWrites = [...file.unsyncedWrites, write];
            file.content = Buffer.concat([file.content, data]);
        }

        async function sync(): Promise<void> {
            checkProcess();
            checkFailure();
            const { content, unsyncedWrites } = file;
            await waitForSync?.();
            checkProcess();
            file.synced = content;
            file.unsyncedWrites = file.unsyncedWrites.filter(write => !unsyncedWrites.includes(write));
        }

        async function truncate(byteCount: number): Promise<void> {
            checkProcess();
            file.unsyncedWrites = [...file.unsyncedWrites, { kind: "truncate", byteCount }];
            file.content = file.content.subarray(0, byteCount);
        }
    }

    function rename(fromPath: string, toPath: string): void {
        checkFailure();
        const file = names.get(basename(fromPath))!;
        names.delete(basename(fromPath));
        names.set(basename(toPath), file);
    }

    function link(fromPath: string, toPath: string): boolean {
        if (names.has(basename(toPath))) {
            return false;
        }
        names.set(basename(toPath), names.get(basename(fromPath))!);
        return true;
    }

    function isFailing(): boolean {
        return operationsToFailure <= 1;
    }

    function checkFailure(): void {
        operationsToFailure -= 1;
        if (operationsToFailure <= 0) {
            operationsToFailure = Infinity;
            throw Object.assign(new Error(`${failureCode}: a failure of the disk fake`), { code: failureCode });
        }
    }

    function failAfter(operationCount: number, code: "ENOSPC" | "EIO"): void {
        operationsToFailure = operationCount + 1;
        failureCode = code;
    }

    function endProcess(): void {
        generation += 1;
        openFileCount = 0;
        operationsToStop = Infinity;
    }

    function crash(): void {
        endProcess();
        operationsToFailure = Infinity;
        const survivingNames = new Map(syncedNames);
        for (const [name, file] of names) {
            if (survivingNames.get(name) !== file && random.getFraction() < 0.5) {
                survivingNames.set(name, file);
            }
        }
        for (const name of syncedNames.keys()) {
            if (!names.has(name) && random.getFraction() < 0.5) {
                survivingNames.delete(name);
            }
        }
        if (folder.exists && !folder.isSynced && random.getFraction() < 0.5) {
            folder.exists = false;
            survivingNames.clear();
        }
        folder.isSynced = true;
        const files = new Set([...survivingNames.values()]);
        files.forEach(file => setContent(file, loseUnsyncedWrites(file.synced, file.unsyncedWrites, random)));
        names = survivingNames;
        syncedNames = new Map(names);
    }

    function clear(): void {
        endProcess();
        names = new Map();
        syncedNames = new Map();
    }

    function createFile(): FakeFile {
        return { content: Buffer.alloc(0), synced: Buffer.alloc(0), unsyncedWrites: [] };
    }

    /** Sets a file's content durably. */
    function setContent(file: FakeFile, content: Buffer): void {
        file.content = content;
        file.synced = content;
        file.unsyncedWrites = [];
    }

    function corruptByte(name: string, offset: number): void {
        const file = names.get(name)!;
        const content = Buffer.from(file.content);
        content[offset] = content[offset]! ^ 0xff;
        setContent(file, content);
    }

    function getSize(name: string): number {
        return names.get(name)?.content.length ?? 0;
    }
}
