/*
 * Names files with a prefix and a number of fixed width, so that sorting by name also sorts by number.
 */
import { NumberedFileNames } from "./NumberedFileNames";

/** The number of digits, padded with zeros. */
const numberDigits = 16;

/**
 * Creates the names of a family of files.
 * @param prefix - The prefix of the names, which a hyphen separates from the number.
 */
export function createNumberedFileNames(prefix: string): NumberedFileNames {
    const pattern = new RegExp(`^${prefix}-(\\d{${numberDigits}})$`);
    return { getFileName, getFileNumbers };

    function getFileName(fileNumber: number): string {
        return `${prefix}-${String(fileNumber).padStart(numberDigits, "0")}`;
    }

    function getFileNumbers(names: readonly string[]): readonly number[] {
        const numbers = names.flatMap(name => {
            const match = pattern.exec(name);
            return match ? [Number(match[1])] : [];
        });
        return numbers.sort((first, second) => first - second);
    }
}
