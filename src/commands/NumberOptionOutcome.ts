/*
 * What became of reading a number from the command line.
 */

/** A read number, or what is wrong with it. */
export type NumberOptionOutcome =
    | { kind: "number"; value: number | undefined; }
    | { kind: "invalid"; message: string; };
