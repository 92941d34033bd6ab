/*
 * Reads the files of a TLS identity, and checks that they are valid and belong together before they are used.
 */
import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFile } from "node:fs/promises";
import { getErrorMessage } from "../errors";
import { TlsSettings } from "../settings";
import { parseCertificates } from "./parseCertificates";
import { TlsMaterial } from "./TlsMaterial";
import { TlsMaterialOutcome } from "./TlsMaterialOutcome";

/**
 * Reads the certificate, the key and the authorities.
 * @param settings - The paths of the files.
 * @param nowMilliseconds - The current time in milliseconds since the epoch, at which the certificate must not have
 * expired.
 * @returns The content of the files, or the problem if they can't be used.
 */
export async function readTlsMaterial(settings: TlsSettings, nowMilliseconds: number): Promise<TlsMaterialOutcome> {
    try {
        const material = await readFiles(settings);
        const problem = getMaterialProblem(material, nowMilliseconds);
        return problem === undefined ? { kind: "read", material } : { kind: "invalid", problem };
    }
    catch (error) {
        return { kind: "invalid", problem: getErrorMessage(error) };
    }
}

/** Reads the files that the settings name. */
async function readFiles(settings: TlsSettings): Promise<TlsMaterial> {
    const certificate = await readFile(settings.certificateFile, "utf8");
    const key = await readFile(settings.keyFile, "utf8");
    const { authorityFile } = settings;
    const authorities = authorityFile === undefined ? undefined : await readFile(authorityFile, "utf8");
    return { certificate, key, authorities };
}

/** Gets the problem with the files' content; undefined if it can be used. */
function getMaterialProblem(material: TlsMaterial, nowMilliseconds: number): string | undefined {
    const [certificate] = parseCertificates(material.certificate);
    if (certificate === undefined) {
        return "the certificate file holds no certificate";
    }
    if (!certificate.checkPrivateKey(createPrivateKey(material.key))) {
        return "the private key belongs to another certificate";
    }
    if (isExpired(certificate, nowMilliseconds)) {
        return `the certificate was valid until ${certificate.validTo}`;
    }
    if (material.authorities !== undefined && parseCertificates(material.authorities).length === 0) {
        return "the authority file holds no certificate";
    }
    return undefined;
}

/** Tells whether a certificate has expired. */
function isExpired(certificate: X509Certificate, nowMilliseconds: number): boolean {
    return Date.parse(certificate.validTo) <= nowMilliseconds;
}
