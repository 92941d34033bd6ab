/*
 * Describes file system errors, with the action that an operator has to take.
 */
import { getErrorMessage, hasErrorCode } from "../../errors";

/**
 * Describes an error of the file system.
 * @param thrown - The value that the file system threw.
 */
export function describeStorageError(thrown: unknown): string {
    if (hasErrorCode(thrown, "ENOSPC", "EDQUOT")) {
        return `The disk is full; free space and start the member again (${getErrorMessage(thrown)})`;
    }
    if (hasErrorCode(thrown, "EIO")) {
        return `The disk fails; replace the member (${getErrorMessage(thrown)})`;
    }
    if (hasErrorCode(thrown, "EROFS", "EACCES", "EPERM")) {
        return `The folder can't be written (${getErrorMessage(thrown)})`;
    }
    return `The file system operation failed (${getErrorMessage(thrown)})`;
}
