/*
 * Seeds with which a soak has failed in the past. CI runs them as regression tests.
 */

const readAfterLastResponse =
    "a stopping entry process read a request after its last response, and exited with that request in flight";

/** The seeds, each with the cause of the failure at the time. */
export const soakRegressions: readonly { seed: number; cause: string; }[] = [
    { seed: 217, cause: readAfterLastResponse },
    { seed: 223, cause: readAfterLastResponse },
    { seed: 226, cause: readAfterLastResponse },
];
