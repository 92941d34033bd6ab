/*
 * The command-line options for the connection to the control members.
 */

/** The connection options of a command that calls control members. */
export interface OperatorConnectionOptions {
    /** The addresses; each text may hold several, separated by commas. */
    addresses: readonly string[];
    /** The path of the file with the operator's token; undefined where the environment holds the token. */
    tokenFile: string | undefined;
    /** The path of the file with the certificate authorities, in PEM; undefined for those that Node.js trusts. */
    authorityFile: string | undefined;
    /** Whether the token may be sent over plain HTTP to another machine. */
    allowsPlain: boolean;
}
