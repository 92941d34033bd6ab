/*
 * The names of segments.
 */
import { createNumberedFileNames } from "./createNumberedFileNames";

/** The segments, numbered in the order in which they were begun. */
export const segmentFileNames = createNumberedFileNames("segment");
