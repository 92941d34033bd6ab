/*
 * What the command line says of control members and token.
 */

/** The options of a command that calls control members. */
export interface OperatorConnectionOptions {
    /** The addresses given; may hold several, separated by commas. */
    addresses: readonly string[];
    /** The file that holds the token. */
    tokenFile: string | undefined;
    /** The file that holds the authorities, in PEM. */
    authorityFile: string | undefined;
    /** Whether the token may go over plain HTTP to another machine. */
    allowsPlain: boolean;
}
