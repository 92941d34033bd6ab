/*
 * Files whose names end in a number.
 */

/** A family of files whose names are a prefix and a number, such as the segments. */
export interface NumberedFileNames {
    /** Gets the name of the file with a number. */
    getFileName(fileNumber: number): string;
    /** Gets the numbers of the family's files among names, in rising order. */
    getFileNumbers(names: readonly string[]): readonly number[];
}
