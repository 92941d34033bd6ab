/*
 * Seeds of the soak that failed once.
 */

const readAfterLastResponse = "an entry that stopped read a request after its last answer, and ended with it in flight";

/** Each seed with the cause of its failure. */
export const soakRegressions: readonly { seed: number; cause: string; }[] = [
    { seed: 217, cause: readAfterLastResponse },
    { seed: 223, cause: readAfterLastResponse },
    { seed: 226, cause: readAfterLastResponse },
];
