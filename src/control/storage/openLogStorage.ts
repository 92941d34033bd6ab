/*
 * Opens a log's folder: locks it, validates its content, and recovers from the effects of a crash, such as a torn write.
 * Damage that a crash can't have caused is reported as corruption.
 */
import { randomUUID } from "node:crypto";
import { dirname, join, resolve } from "node:path";
import { getErrorMessage, hasErrorCode } from "../../errors";
import { createLogStorage } from "./createLogStorage";
import { createNodeFileSystem } from "./createNodeFileSystem";
import { createProcessTable } from "./createProcessTable";
import { createSegmentWriter } from "./createSegmentWriter";
import { describeStorageError } from "./describeStorageError";
import { encodeChecksummedFile } from "./encodeChecksummedFile";
import { encodeHardState } from "./encodeHardState";
import { FileKind } from "./FileKind";
import { HardState } from "./HardState";
import { lockFolder } from "./lockFolder";
import { LogFolderContent } from "./LogFolderContent";
import { LogStorage } from "./LogStorage";
import { OpenStorageOptions } from "./OpenStorageOptions";
import { OpenStorageOutcome } from "./OpenStorageOutcome";
import { readLogFolder } from "./readLogFolder";
import { RecordKind } from "./RecordKind";
import { segmentFileNames } from "./segmentFileNames";
import { StorageFileName } from "./StorageFileName";
import { StorageFileSystem } from "./StorageFileSystem";
import { temporaryFileSuffix } from "./temporaryFileSuffix";
import { writeFileAtomically } from "./writeFileAtomically";

/** The default size at which a segment is closed and a new one started, in bytes. */
const defaultSegmentBytes = 1_048_576;

/**
 * Opens the folder of one member's log, and recovers it after a crash.
 * @param options - The folder, and the dependencies for reading and writing it.
 */
export async function openLogStorage(options: OpenStorageOptions): Promise<OpenStorageOutcome> {
    const fileSystem = options.fileSystem ?? createNodeFileSystem();
    try {
        return await openAndLockFolder(options, fileSystem);
    }
    catch (thrown) {
        return { kind: "failed", reason: describeStorageError(thrown) };
    }
}

/** Locks and reads the folder, and releases the lock if the storage can't be created. */
async function openAndLockFolder(
    options: OpenStorageOptions,
    fileSystem: StorageFileSystem,
): Promise<OpenStorageOutcome> {
    const { folder, logger } = options;
    await fileSystem.createFolder(folder);
    const lock = await lockFolder(folder, fileSystem, options.processTable ?? createProcessTable());
    if (lock.kind === "taken") {
        return {
            kind: "locked",
            processId: lock.processId,
            reason: `The folder is in use by process ${lock.processId}`,
        };
    }
    const content = await readLogFolder(folder, fileSystem);
    if (content.kind === "corrupt") {
        await lock.release();
        logger.error({ folder }, content.reason);
        return content;
    }
    try {
        const storage = await recoverStorage(options, fileSystem, content.value, lock.release);
        return { kind: "opened", storage };
    }
    catch (thrown) {
        logger.error({ folder }, getErrorMessage(thrown));
        await lock.release();
        throw thrown;
    }
}

/** Recovers from the effects of a crash, and creates the storage. */
async function recoverStorage(
    options: OpenStorageOptions,
    fileSystem: StorageFileSystem,
    content: LogFolderContent,
    releaseLock: () => Promise<void>,
): Promise<LogStorage> {
    const { folder, logger, metrics } = options;
    const { snapshot, entries } = content;
    await removeTemporaryFiles(folder, fileSystem);
    for (const segmentNumber of content.obsoleteSegmentNumbers) {
        await fileSystem.remove(join(folder, segmentFileNames.getFileName(segmentNumber)));
    }
    logTornWrite(options, content);
    // A process that was killed may have left names that are not durable yet, and this one relies on what they show.
    await fileSystem.syncFolder(folder);
    const memberId = content.memberId ?? await createMemberIdentity(options, fileSystem);
    const hardState = content.hardState ?? await writeInitialHardState(options, fileSystem);
    const segmentWriter = await createSegmentWriter({
        folder,
        fileSystem,
        metrics,
        memberId,
        segments: content.segments,
        segmentBytes: options.segmentBytes ?? defaultSegmentBytes,
    });
    if (snapshot && content.needsReset) {
        const index = snapshot.index + 1n;
        logger.info({ index: String(index) }, "log is reset to start after its snapshot");
        entries.applyRecord({ kind: RecordKind.Reset, index });
        try {
            await segmentWriter.write([{ kind: RecordKind.Reset, index }]);
        }
        catch (thrown) {
            await segmentWriter.close();
            throw thrown;
        }
    }
    return createLogStorage({ folder, fileSystem, memberId, hardState, snapshot, entries, segmentWriter, releaseLock });
}

/** Removes temporary files that a crash left incomplete. */
async function removeTemporaryFiles(folder: string, fileSystem: StorageFileSystem): Promise<void> {
    const names = await fileSystem.listFolder(folder);
    for (const name of names.filter(candidate => candidate.endsWith(temporaryFileSuffix))) {
        await fileSystem.remove(join(folder, name));
    }
}

/** Logs the torn write that is truncated from the end of the log. */
function logTornWrite(options: OpenStorageOptions, content: LogFolderContent): void {
    const last = content.segments.at(-1);
    if (last && last.tornBytes > 0) {
        options.logger.warn(
            {
                file: segmentFileNames.getFileName(last.segmentNumber),
                wholeBytes: last.validBytes,
                cutBytes: last.tornBytes,
            },
            "truncated a torn write at the end of the log, which was never acknowledged",
        );
    }
}

/** Writes term and vote before the first entry or snapshot exists, so that their later absence is detected as a loss. */
async function writeInitialHardState(options: OpenStorageOptions, fileSystem: StorageFileSystem): Promise<HardState> {
    const hardState = { term: 0n, votedFor: "" };
    const content = encodeHardState(hardState);
    await writeFileAtomically(fileSystem, join(options.folder, StorageFileName.HardState), [content]);
    return hardState;
}

/**
 * Makes the folder's own name durable before it holds anything that other members rely on. A folder whose parent belongs
 * to someone else was not created by this program.
 */
async function syncParentFolder(options: OpenStorageOptions, fileSystem: StorageFileSystem): Promise<void> {
    const { folder, logger } = options;
    try {
        await fileSystem.syncFolder(dirname(resolve(folder)));
    }
    catch (thrown) {
        if (!hasErrorCode(thrown, "EACCES", "EPERM", "ENOENT", "EINVAL", "ENOSYS", "ENOTSUP", "EROFS")) {
            throw thrown;
        }
        logger.warn({ folder, problem: getErrorMessage(thrown) }, "the parent of the data folder can't be synced");
    }
}

/** Creates and stores the member identity of an empty folder. */
async function createMemberIdentity(options: OpenStorageOptions, fileSystem: StorageFileSystem): Promise<string> {
    await syncParentFolder(options, fileSystem);
    const memberId = (options.createMemberId ?? randomUUID)();
    const content = encodeChecksummedFile(FileKind.Identity, Buffer.from(memberId));
    await writeFileAtomically(fileSystem, join(options.folder, StorageFileName.Identity), [content]);
    options.logger.info({ memberId }, "created a member identity for the empty folder");
    return memberId;
}
