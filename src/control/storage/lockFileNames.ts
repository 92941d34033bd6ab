/*
 * The names of the lock files of a log's folder.
 */
import { createNumberedFileNames } from "./createNumberedFileNames";

/** The names of lock files, numbered in the order in which processes locked the folder. */
export const lockFileNames = createNumberedFileNames("lock");
