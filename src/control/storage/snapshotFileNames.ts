/*
 * The names of the snapshot files of a log's folder.
 */
import { createNumberedFileNames } from "./createNumberedFileNames";

/** The names of snapshot files, numbered by the index of the last entry that the snapshot covers. */
export const snapshotFileNames = createNumberedFileNames("snapshot");
