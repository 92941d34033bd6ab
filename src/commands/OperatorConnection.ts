/*
 * Where the control members are and by what token they are called.
 */

/** What a command needs to call control members. */
export interface OperatorConnection {
    /** The operator addresses, as `http://ip:port` or `https://ip:port`. */
    addresses: readonly string[];
    /** The operator's token. */
    token: string;
    /** The authorities that servers' certificates must come from, in PEM; the system's where absent. */
    authorities: string | undefined;
}
