/*
 * Names files by a prefix and a number of fixed width, so that a listing shows them in order.
 */
import { NumberedFileNames } from "./NumberedFileNames";

const numberDigits = 16;

/**
 * Creates the names of a family of files.
 * @param prefix - What the names start with.
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
