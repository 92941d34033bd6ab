/*
 * Gets what a peer showed on a TLS connection.
 */
import { X509Certificate } from "node:crypto";
import type { DetailedPeerCertificate, TLSSocket } from "node:tls";

/**
 * Gets the peer's certificate and those that signed it, as far as they are known; empty where it showed none.
 * @param socket - A connection whose handshake is over.
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
