/*
 * The names of lock files.
 */
import { createNumberedFileNames } from "./createNumberedFileNames";

/** The lock files, numbered by how often the folder was opened. */
export const lockFileNames = createNumberedFileNames("lock");
