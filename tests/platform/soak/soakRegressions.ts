/*
 * Seeds of the soak that failed once.
 */

const readAfterLastAnswer = "an entry that stopped read a request after its last answer, and ended with it in flight";

/** Each seed with the cause of its failure. */
export const soakRegressions: readonly { seed: number; cause: string; }[] = [
    { seed: 217, cause: readAfterLastAnswer },
    { seed: 223, cause: readAfterLastAnswer },
    { seed: 226, cause: readAfterLastAnswer },
];
