/*
 * The options of a TLS server.
 */
import type { SecureVersion, TlsOptions } from "node:tls";
import { TlsIdentity } from "./TlsIdentity";

const handshakeTimeoutMilliseconds = 10_000;

/**
 * Creates the options of a TLS server. If the identity has authorities, clients must present a certificate signed by
 * one of them.
 * @param identity - The server's TLS identity; see `reloadCertificatesOnChange` for its changes.
 * @param minimumVersion - The oldest version of TLS that is accepted.
 */
export function createTlsServerOptions(identity: TlsIdentity, minimumVersion: SecureVersion = "TLSv1.2"): TlsOptions {
    const { certificate, key, authorities } = identity.getMaterial();
    return {
        cert: certificate,
        key,
        ca: authorities,
        requestCert: authorities !== undefined,
        rejectUnauthorized: authorities !== undefined,
        minVersion: minimumVersion,
        handshakeTimeout: handshakeTimeoutMilliseconds,
    };
}
