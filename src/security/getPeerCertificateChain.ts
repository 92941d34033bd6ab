/*
 * Gets the certificates that a peer presented on a TLS connection.
 */
import { X509Certificate } from "node:crypto";
import type { DetailedPeerCertificate, TLSSocket } from "node:tls";

/**
 * Gets the peer's certificate chain.
 * @param socket - A connection whose handshake is complete.
 * @returns The peer's certificate, then its issuers as far as they are available; empty if it presented none.
 */
export function getPeerCertificateChain(socket: Pick<TLSSocket, "getPeerCertificate">): readonly X509Certificate[] {
    const chain: X509Certificate[] = [];
    let certificate: DetailedPeerCertificate | undefined = socket.getPeerCertificate(true);
    while (certificate?.raw !== undefined) {
        chain.push(new X509Certificate(certificate.raw));
        const issuer: DetailedPeerCertificate | undefined = certificate.issuerCertificate;
        certificate = issuer === certificate ? undefined : issuer;
    }
    return chain;
}
