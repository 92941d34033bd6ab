/*
 * Applies new certificates to a running server.
 */
import type { SecureVersion, Server } from "node:tls";
import { TlsIdentity } from "./TlsIdentity";

/**
 * Replaces a server's certificates after each reload of its TLS identity. Open connections are not affected.
 * @param server - The server, of the `tls`, `https` or `http2` module.
 * @param identity - The server's TLS identity.
 * @param minimumVersion - The oldest version of TLS that is accepted.
 * @returns A function that stops applying new certificates.
 */
export function reloadCertificatesOnChange(
    server: Pick<Server, "setSecureContext">,
    identity: TlsIdentity,
    minimumVersion: SecureVersion = "TLSv1.2",
): () => void {
    return identity.addChangeListener(() => {
        const { certificate, key, authorities } = identity.getMaterial();
        server.setSecureContext({ cert: certificate, key, ca: authorities, minVersion: minimumVersion });
    });
}
