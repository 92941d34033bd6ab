/*
 * The settings of a TLS identity.
 */

/** The files of a TLS identity; reloaded when they change. */
export interface TlsSettings {
    /** The file with the certificate chain, in PEM. */
    certificateFile: string;
    /** The file with the private key, in PEM. */
    keyFile: string;
    /** The file with the authorities that verify peers' certificates, in PEM; enables mutual TLS. */
    authorityFile?: string;
}
