/*
 * The content of a TLS identity's files.
 */

/** The certificates and the private key, in PEM. */
export interface TlsMaterial {
    /** The certificate chain, the instance's own certificate first. */
    certificate: string;
    /** The private key. */
    key: string;
    /** The authorities that must have signed peers' certificates; undefined if peers need no certificate. */
    authorities: string | undefined;
}
