/*
 * The names of a family of numbered files.
 */

/** The names of files of one family, each a prefix and a number, such as the segments. */
export interface NumberedFileNames {
    /** Gets the name of the file with a number. */
    getFileName(fileNumber: number): string;
    /** Gets the numbers of the family's files among file names, in ascending order; other names are ignored. */
    getFileNumbers(names: readonly string[]): readonly number[];
}
