/*
 * The addresses and credentials with which a command calls the control members.
 */

/** The addresses, token and certificate authorities for calls to control members. */
export interface OperatorConnection {
    /** The operator addresses, as `http://ip:port` or `https://ip:port`. */
    addresses: readonly string[];
    /** The operator's token. */
    token: string;
    /** The certificate authorities that servers are verified against, in PEM; undefined for those of Node.js. */
    authorities: string | undefined;
}
