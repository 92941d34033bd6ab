/*
 * Checks the certificate chain of an open connection again, after authorities have changed or certificates may have
 * expired.
 */
import { X509Certificate } from "node:crypto";

/**
 * Tells whether a chain that was verified at the handshake is still valid: none of its certificates has expired, and
 * one is signed by a trusted authority.
 * @param chain - The peer's certificate and its issuers.
 * @param authorities - The authorities that are currently trusted.
 * @param nowMilliseconds - The current time, in milliseconds since the epoch.
 */
export function isChainTrusted(
    chain: readonly X509Certificate[],
    authorities: readonly X509Certificate[],
    nowMilliseconds: number,
): boolean {
    const isValidNow = chain.every(certificate => Date.parse(certificate.validTo) > nowMilliseconds);
    return isValidNow && chain.some(certificate => authorities.some(authority => isIssuedBy(certificate, authority)));
}

/** Tells whether an authority signed a certificate. */
function isIssuedBy(certificate: X509Certificate, authority: X509Certificate): boolean {
    return certificate.checkIssued(authority) && certificate.verify(authority.publicKey);
}
