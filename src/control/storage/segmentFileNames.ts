/*
 * The names of the segment files of a log's folder.
 */
import { createNumberedFileNames } from "./createNumberedFileNames";

/** The names of segment files, numbered in the order of their creation. */
export const segmentFileNames = createNumberedFileNames("segment");
