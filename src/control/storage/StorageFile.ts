/*
 * An open file of durable storage.
 */

/** A file open for appending; errors of the file system are thrown unchanged. */
export interface StorageFile {
    /** Appends bytes at the file's end. */
    append(data: Uint8Array): Promise<void>;
    /** Flushes all written data to disk, as fsync does. */
    sync(): Promise<void>;
    /** Truncates the file to a size in bytes. */
    truncate(byteCount: number): Promise<void>;
    /** Closes the file without flushing it. */
    close(): Promise<void>;
}
