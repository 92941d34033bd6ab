/*
 * Lets a listener use new certificates without a restart.
 */
import type { SecureVersion, Server } from "node:tls";
import { TlsIdentity } from "./TlsIdentity";

/**
 * Replaces a listener's certificates whenever the identity's files change; open connections stay.
 * @param server - The listener, of the `tls`, `https` or `http2` module.
 * @param identity - The identity that the listener shows.
 * @param minimumVersion - The oldest version of TLS that is spoken.
 * @returns A function that ends the following.
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
