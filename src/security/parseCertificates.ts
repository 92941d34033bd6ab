/*
 * Parses PEM texts that may contain several certificates.
 */
import { X509Certificate } from "node:crypto";

const certificatePattern = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;

/**
 * Parses the certificates of a PEM text.
 * @param text - The content of a PEM file.
 * @returns The certificates in the order of the text; empty if there are none.
 * @throws An error if a certificate is malformed.
 */
export function parseCertificates(text: string): readonly X509Certificate[] {
    const pemBlocks = text.match(certificatePattern) ?? [];
    return pemBlocks.map(block => new X509Certificate(block));
}
