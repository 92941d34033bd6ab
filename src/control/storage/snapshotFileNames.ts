/*
 * The names of snapshots.
 */
import { createNumberedFileNames } from "./createNumberedFileNames";

/** The snapshots, numbered by the index that they hold. */
export const snapshotFileNames = createNumberedFileNames("snapshot");
