/*
 * The outcome of parsing a numeric option of the command line.
 */

/** The number, undefined where the option is absent, or a message about an invalid value. */
export type NumberOptionOutcome =
    | { kind: "number"; value: number | undefined; }
    | { kind: "invalid"; message: string; };
