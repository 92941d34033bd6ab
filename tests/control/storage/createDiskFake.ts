import { basename } from "node:path";
import { StorageFile, StorageFileSystem } from "../../../src/control/storage";
import { RandomSource } from "../../../src/runtime";

/** A fake disk with one folder, which loses unsynced data when its machine crashes. */
export interface DiskFake {
    /** The file system for the current process; it fails once that process has crashed. */
    readonly fileSystem: StorageFileSystem;
    /**
     * Crashes the machine and loses unsynced data at random: unsynced bytes may survive in part or be overwritten with
     * zeros, and unsynced creations, renames and removals of files may survive or not.
     */
    crash(): void;
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
    return {
        get fileSystem() {
            return createFileSystem();
        },
        crash,
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
            createFolder: async () => checkProcess(),
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

        function checkProcess(): void {
            if (ownGeneration !== generation) {
                throw Object.assign(new Error("The process has crashed"), { code: "EBADF" });
            }
        }

        async function syncFolder(): Promise<void> {
            checkProcess();
            checkFailure();
            await waitForSync?.();
            checkProcess();
            syncedNames = new Map(names);
        }
    }

    function openFile(path: string, checkProcess: () => void): StorageFile {
        const name = basename(path);
        const file = names.get(name) ?? { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
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
                file.content = Buffer.concat([file.content, data.subarray(0, freeBytes)]);
                freeBytes = 0;
                throw Object.assign(new Error("ENOSPC: the disk fake is full"), { code: "ENOSPC" });
            }
            freeBytes -= data.length;
            const isFull = isFailing() && failureCode === "ENOSPC";
            const written = isFull ? data.subarray(0, random.getInteger(data.length)) : data;
            file.content = Buffer.concat([file.content, written]);
            checkFailure();
        }

        async function sync(): Promise<void> {
            checkProcess();
            checkFailure();
            const { content } = file;
            await waitForSync?.();
            checkProcess();
            file.synced = content;
        }

        async function truncate(byteCount: number): Promise<void> {
            checkProcess();
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
        const files = new Set([...survivingNames.values()]);
        files.forEach(dropUnsyncedData);
        names = survivingNames;
        syncedNames = new Map(names);
    }

    /** Loses a random part of a file's content that was written after its last sync. */
    function dropUnsyncedData(file: FakeFile): void {
        const { content, synced } = file;
        const isGrown = content.length > synced.length && content.subarray(0, synced.length).equals(synced);
        if (isGrown) {
            const tail = Buffer.from(content.subarray(synced.length));
            const retained = tail.subarray(0, random.getInteger(tail.length + 1));
            if (retained.length > 0 && random.getFraction() < 0.5) {
                retained.fill(0, random.getInteger(retained.length));
            }
            file.content = Buffer.concat([synced, retained]);
        }
        else {
            file.content = random.getFraction() < 0.5 ? synced : content;
        }
        file.synced = file.content;
    }

    function clear(): void {
        endProcess();
        names = new Map();
        syncedNames = new Map();
    }

    function corruptByte(name: string, offset: number): void {
        const file = names.get(name)!;
        file.content = Buffer.from(file.content);
        file.content[offset] = file.content[offset]! ^ 0xff;
        file.synced = file.content;
    }

    function getSize(name: string): number {
        return names.get(name)?.content.length ?? 0;
    }
}
