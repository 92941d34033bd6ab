/*
 * The environment variables of a process.
 */

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;
