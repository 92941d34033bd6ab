/*
 * Opens a TLS connection to another process of the system, and checks that its certificate names the role needed.
 */
import { X509Certificate } from "node:crypto";
import { connect, type PeerCertificate, type TLSSocket } from "node:tls";
import { getCertificateIdentity, TlsIdentity } from "../security";
import { Role } from "../settings";

/**
 * Opens a connection. It fails unless a trusted authority signed the peer's certificate and the certificate names
 * the role.
 * @param url - The peer's address, as `https://ip:port`.
 * @param identity - This process's TLS identity.
 * @param role - The role that the peer must have.
 * @returns The socket, whose handshake may not be finished; failures are emitted as its `error` event.
 */
export function connectToPeer(url: URL, identity: TlsIdentity, role: Role): TLSSocket {
    return connect({
        host: url.hostname.replace(/^\[|\]$/g, ""),
        port: Number(url.port),
        secureContext: identity.getSecureContext(),
        ALPNProtocols: ["h2"],
        rejectUnauthorized: true,
        checkServerIdentity: (host, certificate) => getPeerError(certificate, role, host),
    });
}

/** Gets an error if a verified certificate doesn't name a role. */
function getPeerError(certificate: PeerCertificate, role: Role, host: string): Error | undefined {
    const peer = getCertificateIdentity(new X509Certificate(certificate.raw));
    return peer?.roles.includes(role) ? undefined : new Error(`the certificate of ${host} does not name role ${role}`);
}
