/*
 * Parses a PEM file that may hold several certificates.
 */
import { X509Certificate } from "node:crypto";

const certificatePattern = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;

/**
 * Parses the certificates of a PEM text, in their order.
 * @param text - The file's content.
 */
export function parseCertificates(text: string): readonly X509Certificate[] {
    const pemBlocks = text.match(certificatePattern) ?? [];
    return pemBlocks.map(block => new X509Certificate(block));
}
