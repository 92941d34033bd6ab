/*
 * Seeds of the soak that failed once.
 */

/** Each seed with the cause of its failure. */
export const soakRegressions: readonly { seed: number; cause: string; }[] = [];
