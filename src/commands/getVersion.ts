/*
 * Gets the version of the program.
 */

declare const BASILWING_VERSION: string | undefined;

/** Gets the program's version, which the build defines; `development` where the program runs from source. */
export function getVersion(): string {
    return typeof BASILWING_VERSION === "string" ? BASILWING_VERSION : "development";
}
